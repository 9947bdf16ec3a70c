//! A mock discovery service.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, TryRecvError, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::backend::Backend;
use super::message::{Message, read_message};

/// The requests that a discovery has received.
type Requests = Arc<Mutex<Vec<Message>>>;

/// The lines that a discovery has published, and how often it has ended all watches.
#[derive(Default)]
struct Published {
    lines: Vec<String>,
    resets: usize,
}

/// The maximum interval between lines on a watch. It is well below the 2 s that the protocol requires, so that it is
/// met on a busy machine too.
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);
/// The interval between checks for lines to write.
const CHECK_PERIOD: Duration = Duration::from_millis(10);

/// A mock discovery for one proxy. A new watch gets all lines published so far; a watch that resumes from a version
/// gets only those of later versions. Both then get each line as it is published.
pub struct Discovery {
    pub address: SocketAddr,
    published: Arc<Mutex<Published>>,
    pub requests: Requests,
    _stop: Sender<()>,
}

impl Discovery {
    /// Starts a discovery on a free port.
    pub fn new() -> Self {
        Discovery::on_listener(TcpListener::bind("127.0.0.1:0").expect("a port"))
    }

    /// Starts a discovery on this listener.
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

    /// Sends a line on all current and later watches.
    pub fn publish(&self, line: &str) {
        self.published.lock().expect("no panic").lines.push(line.to_owned());
    }

    /// Ends all watches, and publishes a line before a new watch can begin.
    pub fn reset_watches_and_publish(&self, line: &str) {
        let mut published = self.published.lock().expect("no panic");
        published.resets += 1;
        published.lines.push(line.to_owned());
    }
}

/// The state that all connections of a discovery share.
struct Server {
    published: Arc<Mutex<Published>>,
    requests: Requests,
    /// The receiver of a channel that is disconnected when the [`Discovery`] is dropped.
    stopped: Mutex<Receiver<()>>,
}

impl Server {
    /// Serves one watch until it is reset, its connection ends or the discovery is dropped.
    fn watch(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("the stream can be cloned"));
        let Some(request) = read_message(&mut reader) else { return };
        let resumes_from = resume_version(&request.first_line);
        let resets = self.published.lock().expect("no panic").resets;
        self.requests.lock().expect("no panic").push(request);
        let mut written = 0;
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let mut last_write = Instant::now();
        // The first object on a watch that resumes contains the changes since its version, even if there are none.
        let mut no_changes = resumes_from.map(|version| list(version, false, &[]));
        loop {
            let new_lines: Vec<String> = {
                let published = self.published.lock().expect("no panic");
                if published.resets != resets {
                    return;
                }
                let previous_version = if written == 0 { resumes_from } else { None };
                let new_lines = &published.lines[written..];
                written = published.lines.len();
                let is_new = |line: &&String| previous_version.is_none_or(|version| is_later(line, version));
                new_lines.iter().filter(is_new).cloned().collect()
            };
            let is_heartbeat_due = new_lines.is_empty() && last_write.elapsed() >= HEARTBEAT_PERIOD;
            let empty_list = no_changes.take().filter(|_| new_lines.is_empty());
            let mut text: String =
                empty_list.iter().chain(&new_lines).map(|line| format!("{line}\n")).collect();
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

/// The version that a watch resumes from, according to the first line of its request.
fn resume_version(request: &str) -> Option<u64> {
    let (_, rest) = request.split_once("after=")?;
    rest.split(|character: char| !character.is_ascii_digit()).next()?.parse().ok()
}

/// Whether a line is of a later version than this one. False for a malformed line without a version, which is therefore
/// not sent again on a watch that resumes.
fn is_later(line: &str, version: u64) -> bool {
    let list: Option<serde_json::Value> = serde_json::from_str(line).ok();
    list.and_then(|list| list["seq"].as_u64()).is_some_and(|seq| seq > version)
}

/// A host entry of an endpoint list, as JSON.
pub fn host(name: &str, dial: SocketAddr, health: &str, born_ms: u64) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{dial}","site":"a","class":"k","block":1,"health":"{health}","share":4.0,"born_ms":{born_ms}}}"#
    )
}

/// A discovery line, as JSON: a full endpoint list if `is_full`, otherwise changes to the previous version.
pub fn list(seq: u64, is_full: bool, hosts: &[String]) -> String {
    format!(r#"{{"seq":{seq},"whole":{is_full},"hosts":[{}]}}"#, hosts.join(","))
}

/// A full endpoint list of version 1 in which all these backends are up.
pub fn all_up(backends: &[&Backend]) -> String {
    let entry = |(index, backend): (usize, &&Backend)| host(&format!("s-{index}"), backend.address, "up", 0);
    list(1, true, &backends.iter().enumerate().map(entry).collect::<Vec<_>>())
}
