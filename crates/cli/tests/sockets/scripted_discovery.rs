//! A mock discovery that responds to each call as a script prescribes.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::message::read_message;

/// The response of a scripted discovery to a call, that is, to the request for a watch.
pub enum ScriptedResponse {
    /// Waits, then sends these lines, and keeps the watch open with empty lines.
    Send(Duration, Vec<String>),
    /// Sends these lines and ends the watch.
    End(Vec<String>),
    /// Sends these lines and nothing more, and leaves the connection open; with no lines, sends not even a response
    /// head.
    Silence(Vec<String>),
    /// Responds with status 503.
    Reject,
}

/// The calls received: the time of each and the first line of its request.
type Calls = Arc<Mutex<Vec<(Instant, String)>>>;

/// A discovery that passes the number of each call, counted from 0, to a script, which returns the response.
pub struct ScriptedDiscovery {
    pub address: SocketAddr,
    calls: Calls,
}

impl ScriptedDiscovery {
    pub fn new(script: impl Fn(usize) -> ScriptedResponse + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let calls = Calls::default();
        let server_calls = calls.clone();
        let script = Arc::new(script);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let calls = server_calls.clone();
                let script = script.clone();
                thread::spawn(move || serve(stream.expect("a connection"), &calls, &*script));
            }
        });
        ScriptedDiscovery { address, calls }
    }

    /// The first line of each call's request.
    pub fn lines(&self) -> Vec<String> {
        self.calls.lock().expect("no panic").iter().map(|(_, line)| line.clone()).collect()
    }

    /// The number of calls received so far.
    pub fn count(&self) -> usize {
        self.calls.lock().expect("no panic").len()
    }
}

fn serve(mut stream: TcpStream, calls: &Calls, script: &dyn Fn(usize) -> ScriptedResponse) {
    let mut reader = BufReader::new(stream.try_clone().expect("the stream can be cloned"));
    let Some(request) = read_message(&mut reader) else { return };
    let number = {
        let mut calls = calls.lock().expect("no panic");
        calls.push((Instant::now(), request.first_line));
        calls.len() - 1
    };
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunk = |line: &String| format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
    let chunks = |lines: &[String]| lines.iter().map(chunk).collect::<String>();
    match script(number) {
        ScriptedResponse::Reject => {
            let _ = stream.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        }
        ScriptedResponse::Silence(lines) => {
            let head = if lines.is_empty() { "" } else { head };
            let _ = stream.write_all(format!("{head}{}", chunks(&lines)).as_bytes());
            let _ = reader.read(&mut [0]); // until the proxy closes the connection
        }
        ScriptedResponse::End(lines) => {
            let _ = stream.write_all(format!("{head}{}0\r\n\r\n", chunks(&lines)).as_bytes());
        }
        ScriptedResponse::Send(wait, lines) => {
            thread::sleep(wait);
            let _ = stream.write_all(format!("{head}{}", chunks(&lines)).as_bytes());
            // Sends empty lines as heartbeats until the proxy closes the connection.
            while stream.write_all(b"1\r\n\n\r\n").is_ok() {
                thread::sleep(Duration::from_millis(500));
            }
        }
    }
}
