//! Test discovery service with a separate listener for each proxy, so that it is known what was published to which
//! proxy.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use crate::backend::Backend;
use crate::http::MessageReader;

/// Interval between the empty lines that a watch sends while nothing changes.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(1900);
/// Delay of each response in [`DiscoveryMode::Slow`].
const SLOW_RESPONSE: Duration = Duration::from_millis(700);
/// Interval between checks whether discovery is still silent.
const SILENCE_CHECK_PERIOD: Duration = Duration::from_millis(10);
/// Length of a listener's accept queue, in connections.
const BACKLOG: u32 = 256;

/// How discovery behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Responds normally.
    #[default]
    Up,
    /// Responds late.
    Slow,
    /// Accepts connections and keeps watches open, but sends nothing.
    Silent,
    /// Rejects calls with status 503.
    Busy,
}

/// An entry of the endpoint list.
struct Entry {
    /// The list's version at the last change of this entry.
    version: u64,
    /// The entry as it is sent to proxies.
    json: Value,
}

/// The endpoint list and how it is published.
#[derive(Default)]
struct State {
    /// Version of the list, which grows with each change.
    version: u64,
    /// The entries by backend name.
    entries: BTreeMap<String, Entry>,
    mode: DiscoveryMode,
    /// Current epoch of watches; those that were opened in an earlier epoch end.
    epoch: u64,
}

impl State {
    /// Serializes the changes after a version, or the full list if no version is given.
    fn changes_since(&self, after: Option<u64>) -> String {
        let changed = self.entries.values().filter(|entry| after.is_none_or(|after| entry.version > after));
        let listed = changed.filter(|entry| after.is_some() || entry.json["health"] != "removed");
        let hosts: Vec<&Value> = listed.map(|entry| &entry.json).collect();
        json!({"seq": self.version, "whole": after.is_none(), "hosts": hosts}).to_string()
    }
}

/// A listener and the task that serves it.
struct Listener {
    address: SocketAddr,
    task: JoinHandle<()>,
}

/// The state of a backend in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Accepts requests.
    Up,
    /// Accepts no new requests.
    Draining,
    /// Has been removed from the list.
    Removed,
}

/// The discovery service of one fleet.
pub struct Discovery {
    state: Mutex<State>,
    /// Notifies open watches of each new version of the list.
    changes: watch::Sender<u64>,
    listeners: Mutex<Vec<Listener>>,
}

impl Discovery {
    /// Creates a discovery service without backends or listeners.
    pub fn new() -> Arc<Self> {
        let (changes, _) = watch::channel(0);
        Arc::new(Discovery { state: Mutex::default(), changes, listeners: Mutex::default() })
    }

    /// Opens another listener and returns its address.
    ///
    /// # Errors
    /// If no port is free.
    pub async fn listen(self: &Arc<Self>) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(self.clone().serve(listener));
        self.listeners().push(Listener { address, task });
        Ok(address)
    }

    /// Publishes a backend. `started_at` is the wall-clock time of its start if it has just started; without it, the
    /// listed start time stays.
    pub fn publish(&self, backend: &Backend, health: Health, started_at: Option<SystemTime>) {
        let name = backend_name(backend.index);
        let health = match health {
            Health::Up => "up",
            Health::Draining => "draining",
            Health::Removed => "removed",
        };
        let mut state = self.state();
        state.version += 1;
        let version = state.version;
        let old_start = state.entries.get(&name).map_or(json!(0), |entry| entry.json["born_ms"].clone());
        let since_epoch = started_at.and_then(|at| at.duration_since(UNIX_EPOCH).ok());
        let start = since_epoch.map_or(old_start, |time| json!(time.as_millis() as u64));
        let json = json!({"host": name, "dial": backend.address, "site": "a", "class": "k",
            "block": backend.cell, "health": health, "share": 1.0, "born_ms": start});
        state.entries.insert(name, Entry { version, json });
        self.changes.send_replace(version);
    }

    /// Changes how discovery behaves. Open watches stay open; they send nothing in [`DiscoveryMode::Silent`].
    pub fn set_mode(&self, mode: DiscoveryMode) {
        self.state().mode = mode;
    }

    /// Ends all watches.
    pub fn reset_watches(&self) {
        let mut state = self.state();
        state.epoch += 1;
        self.changes.send_replace(state.version);
    }

    /// Stops all listeners: new connections are refused and open watches are reset.
    pub fn stop(&self) {
        self.listeners().iter().for_each(|listener| listener.task.abort());
    }

    /// Opens the listeners again at the same addresses.
    ///
    /// # Errors
    /// If a port can't be bound again.
    pub async fn resume(self: &Arc<Self>) -> io::Result<()> {
        let stopped = std::mem::take(&mut *self.listeners());
        for Listener { address, task } in stopped {
            task.abort();
            let _ = task.await; // the port is free once the task has ended
            let socket = TcpSocket::new_v4()?;
            socket.set_reuseaddr(true)?;
            socket.bind(address)?;
            let task = tokio::spawn(self.clone().serve(socket.listen(BACKLOG)?));
            self.listeners().push(Listener { address, task });
        }
        Ok(())
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn listeners(&self) -> MutexGuard<'_, Vec<Listener>> {
        self.listeners.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(self: Arc<Self>, listener: TcpListener) {
        let mut calls = JoinSet::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let discovery = self.clone();
            calls.spawn(async move { discovery.respond(stream).await.unwrap_or(()) });
            while calls.try_join_next().is_some() {}
        }
    }

    /// Responds to a call with a watch that lasts until its connection or its epoch ends.
    async fn respond(&self, stream: TcpStream) -> io::Result<()> {
        let (input, mut output) = stream.into_split();
        let Some(head) = MessageReader::new(input).read_head().await? else { return Ok(()) };
        let mut changes = self.changes.subscribe();
        let (mode, epoch) = self.mode_and_epoch();
        match mode {
            DiscoveryMode::Up | DiscoveryMode::Silent => {}
            DiscoveryMode::Slow => tokio::time::sleep(SLOW_RESPONSE).await,
            DiscoveryMode::Busy => {
                return output.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").await;
            }
        }
        self.wait_while_silent().await;
        output.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        let mut watch = Watch { epoch, sent_version: resume_version(&head.first_line), is_first_line: true };
        loop {
            changes.borrow_and_update();
            let Some(line) = watch.next_line(&self.state()) else { return Ok(()) };
            output.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).await?;
            let _ = tokio::time::timeout(HEARTBEAT_PERIOD, changes.changed()).await; // timeout: a heartbeat is due
            self.wait_while_silent().await;
        }
    }

    fn mode_and_epoch(&self) -> (DiscoveryMode, u64) {
        let state = self.state();
        (state.mode, state.epoch)
    }

    async fn wait_while_silent(&self) {
        while self.state().mode == DiscoveryMode::Silent {
            tokio::time::sleep(SILENCE_CHECK_PERIOD).await;
        }
    }
}

/// An open watch of one proxy.
struct Watch {
    epoch: u64,
    /// The version of the list that was last sent to the proxy.
    sent_version: Option<u64>,
    is_first_line: bool,
}

impl Watch {
    /// Returns the next line to send: changes, or an empty line as a heartbeat. `None` if the watch has been reset.
    fn next_line(&mut self, state: &State) -> Option<String> {
        if state.epoch != self.epoch {
            return None;
        }
        let has_changes = self.sent_version.is_none_or(|sent| state.version > sent);
        let mut line = String::new();
        if self.is_first_line || has_changes {
            line = state.changes_since(self.sent_version);
        }
        line.push('\n');
        self.sent_version = Some(state.version);
        self.is_first_line = false;
        Some(line)
    }
}

/// The name under which a backend is listed.
pub fn backend_name(backend: usize) -> String {
    format!("s-{backend}")
}

/// Parses the version from which a watch resumes out of its request line.
fn resume_version(request_line: &str) -> Option<u64> {
    let (_, rest) = request_line.split_once("after=")?;
    rest.split(|character: char| !character.is_ascii_digit()).next()?.parse().ok()
}
