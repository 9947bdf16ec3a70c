//! A proxy in a thread of a process that does other things too.

use std::sync::Arc;
use std::thread::JoinHandle;

use tokio::sync::oneshot;

use super::run::{self, Addresses};
use super::runtime;
use crate::config::Config;
use crate::error::{DriverEnd, Error};
use crate::metrics::Metrics;

/// A proxy that runs in a thread of this process.
pub struct Running {
    /// Where it listens.
    pub addresses: Addresses,
    /// Its metrics.
    pub metrics: Arc<Metrics>,
    stop: oneshot::Sender<()>,
    thread: JoinHandle<Result<(), Error>>,
}

/// Starts a proxy in a thread of its own, and returns once it listens. It handles no signals.
///
/// # Errors
/// As [`Process::serve`](super::Process::serve).
pub fn spawn(config: Config) -> Result<Running, Error> {
    let (stop, stopped) = oneshot::channel::<()>();
    let (ready, addresses) = std::sync::mpsc::channel();
    let metrics = Arc::<Metrics>::default();
    let proxy_metrics = metrics.clone();
    let proxy = move || {
        let ready = move |addresses| {
            let _ = ready.send(addresses); // the receiver waits for it
        };
        let stop = async move { drop(stopped.await) };
        runtime::block_on(runtime::new()?, run::run(config, None, proxy_metrics, ready, stop))
    };
    let thread = std::thread::Builder::new().name("proxy".into()).spawn(proxy);
    let thread = thread.map_err(Error::system("a thread for the proxy"))?;
    match addresses.recv() {
        Ok(addresses) => Ok(Running { addresses, metrics, stop, thread }),
        Err(_) => Err(join(thread).err().unwrap_or_else(|| DriverEnd::Start.into())),
    }
}

fn join(thread: JoinHandle<Result<(), Error>>) -> Result<(), Error> {
    thread.join().unwrap_or_else(|_| Err(DriverEnd::Panic.into()))
}

impl Running {
    /// Stops it; returns once it has answered all requests that it had accepted.
    ///
    /// # Errors
    /// If it had ended before.
    pub fn stop(self) -> Result<(), Error> {
        let _ = self.stop.send(()); // fails if the proxy has ended by itself, which its thread tells
        join(self.thread)
    }
}
