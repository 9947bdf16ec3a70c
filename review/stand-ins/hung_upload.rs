//! One of the backends hangs: it accepts connections and reads and answers nothing more. Clients send requests with
//! long bodies. Every request whose last byte a client has written has to get a final answer within its time and 0.5 s.

#[path = "common.rs"]
mod common;

use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const BACKENDS: usize = 20;
/// One of twenty backends hangs.
const HANGING: usize = 1;
/// Clients that send requests with long bodies, and clients that send requests without a body.
const UPLOADERS: usize = 16;
const READERS: usize = 8;
/// The lengths of the long bodies. Shorter ones fit into the buffers of a connection to a backend that reads nothing.
const BODY_BYTES: [usize; 4] = [5 << 20, 11 << 19, 6 << 20, 13 << 19];
const LENGTH: Duration = Duration::from_secs(55);
/// The requests without a body begin late: they only show what has become of the proxy, and are not judged.
const READ_FROM: Duration = Duration::from_secs(40);
/// An answer may come so much after the client's time: half a second, and the 50 ms of real sockets.
const GRACE: Duration = Duration::from_millis(550);

/// What became of the requests.
#[derive(Default)]
struct Results {
    taken: u32,
    served: u32,
    refused: u32,
    failed: u32,
    not_taken: u32,
    lost: Vec<String>,
    /// The requests without a body that were answered 200, and all of them, in each 10 s.
    readings: [(u32, u32); 8],
}

fn main() {
    if std::env::args().nth(1).as_deref() == Some("backend") {
        return run_backend();
    }
    let case = Case::from_arguments();
    let backends: Vec<(Child, Host)> = (0..BACKENDS).map(start_backend).collect();
    let discovery = Discovery::start(backends.iter().map(|(_, host)| host.clone()).collect());
    let settings = ProxySettings {
        name: "n0".into(),
        index: 0,
        proxies: 1,
        zone: "bratislava",
        discovery: discovery.address,
        memory_mb: 192,
        sockets: 256,
    };
    let proxy = Proxy::start(&case, &settings);
    if case.trouble {
        for (child, host) in backends.iter().take(HANGING) {
            send_signal("STOP", child.id());
            case.record.line(&format!("backend {} hangs", host.host));
        }
    }
    let address = proxy.address;
    let start = Instant::now();
    let end = start + LENGTH;
    let results = Arc::new(Mutex::new(Results::default()));
    let mut clients = Vec::new();
    for client in 0..UPLOADERS + READERS {
        let record = case.record.clone();
        let results = results.clone();
        clients.push(thread::spawn(move || match client < UPLOADERS {
            true => upload_loop(client, address, end, &record, &results),
            false => read_loop(client, address, start, end, &record, &results),
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    drop(proxy);
    for (mut child, _) in backends {
        let _ = child.kill();
        let _ = child.wait();
        forget_child(child.id());
    }
    let results = results.lock().unwrap();
    let summary = format!(
        "{} topups with long bodies taken: {} served, {} refused, {} failed, {} without a final answer in time ({} more were not written whole); readings served of sent in each 10 s: {:?}",
        results.taken,
        results.served,
        results.refused,
        results.failed,
        results.lost.len(),
        results.not_taken,
        &results.readings[..6]
    );
    if results.taken < 50 {
        case.finish(COULD_NOT_RUN, &summary);
    }
    case.finish(if results.lost.is_empty() { HELD } else { BROKEN }, &summary)
}

/// Sends requests with long bodies, one after another.
fn upload_loop(client: usize, address: SocketAddr, end: Instant, record: &Record, results: &Mutex<Results>) {
    let mut random = Random(0x5eed_0002 + client as u64 * 7919);
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(random.between(200.0, 600.0) as u64));
        let body_bytes = BODY_BYTES[(random.next() % 4) as usize];
        let request = ClientRequest {
            id: new_id(),
            class: "topup",
            tenant: ["zapadna-distribucia", "tatra-siete"][client % 2],
            timeout: Duration::from_millis(2400),
            body: vec![b'x'; body_bytes],
            key: None,
        };
        let Ok(mut connection) = Connection::open(address) else { continue };
        let _ = connection.stream().set_write_timeout(Some(Duration::from_secs(8)));
        let mut bytes = request.head().into_bytes();
        bytes.extend_from_slice(&request.body);
        let started_at = Instant::now();
        let written = connection.stream().write_all(&bytes).is_ok();
        if !written {
            let answer = connection.receive(Duration::from_secs(1));
            record.line(&format!("client {client}: topup {} was not written whole: {}", request.id, answer.text()));
            results.lock().unwrap().not_taken += 1;
            continue;
        }
        record.line(&format!(
            "client {client}: topup {} was written to its last byte ({body_bytes} bytes) in {:.3} s; the client waits {:.3} s",
            request.id,
            started_at.elapsed().as_secs_f64(),
            request.timeout.as_secs_f64()
        ));
        let answer = connection.receive(request.timeout + Duration::from_millis(1500));
        record.line(&format!("client {client} got for {}: {}", request.id, answer.text()));
        let mut results = results.lock().unwrap();
        results.taken += 1;
        match &answer {
            Answer::Whole { status, after, .. } if *after <= request.timeout + GRACE => match *status {
                200 => results.served += 1,
                429 | 503 => results.refused += 1,
                _ => results.failed += 1,
            },
            _ => {
                record.line(&format!(
                    "BROKEN: topup {} has no final answer in time: {}",
                    request.id,
                    answer.text()
                ));
                results.lost.push(request.id.clone());
            }
        }
    }
}

/// Sends requests without a body, one after another.
fn read_loop(
    client: usize, address: SocketAddr, start: Instant, end: Instant, record: &Record, results: &Mutex<Results>,
) {
    let mut random = Random(0x5eed_0003 + client as u64 * 7919);
    let mut connection = None;
    thread::sleep(READ_FROM);
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(random.between(100.0, 300.0) as u64));
        let request = ClientRequest {
            id: new_id(),
            class: "readings",
            tenant: ["zapadna-distribucia", "tatra-siete"][client % 2],
            timeout: Duration::from_millis(2400),
            body: Vec::new(),
            key: None,
        };
        if connection.is_none() {
            connection = Connection::open(address).ok();
        }
        let Some(open) = connection.as_mut() else { continue };
        let window = (start.elapsed().as_secs() / 10).min(7) as usize;
        let answer = open.send(&request, request.timeout + Duration::from_millis(600));
        record.line(&format!("client {client} got for readings {}: {}", request.id, answer.text()));
        let served = matches!(answer, Answer::Whole { status: 200, .. });
        if !served {
            connection = None;
        }
        let mut results = results.lock().unwrap();
        results.readings[window].0 += u32::from(served);
        results.readings[window].1 += 1;
    }
}

/// Starts a backend as a process of its own, which prints its address.
fn start_backend(index: usize) -> (Child, Host) {
    let program = std::env::current_exe().expect("this program");
    let mut child = Command::new(program)
        .args(["backend", &index.to_string()])
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()
        .expect("a backend");
    register_child(child.id());
    let mut line = String::new();
    let mut output = BufReader::new(child.stdout.take().expect("piped"));
    std::io::BufRead::read_line(&mut output, &mut line).expect("an address");
    let host = Host {
        host: format!("s-{:08x}", 0x1234_5678_u32.wrapping_mul(index as u32 * 2 + 1)),
        dial: line.trim().parse().expect("an address"),
        zone: ["bratislava", "kosice"][index % 2],
        class: "gen2",
        block: (index / 4) as u32,
        health: "up",
        share: 1.0,
        born_ms: 0,
    };
    (child, host)
}

fn run_backend() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    println!("{}", listener.local_addr().unwrap());
    for stream in listener.incoming().flatten() {
        thread::spawn(move || drop(serve(stream)));
    }
}

fn serve(stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(head) = read_head(&mut reader)? {
        let (body, complete) = read_body(&mut reader, &head);
        if !complete {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(120));
        let id = head.get("x-request-id").unwrap_or("");
        let answer = format!("request {id} with {} bytes is done", body.len());
        write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{answer}", answer.len())?;
    }
    Ok(())
}
