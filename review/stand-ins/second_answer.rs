//! A backend answers some requests twice: the second answer comes some milliseconds after the first. Every answer with
//! status 200 that a client gets has to be the one that a backend made for this very request.

#[path = "common.rs"]
mod common;

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const BACKENDS: usize = 8;
const PROXIES: usize = 2;
/// One in this many answers comes twice.
const SPOILT: u64 = 40;
/// The time from an answer to its repetition.
const LATE: Duration = Duration::from_millis(4);
const CLIENTS: usize = 24;
const LENGTH: Duration = Duration::from_secs(25);

/// What backends ran: by request id, the bodies that they made for it.
type Ledger = Arc<Mutex<HashMap<String, Vec<String>>>>;

struct Backend {
    name: String,
    /// One request runs at a time.
    core: Mutex<()>,
    ledger: Ledger,
    answers: Arc<AtomicU64>,
    second_answers: Arc<AtomicU64>,
    trouble: bool,
    record: Record,
}

impl Backend {
    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let writer = Arc::new(Mutex::new(stream.try_clone()?));
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader)? {
            let (_, complete) = read_body(&mut reader, &head);
            let Some(id) = head.get("x-request-id").filter(|_| complete).map(str::to_owned) else {
                write!(writer.lock().unwrap(), "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            };
            let path = head.first.split(' ').nth(1).unwrap_or("").to_owned();
            let class = path.trim_start_matches('/').split('?').next().unwrap_or("").to_owned();
            let body = format!("result of {class} {id} made by {}", self.name);
            {
                let _core = self.core.lock().unwrap();
                let hash = id.bytes().fold(7u64, |hash, byte| hash.wrapping_mul(31).wrapping_add(u64::from(byte)));
                thread::sleep(Duration::from_millis(60 + hash % 80));
            }
            self.record.line(&format!("backend {} ran {class} {id}", self.name));
            self.ledger.lock().unwrap().entry(id.clone()).or_default().push(body.clone());
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            writer.lock().unwrap().write_all(answer.as_bytes())?;
            if self.trouble && self.answers.fetch_add(1, SeqCst) % SPOILT == 0 {
                let writer = writer.clone();
                let second_answers = self.second_answers.clone();
                let record = self.record.clone();
                let name = self.name.clone();
                thread::spawn(move || {
                    thread::sleep(LATE);
                    if writer.lock().unwrap().write_all(answer.as_bytes()).is_ok() {
                        second_answers.fetch_add(1, SeqCst);
                        record.line(&format!("backend {name} sent a second answer to {id}"));
                    }
                });
            }
        }
        Ok(())
    }
}

fn main() {
    let case = Case::from_arguments();
    let ledger = Ledger::default();
    let answers = Arc::new(AtomicU64::new(0));
    let second_answers = Arc::new(AtomicU64::new(0));
    let mut hosts = Vec::new();
    for index in 0..BACKENDS {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        let name = format!("s-{:08x}", 0x1234_5678_u32.wrapping_mul(index as u32 * 2 + 1));
        hosts.push(Host {
            host: name.clone(),
            dial: listener.local_addr().unwrap(),
            zone: ["bratislava", "kosice"][index % 2],
            class: "gen2",
            block: (index / 4) as u32,
            health: "up",
            share: 1.0,
            born_ms: 0,
        });
        let backend = Arc::new(Backend {
            name,
            core: Mutex::new(()),
            ledger: ledger.clone(),
            answers: answers.clone(),
            second_answers: second_answers.clone(),
            trouble: case.trouble,
            record: case.record.clone(),
        });
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let backend = backend.clone();
                thread::spawn(move || drop(backend.serve(stream)));
            }
        });
    }
    let discovery = Discovery::start(hosts);
    let proxies: Vec<Proxy> = (0..PROXIES)
        .map(|index| {
            let settings = ProxySettings {
                name: format!("n{index}"),
                index,
                proxies: PROXIES,
                zone: ["bratislava", "kosice"][index % 2],
                discovery: discovery.address,
                memory_mb: 192,
                sockets: 1024,
            };
            Proxy::start(&case, &settings)
        })
        .collect();
    let end = Instant::now() + LENGTH;
    let foreign = Arc::new(Mutex::new(Vec::<String>::new()));
    let served = Arc::new(AtomicU64::new(0));
    let sent = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let address = proxies[client % PROXIES].address;
            let (ledger, foreign, served, sent) = (ledger.clone(), foreign.clone(), served.clone(), sent.clone());
            let record = case.record.clone();
            thread::spawn(move || {
                let mut random = Random(0x5eed_0001 + client as u64 * 7919);
                let mut connection = None;
                while Instant::now() < end {
                    let class = ["readings", "readings", "profile", "topup"][(random.next() % 4) as usize];
                    let request = ClientRequest {
                        id: new_id(),
                        class,
                        tenant: ["zapadna-distribucia", "tatra-siete"][client % 2],
                        timeout: Duration::from_millis(2400),
                        body: if class == "topup" { vec![b'x'; 120] } else { Vec::new() },
                        key: None,
                    };
                    if connection.is_none() {
                        connection = Connection::open(address).ok();
                    }
                    let Some(open) = connection.as_mut() else { continue };
                    sent.fetch_add(1, SeqCst);
                    record.line(&format!("client {client} sent {class} {}", request.id));
                    let answer = open.send(&request, request.timeout + Duration::from_millis(600));
                    if let Answer::Whole { status: 200, body, .. } = &answer {
                        served.fetch_add(1, SeqCst);
                        let body = String::from_utf8_lossy(body).into_owned();
                        let made = ledger.lock().unwrap().get(&request.id).cloned().unwrap_or_default();
                        if !made.contains(&body) {
                            let text = format!(
                                "{class} {} was answered 200 with «{body}»; backends had made {made:?} for it",
                                request.id
                            );
                            record.line(&format!("BROKEN: {text}"));
                            foreign.lock().unwrap().push(text);
                        }
                    }
                    record.line(&format!("client {client} got for {}: {}", request.id, answer.text()));
                    let keeps = matches!(answer, Answer::Whole { status: 200, .. });
                    if !keeps {
                        connection = None;
                    }
                    thread::sleep(Duration::from_millis(random.between(60.0, 160.0) as u64));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    drop(proxies);
    let foreign = foreign.lock().unwrap();
    let summary = format!(
        "{} requests, {} served, {} second answers, {} requests answered with a foreign result",
        sent.load(SeqCst),
        served.load(SeqCst),
        second_answers.load(SeqCst),
        foreign.len()
    );
    if served.load(SeqCst) < 100 {
        case.finish(COULD_NOT_RUN, &summary);
    }
    case.finish(if foreign.is_empty() { HELD } else { BROKEN }, &summary)
}
