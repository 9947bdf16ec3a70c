//! Case: a backend sends a second answer to some requests, some milliseconds after the first. Now and then a backend
//! turns a request away, as one whose queue is full does.

#[path = "common.rs"]
mod common;

use common::*;
use std::collections::HashMap;
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// One answer in so many is sent twice.
const ONE_IN: u64 = 20;
/// One request in so many is turned away by its backend, unseen, with and without trouble.
const TURNED_AWAY_ONE_IN: u64 = 8;
const TURNED_AWAY: &str =
    "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
const DURATION_MS: u64 = 40_000;
const CLIENTS: usize = 10;
const BACKENDS: usize = 2;

fn main() {
    run_case(Duration::from_secs(100), case);
}

fn case(run: &Arc<Run>) -> Verdict {
    let discovery = Discovery::start(run);
    let sent_twice = Arc::new(AtomicU64::new(0));
    // How often each request has run, by its id.
    let ran: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    for index in 0..BACKENDS {
        let name = format!("s-{index}");
        let numbers = Arc::new(Mutex::new(Numbers(0x9e37_79b9 + index as u64)));
        let (trouble, twice, note) = (run.trouble, sent_twice.clone(), run.clone());
        let own_name = name.clone();
        let ran = ran.clone();
        let handler = move |request: &Message, stream: &mut std::net::TcpStream, number: u64| {
            let id = request.header("x-request-id");
            let (work, again, late, is_full) = {
                let mut numbers = numbers.lock().unwrap();
                let again = trouble && numbers.below(ONE_IN) == 0;
                (
                    numbers.between(57, 200),
                    again,
                    numbers.between(2, 9),
                    numbers.below(TURNED_AWAY_ONE_IN) == 0,
                )
            };
            let answer = match is_full {
                true => {
                    note.note(&format!("{own_name} turns {id} away"));
                    TURNED_AWAY.to_owned()
                }
                false => {
                    sleep_ms(work);
                    *ran.lock().unwrap().entry(id.to_owned()).or_default() += 1;
                    ok(&format!("{own_name} has done {id}"))
                }
            };
            if stream.write_all(answer.as_bytes()).is_err() {
                return false;
            }
            if again {
                let mut second = stream.try_clone().unwrap();
                let (twice, note, id, own_name) =
                    (twice.clone(), note.clone(), id.to_owned(), own_name.clone());
                thread::spawn(move || {
                    sleep_ms(late);
                    twice.fetch_add(1, Ordering::SeqCst);
                    note.note(&format!(
                        "{own_name} sends its answer to {id} again, {late} ms late, on connection {number}"
                    ));
                    let _ = second.write_all(answer.as_bytes());
                });
            }
            true
        };
        let backend = Backend::start(run, &name, Arc::new(handler));
        discovery.set(&name, host(&name, backend.address, "bratislava", 0, "up", 0));
    }
    let proxy = Proxy::start(run, &Setup::new(run, &discovery));
    if !proxy.wait_ready() {
        return Verdict::CannotRun;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let foreign = Arc::new(AtomicU64::new(0));
    let served = Arc::new(AtomicU64::new(0));
    let topups: Arc<Mutex<Vec<String>>> = Arc::default();
    let served_ids: Arc<Mutex<Vec<String>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (run, stop, foreign, served, served_ids, topups, address) = (
                run.clone(),
                stop.clone(),
                foreign.clone(),
                served.clone(),
                served_ids.clone(),
                topups.clone(),
                proxy.listen,
            );
            thread::spawn(move || {
                let mut connection = None;
                for number in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let class =
                        ["topup", "readings", "topup", "profile", "topup", "relay"][(client + number) % 6];
                    let id = format!("{client:02x}{number:06x}");
                    let mut open = match connection.take() {
                        Some(open) => open,
                        None => Client::connect(address).expect("the proxy accepts"),
                    };
                    if class == "topup" {
                        topups.lock().unwrap().push(id.clone());
                    }
                    run.note(&format!("client sends {class} {id}"));
                    let answer = open.send(&request(class, &id, 3.0)).and_then(|()| open.response());
                    let Ok(answer) = answer else { continue };
                    run.note(&format!("client gets {} to {id}: {}", answer.status(), answer.text()));
                    if answer.status() == 200 {
                        served.fetch_add(1, Ordering::SeqCst);
                        served_ids.lock().unwrap().push(id.clone());
                        if !answer.text().ends_with(&format!(" has done {id}")) {
                            foreign.fetch_add(1, Ordering::SeqCst);
                            run.note(&format!(
                                "FOREIGN ANSWER: {class} {id} was served with \"{}\"",
                                answer.text()
                            ));
                        }
                    }
                    if answer.header("connection") != "close" {
                        connection = Some(open);
                    }
                    sleep_ms(10);
                }
            })
        })
        .collect();
    sleep_ms(DURATION_MS);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let foreign = foreign.load(Ordering::SeqCst);
    let served = served.load(Ordering::SeqCst);
    sleep_ms(500);
    let ran = ran.lock().unwrap();
    let twice: Vec<&String> = ran
        .iter()
        .filter(|(id, times)| **times > 1 && topups.lock().unwrap().contains(id))
        .map(|(id, _)| id)
        .collect();
    for id in &twice {
        run.note(&format!("RUN TWICE: topup {id} ran {} times", ran[*id]));
    }
    let twice = twice.len();
    let never_ran = served_ids.lock().unwrap().iter().filter(|id| !ran.contains_key(*id)).count();
    run.note(&format!("requests served that no backend ever ran {never_ran}"));
    run.note(&format!("topups run more than once {twice}"));
    run.note(&format!(
        "served {served}, second answers {}, foreign answers {foreign}",
        sent_twice.load(Ordering::SeqCst)
    ));
    match (foreign, twice, served) {
        (_, _, 0) => Verdict::CannotRun,
        (0, 0, _) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
