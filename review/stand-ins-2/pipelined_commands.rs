//! Case: clients send several commands at once, and the proxy is told to end while they wait for the answers.

#[path = "common.rs"]
mod common;

use common::*;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const CLIENTS: usize = 6;
/// Commands that a client sends at once.
const COMMANDS: usize = 5;
const BACKENDS: usize = 8;

fn main() {
    run_case(Duration::from_secs(60), case);
}

fn case(run: &Arc<Run>) -> Verdict {
    let discovery = Discovery::start(run);
    for index in 0..BACKENDS {
        let name = format!("s-{index}");
        let numbers = Arc::new(Mutex::new(Numbers(0x2545_f491 + index as u64)));
        let handler = move |request: &Message, stream: &mut std::net::TcpStream, _: u64| {
            let work = numbers.lock().unwrap().between(110, 200);
            sleep_ms(work);
            stream.write_all(ok(&format!("done {}", request.header("x-request-id"))).as_bytes()).is_ok()
        };
        let backend = Backend::start(run, &name, Arc::new(handler));
        discovery.set(&name, host(&name, backend.address, "bratislava", 0, "up", 0));
    }
    let proxy = Proxy::start(run, &Setup::new(run, &discovery));
    if !proxy.wait_ready() {
        return Verdict::CannotRun;
    }
    let sent: Arc<Mutex<usize>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (run, sent, address) = (run.clone(), sent.clone(), proxy.listen);
            thread::spawn(move || {
                let mut connection = Client::connect(address).expect("the proxy accepts");
                let ids: Vec<String> =
                    (0..COMMANDS).map(|number| format!("{client:02x}{number:02x}")).collect();
                let commands: String = ids.iter().map(|id| request("topup", id, 3.0)).collect();
                connection.send(&commands).expect("the proxy takes the commands");
                let sent_at = run.ms();
                run.note(&format!("client {client} has sent {} at once", ids.join(" ")));
                *sent.lock().unwrap() += 1;
                let mut answered = 0;
                let end = loop {
                    match connection.response() {
                        Ok(answer) => {
                            run.note(&format!(
                                "client {client} gets {} to {}: {}",
                                answer.status(),
                                ids[answered],
                                answer.text()
                            ));
                            answered += 1;
                            if answered == COMMANDS {
                                break "all answered".to_owned();
                            }
                        }
                        Err(error) => break format!("the connection ended: {error}"),
                    }
                };
                run.note(&format!("client {client}: {end}"));
                for id in &ids[answered..] {
                    run.note(&format!(
                        "LOST: topup {id}, written whole {} ms before, has no answer",
                        run.ms() - sent_at
                    ));
                }
                COMMANDS - answered
            })
        })
        .collect();
    wait_until(2_000, || *sent.lock().unwrap() == CLIENTS);
    sleep_ms(200);
    if run.trouble {
        proxy.signal(SIGTERM);
    }
    let lost: usize = clients.into_iter().map(|client| client.join().unwrap_or(COMMANDS)).sum();
    if run.trouble {
        wait_until(5_000, || proxy.ended().is_some());
        run.note(&format!("the proxy ended: {:?}", proxy.ended()));
    }
    run.note(&format!("{} commands, {lost} lost", CLIENTS * COMMANDS));
    if lost == 0 { Verdict::Held } else { Verdict::Broken }
}
