//! Case: many clients take long answers at 64 kB a second, and a few others read as fast as they can.

#[path = "common.rs"]
mod common;

use common::*;
use std::io::{ErrorKind, Read, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Clients that take their answer at `SLOW_RATE`; with the prompt ones they are under a third of the descriptors.
const SLOW_CLIENTS: usize = 50;
const SLOW_ANSWER: usize = 32_000_000;
/// Bytes a second.
const SLOW_RATE: usize = 64_000;
const PROMPT_CLIENTS: usize = 4;
const PROMPT_ANSWER: usize = 1_000_000;
const BACKENDS: usize = 4;
const DURATION_MS: u64 = 50_000;
/// Holding the rest of an answer back for 2 s loses the request. Every time limit is longer by 50 ms.
const HELD_BACK: Duration = Duration::from_millis(2_050);
/// Bounds of sockets and memory that the platform states in the configuration.
const SOCKETS: u64 = 256;
const MEMORY_MB: u64 = 32;

#[derive(Default)]
struct Counts {
    whole: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    held_back: AtomicU64,
    cut_off: AtomicU64,
    longest_ms: AtomicU64,
}

fn main() {
    run_case(Duration::from_secs(115), case);
}

/// The number of bytes that a request asks for: `readings` are the long ones.
fn answer_length(request: &Message) -> usize {
    if request.first.contains("/readings") { SLOW_ANSWER } else { PROMPT_ANSWER }
}

fn case(run: &Arc<Run>) -> Verdict {
    let discovery = Discovery::start(run);
    for index in 0..BACKENDS {
        let name = format!("s-{index}");
        let handler = move |request: &Message, stream: &mut std::net::TcpStream, _: u64| {
            let length = answer_length(request);
            sleep_ms(60);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
            if stream.write_all(head.as_bytes()).is_err() {
                return false;
            }
            let piece = vec![b'a'; 16_000];
            let mut rest = length;
            while rest > 0 {
                let size = rest.min(piece.len());
                if stream.write_all(&piece[..size]).is_err() {
                    return false;
                }
                rest -= size;
            }
            true
        };
        let backend = Backend::start(run, &name, Arc::new(handler));
        discovery.set(&name, host(&name, backend.address, "bratislava", 0, "up", 0));
    }
    let mut setup = Setup::new(run, &discovery);
    setup.sockets = SOCKETS;
    setup.memory_mb = MEMORY_MB;
    let proxy = Proxy::start(run, &setup);
    if !proxy.wait_ready() {
        return Verdict::CannotRun;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let slow = Arc::new(Counts::default());
    let prompt = Arc::new(Counts::default());
    let mut threads = Vec::new();
    for client in 0..SLOW_CLIENTS + PROMPT_CLIENTS {
        let is_slow = client < SLOW_CLIENTS;
        let counts = if is_slow { slow.clone() } else { prompt.clone() };
        let (run, stop, address) = (run.clone(), stop.clone(), proxy.listen);
        threads.push(thread::spawn(move || {
            sleep_ms(client as u64 * 40);
            let rate = if is_slow && run.trouble { SLOW_RATE } else { usize::MAX };
            for number in 0.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let id = format!("{}{client:02x}{number:04x}", if is_slow { "s" } else { "p" });
                let class = if is_slow { "readings" } else { "profile" };
                take_answer(&run, address, class, &id, rate, &counts, &stop);
                sleep_ms(200);
            }
        }));
    }
    sleep_ms(DURATION_MS);
    stop.store(true, Ordering::SeqCst);
    let crashed = proxy.ended();
    for (name, counts) in [("slow", &slow), ("prompt", &prompt)] {
        run.note(&format!(
            "{name} clients: whole {}, refused {}, failed {}, held back for over 2 s {}, cut off {}, longest wait {} ms",
            counts.whole.load(Ordering::SeqCst),
            counts.refused.load(Ordering::SeqCst),
            counts.failed.load(Ordering::SeqCst),
            counts.held_back.load(Ordering::SeqCst),
            counts.cut_off.load(Ordering::SeqCst),
            counts.longest_ms.load(Ordering::SeqCst)
        ));
    }
    run.note(&format!("proxy ended: {crashed:?}, memory {} kB", proxy.memory_kb("VmHWM:")));
    let lost = prompt.held_back.load(Ordering::SeqCst) + prompt.cut_off.load(Ordering::SeqCst);
    match (lost, prompt.whole.load(Ordering::SeqCst)) {
        (0, 0) => Verdict::CannotRun,
        (0, _) => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Requests an answer and reads it at a rate. A wait counts from the moment at which the client has read all before.
fn take_answer(
    run: &Run, address: std::net::SocketAddr, class: &str, id: &str, rate: usize, counts: &Counts,
    stop: &AtomicBool,
) {
    let Ok(mut client) = Client::connect(address) else { return };
    let _ = client.stream().set_read_timeout(Some(Duration::from_secs(10)));
    run.note(&format!("client asks {class} {id}"));
    if client.send(&request(class, id, 4.0)).is_err() {
        return;
    }
    let Ok(Some(head)) = read_head(&mut client.reader) else {
        run.note(&format!("{id}: no answer"));
        counts.failed.fetch_add(1, Ordering::SeqCst);
        return;
    };
    if head.status() != 200 {
        let refused = matches!(head.status(), 429 | 503);
        let count = if refused { &counts.refused } else { &counts.failed };
        count.fetch_add(1, Ordering::SeqCst);
        run.note(&format!("{id}: {}", head.first));
        return;
    }
    let length: usize = head.header("content-length").parse().unwrap_or(0);
    let _ = client.stream().set_read_timeout(Some(Duration::from_millis(100)));
    let mut rest = length;
    let mut buffer = vec![0; 8_000];
    let mut since = Instant::now();
    let mut was_held_back = false;
    while rest > 0 {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let read = client.reader.read(&mut buffer);
        let waited = since.elapsed();
        counts.longest_ms.fetch_max(waited.as_millis() as u64, Ordering::SeqCst);
        if waited > HELD_BACK && !was_held_back {
            was_held_back = true;
            counts.held_back.fetch_add(1, Ordering::SeqCst);
            run.note(&format!(
                "HELD BACK: {class} {id} has got nothing for {} ms after {} of {length} bytes",
                waited.as_millis(),
                length - rest
            ));
        }
        match read {
            Ok(size) if size > 0 => {
                if was_held_back && waited > HELD_BACK {
                    run.note(&format!("{class} {id} goes on after {} ms", waited.as_millis()));
                }
                rest = rest.saturating_sub(size);
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
            _ if stop.load(Ordering::SeqCst) => return,
            other => {
                counts.cut_off.fetch_add(1, Ordering::SeqCst);
                run.note(&format!(
                    "CUT OFF: {class} {id} ended after {} of {length} bytes: {other:?}",
                    length - rest
                ));
                return;
            }
        }
        if rate != usize::MAX {
            thread::sleep(Duration::from_secs_f64(buffer.len() as f64 / rate as f64));
        }
        since = Instant::now();
    }
    counts.whole.fetch_add(1, Ordering::SeqCst);
    run.note(&format!("{id}: whole"));
}
