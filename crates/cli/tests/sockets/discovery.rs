//! A stand-in discovery.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, TryRecvError, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::backend::Backend;
use super::message::{Message, read_message};

/// Requests that have come.
type Requests = Arc<Mutex<Vec<Message>>>;

/// What a discovery has published, and how often its watches have been reset.
#[derive(Default)]
struct Published {
    lines: Vec<String>,
    resets: usize,
}

/// A line is written to each watch at least this often, well within the 2 s of the protocol however busy the machine.
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);
/// Between checks for lines to write.
const CHECK_PERIOD: Duration = Duration::from_millis(10);

/// Discovery for one proxy: each watch gets the lines published so far, or those of later versions than the one it resumes
/// from, and those that follow.
pub struct Discovery {
    pub address: SocketAddr,
    published: Arc<Mutex<Published>>,
    pub requests: Requests,
    _stop: Sender<()>,
}

impl Discovery {
    pub fn new() -> Self {
        Discovery::on_listener(TcpListener::bind("127.0.0.1:0").expect("a port"))
    }

    pub fn on_listener(listener: TcpListener) -> Self {
        let address = listener.local_addr().expect("an address");
        let published = Arc::<Mutex<Published>>::default();
        let requests = Requests::default();
        let (stop, stopped) = channel();
        let server =
            Server { published: published.clone(), requests: requests.clone(), stopped: Mutex::new(stopped) };
        let server = Arc::new(server);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let server = server.clone();
                thread::spawn(move || server.watch(stream.expect("a connection")));
            }
        });
        Discovery { address, published, requests, _stop: stop }
    }

    pub fn publish(&self, line: &str) {
        self.published.lock().expect("no panic").lines.push(line.to_owned());
    }

    /// Ends all watches, and publishes a line before another one can begin.
    pub fn reset_watches_and_publish(&self, line: &str) {
        let mut published = self.published.lock().expect("no panic");
        published.resets += 1;
        published.lines.push(line.to_owned());
    }
}

/// What the connections of a discovery share.
struct Server {
    published: Arc<Mutex<Published>>,
    requests: Requests,
    /// Disconnected once the discovery has been dropped.
    stopped: Mutex<Receiver<()>>,
}

impl Server {
    /// Serves one watch until it is reset, its connection ends or the discovery is dropped.
    fn watch(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
        let Some(request) = read_message(&mut reader) else { return };
        let resumes_from = version_after(&request.first_line);
        let resets = self.published.lock().expect("no panic").resets;
        self.requests.lock().expect("no panic").push(request);
        let mut written = 0;
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let mut last_write = Instant::now();
        // The first object of a watch that resumes holds the changes, even if there are none.
        let mut no_changes = resumes_from.map(|version| list(version, false, &[]));
        loop {
            let new_lines: Vec<String> = {
                let published = self.published.lock().expect("no panic");
                if published.resets != resets {
                    return;
                }
                let first = if written == 0 { resumes_from } else { None };
                let new_lines = &published.lines[written..];
                written = published.lines.len();
                let is_new = |line: &&String| first.is_none_or(|first| is_later(line, first));
                new_lines.iter().filter(is_new).cloned().collect()
            };
            let is_heartbeat_due = new_lines.is_empty() && last_write.elapsed() >= HEARTBEAT_PERIOD;
            let first = no_changes.take().filter(|_| new_lines.is_empty());
            let mut text: String = first.iter().chain(&new_lines).map(|line| format!("{line}\n")).collect();
            if is_heartbeat_due {
                text.push('\n');
            }
            if !text.is_empty() {
                if write!(stream, "{:x}\r\n{text}\r\n", text.len()).is_err() {
                    return;
                }
                last_write = Instant::now();
            }
            thread::sleep(CHECK_PERIOD);
            if self.is_stopped() {
                return;
            }
        }
    }

    fn is_stopped(&self) -> bool {
        matches!(self.stopped.lock().expect("no panic").try_recv(), Err(TryRecvError::Disconnected))
    }
}

/// The version that a watch resumes from.
fn version_after(request: &str) -> Option<u64> {
    let (_, rest) = request.split_once("after=")?;
    rest.split(|character: char| !character.is_ascii_digit()).next()?.parse().ok()
}

/// Whether a line is of a later version. A malformed one, which has no version, is not sent twice.
fn is_later(line: &str, version: u64) -> bool {
    let list: Option<serde_json::Value> = serde_json::from_str(line).ok();
    list.and_then(|list| list["seq"].as_u64()).is_some_and(|seq| seq > version)
}

/// An entry of a list.
pub fn host(name: &str, dial: SocketAddr, health: &str, born_ms: u64) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{dial}","site":"a","class":"k","block":1,"health":"{health}","share":4.0,"born_ms":{born_ms}}}"#
    )
}

/// A line with a full list or with changes.
pub fn list(seq: u64, whole: bool, hosts: &[String]) -> String {
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, hosts.join(","))
}

/// A full list of backends that are all up, as the first version.
pub fn all_up(backends: &[&Backend]) -> String {
    let entry = |(index, backend): (usize, &&Backend)| host(&format!("s-{index}"), backend.address, "up", 0);
    list(1, true, &backends.iter().enumerate().map(entry).collect::<Vec<_>>())
}
