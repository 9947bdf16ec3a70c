//! Repeats of keyed requests: backends drop them only for a while after the first attempt was sent.
mod sockets;

use std::io::{BufReader, Read, Write};
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use sockets::*;

/// For how long backends of a cell drop repeats.
const WINDOW: Duration = Duration::from_millis(1500);

fn booking(id: &str) -> String {
    format!(
        "POST /booking?sid=7f HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id}\r\nX-Tenant-Id: acme\r\nX-Timeout: 20\r\n\
         Idempotency-Key: {id}\r\nContent-Length: 1\r\n\r\nx"
    )
}

/// A booking whose first attempt may have run, and whose repeat waits for a connection to another backend of the cell.
struct Repeat {
    client: Client,
    /// When the first attempt had reached its backend.
    first_at: Instant,
    second: TcpListener,
    fill: std::net::TcpStream,
    _proxy: Proxy,
    _discovery: Discovery,
}

impl Repeat {
    fn new() -> Self {
        let gate = Gate::default();
        let held = gate.clone();
        let first = Backend::with(move |_| Deed::Parts(String::new(), held.clone(), "no HTTP".into()));
        let (second, fill) = full_listener();
        let discovery = Discovery::new();
        discovery.say(&list(1, true, &[host("s-0", first.address, "up", 0)]));
        let setup = Setup { admin: true, deadline: 20_000, dial_timeout: 15_000, ..Setup::default() };
        let text = config(discovery.address, &setup).replace("\"window\":2500", "\"window\":1500");
        let proxy = Proxy::start_with(&text, &setup);
        wait_for("/up", || proxy.is_up());
        let mut client = Client::new(&proxy);
        client.send(&booking("r-1"));
        wait_for("the first attempt", || first.seen().len() == 1);
        let first_at = Instant::now();
        let address = second.local_addr().expect("an address");
        discovery.say(&list(2, false, &[host("s-1", address, "up", 0)]));
        wait_for("two members", || proxy.figure("/members") == 2);
        let dials = proxy.dials();
        gate.open();
        wait_for("a second dial", || proxy.dials() > dials);
        Repeat { client, first_at, second, fill, _proxy: proxy, _discovery: discovery }
    }
}

#[test]
fn a_repeat_whose_connection_comes_up_after_the_window_is_not_sent() {
    let mut repeat = Repeat::new();
    // The system's time alone decides: the window is over, however busy the machine.
    while repeat.first_at.elapsed() <= WINDOW {
        std::thread::sleep(Duration::from_millis(10));
    }
    // The proxy may give the connection up before it is accepted, or close it unused.
    let received = Arc::<Mutex<Vec<u8>>>::default();
    let (into, second, fill) = (received.clone(), repeat.second, repeat.fill);
    std::thread::spawn(move || {
        let late = come_up(&second, &fill);
        BufReader::new(late)
            .bytes()
            .map_while(Result::ok)
            .for_each(|byte| into.lock().expect("no panic").push(byte));
    });
    assert_eq!(repeat.client.answer().expect("an answer").status(), 502);
    let received = received.lock().expect("no panic");
    assert!(received.is_empty(), "{}", String::from_utf8_lossy(&received));
}

#[test]
fn a_repeat_whose_connection_comes_up_within_the_window_is_sent() {
    let mut repeat = Repeat::new();
    let connection = come_up(&repeat.second, &repeat.fill);
    assert!(repeat.first_at.elapsed() < WINDOW, "too slow a machine to tell");
    let mut reader = BufReader::new(connection);
    assert_eq!(read_message(&mut reader).expect("the repeat").id(), "r-1");
    reader.get_mut().write_all(ok("again").as_bytes()).expect("it reads");
    assert_eq!(repeat.client.answer().expect("an answer").text(), "again");
}
