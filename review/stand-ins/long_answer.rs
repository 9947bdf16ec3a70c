//! A proxy is restarted as planned (SIGTERM) while a backend still gives long answers. The platform sends SIGKILL later
//! than it has to. An answer that comes to its end within the request's time and before SIGKILL has to reach its client.

#[path = "common.rs"]
mod common;

use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const BACKENDS: usize = 8;
const CLIENTS: usize = 6;
/// The length of an answer, given in equal pieces.
const PIECES: usize = 100;
const PIECE: usize = 2000;
const PAUSE: Duration = Duration::from_millis(48);
const TIMEOUT: Duration = Duration::from_secs(6);

fn main() {
    let case = Case::from_arguments();
    let given = Arc::new(Mutex::new(Vec::<String>::new()));
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
        let record = case.record.clone();
        let given = given.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (name, record, given) = (name.clone(), record.clone(), given.clone());
                thread::spawn(move || drop(serve(&name, stream, &record, &given)));
            }
        });
    }
    let discovery = Discovery::start(hosts);
    let settings = ProxySettings {
        name: "n0".into(),
        index: 0,
        proxies: 1,
        zone: "bratislava",
        discovery: discovery.address,
        memory_mb: 192,
        sockets: 1024,
    };
    let mut proxy = Proxy::start(&case, &settings);
    let address = proxy.address;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = case.record.clone();
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(40 * client as u64));
                let request = ClientRequest {
                    id: new_id(),
                    class: "profile",
                    tenant: ["zapadna-distribucia", "tatra-siete"][client % 2],
                    timeout: TIMEOUT,
                    body: Vec::new(),
                    key: None,
                };
                let mut connection = Connection::open(address).expect("the proxy accepts");
                record.line(&format!("client {client} sent profile {}", request.id));
                let answer = connection.send(&request, TIMEOUT + Duration::from_millis(500));
                record.line(&format!("client {client} got for {}: {}", request.id, answer.text()));
                (request, answer)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(700));
    let told_at = Instant::now();
    if case.trouble {
        proxy.signal("TERM");
        case.record.line("the platform sent SIGTERM");
    }
    let record = case.record.clone();
    let mut ended = None;
    // SIGKILL comes 8 s after SIGTERM: it may not come sooner than 3.7 s.
    while told_at.elapsed() < Duration::from_secs(8) {
        if ended.is_none() && let Some(status) = proxy.ended() {
            ended = Some(told_at.elapsed());
            record.line(&format!("the proxy ended {:.3} s after SIGTERM: {status}", told_at.elapsed().as_secs_f64()));
        }
        thread::sleep(Duration::from_millis(5));
    }
    proxy.kill();
    record.line("the platform sent SIGKILL");
    let mut whole = 0;
    let mut cut = 0;
    for client in clients {
        let (request, answer) = client.join().expect("a client");
        match &answer {
            Answer::Whole { status: 200, body, .. } if body.len() == PIECES * PIECE => whole += 1,
            Answer::Whole { .. } => {}
            _ => {
                cut += 1;
                record.line(&format!("BROKEN: profile {}: {}", request.id, answer.text()));
            }
        }
    }
    let summary = format!(
        "{whole} answers whole, {cut} cut off; backends tried to give {} to their end; the proxy ended {}",
        given.lock().unwrap().len(),
        ended.map_or("by SIGKILL".into(), |after| format!("{:.3} s after SIGTERM", after.as_secs_f64()))
    );
    case.finish(if cut == 0 { HELD } else { BROKEN }, &summary)
}

fn serve(name: &str, stream: TcpStream, record: &Record, given: &Mutex<Vec<String>>) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(head) = read_head(&mut reader)? {
        let id = head.get("x-request-id").unwrap_or("").to_owned();
        record.line(&format!("backend {name} begins to answer {id}"));
        write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", PIECES * PIECE)?;
        for piece in 0..PIECES {
            if let Err(error) = writer.write_all(&[b'a'; PIECE]) {
                record.line(&format!("backend {name}: {id} broke after {piece} pieces: {error}"));
                return Err(error);
            }
            thread::sleep(PAUSE);
        }
        record.line(&format!("backend {name} has given the whole answer to {id}"));
        given.lock().unwrap().push(id);
    }
    Ok(())
}
