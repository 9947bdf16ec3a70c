//! Case: as many clients as the platform allows send and take long bodies at 64 kB a second. The platform kills a proxy
//! that is over its memory limit.

#[path = "common.rs"]
mod common;

use common::*;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// What the platform states in the configuration.
const SOCKETS: u64 = 1_024;
const MEMORY_MB: u64 = 40;
/// Less than a third of the descriptors.
const CLIENTS: usize = 335;
const BACKENDS: usize = 8;
/// The length of a body or an answer, and without trouble.
const LONG: usize = 32_000_000;
const SHORT: usize = 2_000;
/// Bytes a second that a client sends or takes.
const RATE: usize = 64_000;
const DURATION_MS: u64 = 60_000;

#[derive(Default)]
struct Counts {
    whole: AtomicU64,
    under_way: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    broken: AtomicU64,
}

fn main() {
    run_case(Duration::from_secs(110), case);
}

/// A backend that keeps nothing of a body, and gives an answer as fast as it is taken.
fn start_backend(length: usize) -> SocketAddr {
    let listener = TcpListener::bind(any_port()).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || serve_backend(stream, length));
        }
    });
    address
}

fn serve_backend(stream: TcpStream, length: usize) -> Option<()> {
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    let piece = vec![b'a'; 16_000];
    let mut buffer = vec![0; 16_000];
    loop {
        let request = read_head(&mut reader).ok()??;
        let mut rest: usize = request.header("content-length").parse().unwrap_or(0);
        while rest > 0 {
            let size = rest.min(buffer.len());
            rest -= reader.read(&mut buffer[..size]).ok().filter(|size| *size > 0)?;
        }
        sleep_ms(60);
        let mut rest = if request.first.starts_with("GET") { length } else { 20 };
        writer.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {rest}\r\n\r\n").as_bytes()).ok()?;
        while rest > 0 {
            let size = rest.min(piece.len());
            writer.write_all(&piece[..size]).ok()?;
            rest -= size;
        }
    }
}

fn case(run: &Arc<Run>) -> Verdict {
    let length = if run.trouble { LONG } else { SHORT };
    let discovery = Discovery::start(run);
    for index in 0..BACKENDS {
        let name = format!("s-{index}");
        discovery.set(&name, host(&name, start_backend(length), "bratislava", 0, "up", 0));
    }
    let mut setup = Setup::new(run, &discovery);
    setup.sockets = SOCKETS;
    setup.memory_mb = MEMORY_MB;
    let proxy = Proxy::start(run, &setup);
    if !proxy.wait_ready() {
        return Verdict::CannotRun;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Counts::default());
    for client in 0..CLIENTS {
        let (stop, counts, address) = (stop.clone(), counts.clone(), proxy.listen);
        let client = move || {
            sleep_ms(client as u64 * 5);
            for number in 0.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                counts.under_way.fetch_add(1, Ordering::SeqCst);
                ask(address, &format!("{client:03x}{number:05x}"), client % 2 == 0, length, &counts, &stop);
                counts.under_way.fetch_sub(1, Ordering::SeqCst);
                sleep_ms(500);
            }
        };
        thread::Builder::new().stack_size(128 << 10).spawn(client).expect("a thread");
    }
    // The platform: it looks at the memory ten times a second. Only what the process has for itself alone is counted,
    // without the program's own file, and a megabyte as 1,024 kB.
    let mut most = 0;
    let mut killed = false;
    let mut next_note = 0;
    while run.ms() < DURATION_MS && !killed {
        sleep_ms(100);
        let used = proxy.memory_kb("RssAnon:");
        most = most.max(used);
        killed = used > MEMORY_MB * 1_024;
        if run.ms() >= next_note || killed {
            next_note = run.ms() + 5_000;
            run.note(&format!(
                "memory {used} kB (all that is resident {} kB) of {} kB; requests under way {}, whole {}, refused {}, failed {}",
                proxy.memory_kb("VmRSS:"),
                MEMORY_MB * 1_024,
                counts.under_way.load(Ordering::SeqCst),
                counts.whole.load(Ordering::SeqCst),
                counts.refused.load(Ordering::SeqCst),
                counts.failed.load(Ordering::SeqCst)
            ));
        }
    }
    if killed {
        run.note("OVER THE LIMIT: the platform kills the proxy");
        proxy.signal(SIGKILL);
        sleep_ms(3_000);
    }
    let ended = proxy.ended();
    stop.store(true, Ordering::SeqCst);
    let broken = counts.broken.load(Ordering::SeqCst);
    run.note(&format!("most memory {most} kB, ended {ended:?}; requests broken off {broken}"));
    match (ended.is_some(), counts.whole.load(Ordering::SeqCst) + counts.under_way.load(Ordering::SeqCst)) {
        (true, _) => Verdict::Broken,
        (false, 0) => Verdict::CannotRun,
        (false, _) => Verdict::Held,
    }
}

/// Sends a request with a long body, or one for a long answer, and takes the answer, both at the rate.
fn ask(
    address: SocketAddr, id: &str, sends: bool, length: usize, counts: &Counts, stop: &AtomicBool,
) -> Option<()> {
    let mut client = Client::connect(address).ok()?;
    let _ = client.stream().set_read_timeout(Some(Duration::from_millis(500)));
    let head = match sends {
        true => request("topup", id, 3.0)
            .replace("Content-Length: 9", &format!("Content-Length: {length}"))
            .replace("\r\n\r\namount=20", "\r\n\r\n"),
        false => request("readings", id, 4.0),
    };
    client.send(&head).ok()?;
    let started = Instant::now();
    let mut done = 0;
    let wait_for_rate = |done: usize| {
        let due = started + Duration::from_secs_f64(done as f64 / RATE as f64);
        thread::sleep(due.saturating_duration_since(Instant::now()));
    };
    if sends {
        let piece = vec![b'x'; 8_000];
        // An answer that comes before the end of the body ends the writing.
        while done < length && client.stream().peek_ready().is_none() {
            if stop.load(Ordering::SeqCst) {
                return None;
            }
            let size = (length - done).min(piece.len());
            if client.stream().write_all(&piece[..size]).is_err() {
                break;
            }
            done += size;
            wait_for_rate(done);
        }
    }
    let head = loop {
        match read_head(&mut client.reader) {
            Ok(Some(head)) => break head,
            Err(error) if is_wait(&error) && !stop.load(Ordering::SeqCst) => continue,
            _ => {
                counts.broken.fetch_add(1, Ordering::SeqCst);
                return None;
            }
        }
    };
    if head.status() != 200 {
        let is_refused = matches!(head.status(), 429 | 503);
        let count = if is_refused { &counts.refused } else { &counts.failed };
        count.fetch_add(1, Ordering::SeqCst);
        return Some(());
    }
    let length: usize = head.header("content-length").parse().ok()?;
    let started = Instant::now();
    let mut buffer = vec![0; 8_000];
    let mut taken = 0;
    while taken < length {
        if stop.load(Ordering::SeqCst) {
            return None;
        }
        match client.reader.read(&mut buffer) {
            Ok(size) if size > 0 => taken += size,
            Err(error) if is_wait(&error) => {}
            _ => {
                counts.broken.fetch_add(1, Ordering::SeqCst);
                return None;
            }
        }
        let due = started + Duration::from_secs_f64(taken as f64 / RATE as f64);
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    counts.whole.fetch_add(1, Ordering::SeqCst);
    Some(())
}

fn is_wait(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

trait PeekReady {
    fn peek_ready(&self) -> Option<()>;
}

impl PeekReady for TcpStream {
    /// Whether bytes or the end of the connection have come.
    fn peek_ready(&self) -> Option<()> {
        self.set_nonblocking(true).ok()?;
        let peeked = self.peek(&mut [0]);
        self.set_nonblocking(false).ok()?;
        match peeked {
            Err(error) if is_wait(&error) => None,
            _ => Some(()),
        }
    }
}
