//! Discovery that moves, restarts, breaks off or has too many callers, where lists are asked for.
mod sockets;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use sockets::{Backend, Client, Deed, Proxy, Setup, config, host, list, ok, page, read_message, wait_for};

/// What a scripted discovery does with a call.
enum Turn {
    /// Waits so long, then tells these lines and keeps the watch open.
    Tell(Duration, Vec<String>),
    /// Tells these lines and ends the watch.
    End(Vec<String>),
    /// Answers 503.
    Refuse,
}

/// Calls by when they came and their first lines.
type Calls = Arc<Mutex<Vec<(Instant, String)>>>;

/// A discovery whose every call, counted from 0, goes by a script.
struct Scripted {
    address: SocketAddr,
    calls: Calls,
}

impl Scripted {
    fn new(script: impl Fn(usize) -> Turn + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let calls = Calls::default();
        let (seen, script) = (calls.clone(), Arc::new(script));
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (seen, script) = (seen.clone(), script.clone());
                thread::spawn(move || serve(stream.expect("a connection"), &seen, &*script));
            }
        });
        Scripted { address, calls }
    }

    fn lines(&self) -> Vec<String> {
        self.calls.lock().expect("no panic").iter().map(|(_, line)| line.clone()).collect()
    }

    fn count(&self) -> usize {
        self.calls.lock().expect("no panic").len()
    }
}

fn serve(mut stream: TcpStream, calls: &Calls, script: &dyn Fn(usize) -> Turn) {
    let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
    let Some(request) = read_message(&mut reader) else { return };
    let number = {
        let mut calls = calls.lock().expect("no panic");
        calls.push((Instant::now(), request.first));
        calls.len() - 1
    };
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunk = |line: &String| format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
    let chunks = |lines: &[String]| lines.iter().map(chunk).collect::<String>();
    match script(number) {
        Turn::Refuse => {
            let _ = stream.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        }
        Turn::End(lines) => {
            let _ = stream.write_all(format!("{head}{}0\r\n\r\n", chunks(&lines)).as_bytes());
        }
        Turn::Tell(wait, lines) => {
            thread::sleep(wait);
            let _ = stream.write_all(format!("{head}{}", chunks(&lines)).as_bytes());
            // Empty lines for as long as somebody listens.
            while stream.write_all(b"1\r\n\n\r\n").is_ok() {
                thread::sleep(Duration::from_millis(500));
            }
        }
    }
}

/// A proxy that asks for its lists.
fn asking(address: SocketAddr, known: &str) -> (String, Proxy) {
    let setup = Setup { known: known.into(), ..Setup::default() };
    let text = config(address, &setup).replace(r#""discovery":"pushed""#, r#""discovery":"on_request""#);
    let proxy = Proxy::start_with(&text, &setup);
    (text, proxy)
}

fn told(seq: u64, whole: bool, backend: &Backend, health: &str) -> String {
    list(seq, whole, &[host("s-0", backend.address, health, 0)])
}

fn status(proxy: &Proxy, id: &str) -> u16 {
    let text = page(id).replace("X-Timeout: 5", "X-Timeout: 0.3");
    Client::new(proxy).ask(&text).expect("an answer").status()
}

/// Waits until a proxy sends nothing any more to its only backend.
fn drained(proxy: &Proxy) {
    let mut number = 0;
    wait_for("the drain", || {
        number += 1;
        status(proxy, &format!("r-drain-{number}")) != 200
    });
}

#[test]
fn a_watch_that_ends_after_a_move_is_opened_again() {
    let backend = Backend::new(Deed::Write(ok("")));
    let first = told(1, true, &backend, "up");
    let old = Scripted::new(move |_| Turn::Tell(Duration::ZERO, vec![first.clone()]));
    let (whole, drain) = (told(1, true, &backend, "up"), told(2, false, &backend, "draining"));
    // The first watch after the move tells its list and ends; the drain is told to the next one.
    let new = Scripted::new(move |call| match call {
        0 => Turn::End(vec![whole.clone()]),
        _ => Turn::Tell(Duration::ZERO, vec![drain.clone()]),
    });
    let (text, proxy) = asking(old.address, "null");
    wait_for("/up", || proxy.is_up());
    assert_eq!(status(&proxy, "r-before"), 200);
    proxy.reload(&text.replace(&old.address.to_string(), &new.address.to_string()));
    drained(&proxy);
    assert!(new.lines()[1].contains("watch=1&after=1 "), "{:?}", new.lines());
    assert_eq!(old.count(), 1, "the old address is called no more");
}

#[test]
fn a_first_watch_after_a_move_that_fails_is_opened_again() {
    let backend = Backend::new(Deed::Write(ok("")));
    let first = told(1, true, &backend, "up");
    let old = Scripted::new(move |_| Turn::Tell(Duration::ZERO, vec![first.clone()]));
    let drain = told(1, true, &backend, "draining");
    let new = Scripted::new(move |call| match call {
        0 | 1 => Turn::Refuse,
        _ => Turn::Tell(Duration::ZERO, vec![drain.clone()]),
    });
    let (text, proxy) = asking(old.address, "null");
    wait_for("/up", || proxy.is_up());
    proxy.reload(&text.replace(&old.address.to_string(), &new.address.to_string()));
    drained(&proxy);
    assert_eq!((old.count(), new.count()), (1, 3));
}

#[test]
fn a_call_that_waits_its_turn_is_not_given_up() {
    let backend = Backend::new(Deed::Write(ok("")));
    let line = told(1, true, &backend, "up");
    // A service that answers whoever has waited for 1.6 s, and nobody sooner.
    let busy = Scripted::new(move |_| Turn::Tell(Duration::from_millis(1600), vec![line.clone()]));
    let (_, proxy) = asking(busy.address, "null");
    wait_for("/up", || proxy.is_up());
    assert_eq!(busy.count(), 1, "its turn came, as nobody had given it up");
    assert_eq!(status(&proxy, "r-1"), 200);
}

#[test]
fn a_service_that_counts_its_versions_anew_is_believed() {
    let backend = Backend::new(Deed::Write(ok("")));
    let (up, drain) = (told(41, true, &backend, "up"), told(3, true, &backend, "draining"));
    let restarted = Scripted::new(move |call| match call {
        0 => Turn::End(vec![up.clone()]),
        _ => Turn::Tell(Duration::ZERO, vec![drain.clone()]),
    });
    let (_, proxy) = asking(restarted.address, "null");
    wait_for("/up", || proxy.is_up());
    drained(&proxy);
    assert_eq!(restarted.count(), 2);
}

#[test]
fn changes_since_a_version_that_the_service_never_had_lead_to_the_whole_list() {
    let backend = Backend::new(Deed::Write(ok("")));
    let up = told(41, true, &backend, "up");
    let (changes, whole) = (list(3, false, &[]), told(3, true, &backend, "draining"));
    let restarted = Scripted::new(move |call| match call {
        0 => Turn::End(vec![up.clone()]),
        1 => Turn::Tell(Duration::ZERO, vec![changes.clone()]),
        _ => Turn::Tell(Duration::ZERO, vec![whole.clone()]),
    });
    let (_, proxy) = asking(restarted.address, "null");
    wait_for("/up", || proxy.is_up());
    drained(&proxy);
    let lines = restarted.lines();
    assert!(lines[1].contains("after=41") && !lines[2].contains("after"), "{lines:?}");
}
