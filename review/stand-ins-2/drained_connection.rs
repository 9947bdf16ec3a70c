//! Case: the proxy is drained while a long answer is on its way; the client's connection is idle after that answer.

#[path = "common.rs"]
mod common;

use common::*;
use std::io::{ErrorKind, Read, Write};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Clients, each with one connection.
const CLIENTS: usize = 6;
/// The length of an answer, which its backend gives in small pieces within `ANSWER_MS`.
const ANSWER: usize = 400_000;
const PIECES: usize = 80;
const ANSWER_MS: u64 = 3_200;
/// From so long after the call on, a client's connection may not be held idle. Every time limit is longer by 50 ms.
const LIMIT: Duration = Duration::from_millis(4_050);

fn main() {
    run_case(Duration::from_secs(60), case);
}

fn case(run: &Arc<Run>) -> Verdict {
    let discovery = Discovery::start(run);
    for index in 0..4 {
        let name = format!("s-{index}");
        let handler = move |_: &Message, stream: &mut std::net::TcpStream, _: u64| {
            sleep_ms(60);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {ANSWER}\r\n\r\n");
            if stream.write_all(head.as_bytes()).is_err() {
                return false;
            }
            let piece = vec![b'a'; ANSWER / PIECES];
            for _ in 0..PIECES {
                if stream.write_all(&piece).is_err() {
                    return false;
                }
                sleep_ms(ANSWER_MS / PIECES as u64);
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
    // Each client has its answer begun before the call, and whole some 2.5 to 3 s after the call.
    let mut threads = Vec::new();
    for client in 0..CLIENTS {
        let (run, address) = (run.clone(), proxy.listen);
        threads.push(thread::spawn(move || -> Option<(Client, Instant)> {
            sleep_ms(client as u64 * 60);
            let mut connection = Client::connect(address).ok()?;
            let id = format!("r{client}");
            run.note(&format!("client asks readings {id}"));
            connection.send(&request("readings", &id, 4.0)).ok()?;
            let answer = connection.response().ok()?;
            run.note(&format!(
                "{id}: {} with {} bytes, Connection: \"{}\"",
                answer.status(),
                answer.body.len(),
                answer.header("connection")
            ));
            (answer.status() == 200 && answer.header("connection") != "close")
                .then(|| (connection, Instant::now()))
        }));
    }
    sleep_ms(700);
    let called = Instant::now();
    if run.trouble && proxy.call("PUT /healthcheck/fail") != 200 {
        return Verdict::CannotRun;
    }
    let mut held = 0;
    let mut seen = 0;
    for (number, client) in threads.into_iter().enumerate() {
        let Some((mut connection, whole_at)) = client.join().unwrap() else { continue };
        seen += 1;
        // The client rests, until the proxy closes the connection or the limit has passed.
        let rest = LIMIT.saturating_sub(called.elapsed()).max(Duration::from_millis(1));
        let _ = connection.stream().set_read_timeout(Some(rest));
        let end = connection.reader.read(&mut [0; 1]);
        let is_open = end
            .as_ref()
            .is_err_and(|error| matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut));
        run.note(&format!(
            "r{number}: whole {} ms after the call; {} ms after the call the connection is {}",
            whole_at.duration_since(called).as_millis(),
            called.elapsed().as_millis(),
            if is_open { "HELD IDLE" } else { "closed" }
        ));
        held += usize::from(is_open && run.trouble);
        // How long it is held in the end, for the record.
        if is_open && run.trouble {
            let run = run.clone();
            thread::spawn(move || {
                let _ = connection.stream().set_read_timeout(Some(Duration::from_secs(10)));
                let end = connection.reader.read(&mut [0; 1]);
                run.note(&format!(
                    "r{number}: the connection ended {} ms after the call: {end:?}",
                    called.elapsed().as_millis()
                ));
            });
        }
    }
    sleep_ms(3_000);
    run.note(&format!("{seen} whole answers, {held} connections held idle 4 s after the call"));
    match (seen, held) {
        (0, _) => Verdict::CannotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
