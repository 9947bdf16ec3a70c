//! Stand-in discovery, one listener for each proxy, so that it is known what was told to whom.

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
use crate::http::Reader;

/// An empty line comes this often while nothing changes.
const HEARTBEAT: Duration = Duration::from_millis(1900);
/// How long a slow discovery takes for an answer.
const SLOW_ANSWER: Duration = Duration::from_millis(700);

/// How discovery behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// As it should.
    #[default]
    Up,
    /// It takes its time for each answer.
    Slow,
    /// Connections come up, and watches stay open, but nothing is said.
    Silent,
    /// It turns calls away.
    Busy,
}

/// The list and its versions.
#[derive(Default)]
struct List {
    version: u64,
    /// Entries by name, with the version of their last change.
    entries: BTreeMap<String, (u64, Value)>,
    mode: Mode,
    /// Watches that were opened under another number are to end.
    epoch: u64,
}

impl List {
    fn since(&self, after: Option<u64>) -> String {
        let changed = self.entries.values().filter(|(version, _)| after.is_none_or(|after| *version > after));
        let listed = changed.filter(|(_, entry)| after.is_some() || entry["health"] != "removed");
        let hosts: Vec<&Value> = listed.map(|(_, entry)| entry).collect();
        json!({"seq": self.version, "whole": after.is_none(), "hosts": hosts}).to_string()
    }
}

/// What discovery says of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It takes requests.
    Up,
    /// It takes no new ones.
    Draining,
    /// It has left.
    Removed,
}

/// The discovery of one fleet.
pub struct Discovery {
    list: Mutex<List>,
    changes: watch::Sender<u64>,
    listeners: Mutex<Vec<(SocketAddr, JoinHandle<()>)>>,
}

impl Discovery {
    /// Discovery without backends or listeners.
    pub fn new() -> Arc<Self> {
        let (changes, _) = watch::channel(0);
        Arc::new(Discovery { list: Mutex::default(), changes, listeners: Mutex::default() })
    }

    /// Opens one more listener.
    ///
    /// # Errors
    /// If it finds no port.
    pub async fn listen(self: &Arc<Self>) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(self.clone().serve(listener));
        self.listeners().push((address, task));
        Ok(address)
    }

    /// Lists a backend, with the wall-clock time of its start if it has just started.
    pub fn tell(&self, backend: &Backend, health: Health, started: Option<SystemTime>) {
        let name = name(backend.number);
        let health = match health {
            Health::Up => "up",
            Health::Draining => "draining",
            Health::Removed => "removed",
        };
        let mut list = self.list();
        list.version += 1;
        let version = list.version;
        let before = list.entries.get(&name).map_or(json!(0), |(_, entry)| entry["born_ms"].clone());
        let born = started.and_then(|at| at.duration_since(UNIX_EPOCH).ok());
        let born = born.map_or(before, |at| json!(at.as_millis() as u64));
        let entry = json!({"host": name, "dial": backend.address, "site": "a", "class": "k",
            "block": backend.cell, "health": health, "share": 1.0, "born_ms": born});
        list.entries.insert(name, (version, entry));
        self.changes.send_replace(version);
    }

    /// From now on it behaves so. Watches that are open go on, or fall silent.
    pub fn set_mode(&self, mode: Mode) {
        self.list().mode = mode;
    }

    /// Ends all watches.
    pub fn reset_watches(&self) {
        let mut list = self.list();
        list.epoch += 1;
        self.changes.send_replace(list.version);
    }

    /// It goes down: connections are refused and watches are reset.
    pub fn stop(&self) {
        self.listeners().iter().for_each(|(_, task)| task.abort());
    }

    /// It comes back.
    ///
    /// # Errors
    /// If a port can't be had again.
    pub async fn resume(self: &Arc<Self>) -> io::Result<()> {
        let before = std::mem::take(&mut *self.listeners());
        for (address, task) in before {
            task.abort();
            let _ = task.await; // then its port is free
            let socket = TcpSocket::new_v4()?;
            socket.set_reuseaddr(true)?;
            socket.bind(address)?;
            let task = tokio::spawn(self.clone().serve(socket.listen(256)?));
            self.listeners().push((address, task));
        }
        Ok(())
    }

    fn list(&self) -> MutexGuard<'_, List> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn listeners(&self) -> MutexGuard<'_, Vec<(SocketAddr, JoinHandle<()>)>> {
        self.listeners.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(self: Arc<Self>, listener: TcpListener) {
        let mut calls = JoinSet::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let discovery = self.clone();
            calls.spawn(async move { discovery.answer(stream).await.unwrap_or(()) });
            while calls.try_join_next().is_some() {}
        }
    }

    /// Answers one call: a watch that lasts until the connection or its epoch ends.
    async fn answer(&self, stream: TcpStream) -> io::Result<()> {
        let (input, mut output) = stream.into_split();
        let Some(head) = Reader::new(input).head().await? else { return Ok(()) };
        let mut after = version_after(&head.first);
        let mut changes = self.changes.subscribe();
        let (mode, epoch) = {
            let list = self.list();
            (list.mode, list.epoch)
        };
        match mode {
            Mode::Up | Mode::Silent => {}
            Mode::Slow => tokio::time::sleep(SLOW_ANSWER).await,
            Mode::Busy => {
                return output.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").await;
            }
        }
        self.loud().await;
        output.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        let mut first = true;
        loop {
            changes.borrow_and_update();
            let line = {
                let list = self.list();
                if list.epoch != epoch {
                    return Ok(());
                }
                let news = first || after.is_none_or(|after| list.version > after);
                let line = if news { list.since(after) } else { String::new() };
                after = Some(list.version);
                line + "\n"
            };
            first = false;
            output.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).await?;
            let _ = tokio::time::timeout(HEARTBEAT, changes.changed()).await; // then a heartbeat is due
            self.loud().await;
        }
    }

    /// Waits until it is not silent.
    async fn loud(&self) {
        while self.list().mode == Mode::Silent {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// The name under which a backend is listed.
pub fn name(backend: usize) -> String {
    format!("s-{backend}")
}

fn version_after(line: &str) -> Option<u64> {
    let (_, rest) = line.split_once("after=")?;
    rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}
