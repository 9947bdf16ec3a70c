//! Runs a proxy on one thread of a process that also does other work.

use std::sync::Arc;
use std::thread::JoinHandle;

use tokio::sync::oneshot;

use super::run::{self, Addresses};
use super::runtime;
use crate::config::Config;
use crate::error::{DriverEnd, Error};
use crate::metrics::Metrics;

/// A proxy that runs on a thread of this process.
pub struct RunningProxy {
    /// The addresses on which the proxy listens.
    pub addresses: Addresses,
    /// The metrics of the proxy.
    pub metrics: Arc<Metrics>,
    stop: oneshot::Sender<()>,
    thread: JoinHandle<Result<(), Error>>,
}

/// Starts a proxy on a new thread, and returns once the proxy listens. The proxy handles no signals.
///
/// # Errors
/// Returns an error in the cases of [`Process::serve`](super::Process::serve).
pub fn spawn(config: Config) -> Result<RunningProxy, Error> {
    let (stop, stopped) = oneshot::channel::<()>();
    let (ready, addresses) = std::sync::mpsc::channel();
    let metrics = Arc::<Metrics>::default();
    let proxy_metrics = metrics.clone();
    let proxy = move || {
        let ready = move |addresses| {
            let _ = ready.send(addresses); // `spawn` waits on the receiver
        };
        let stop = async move { drop(stopped.await) };
        runtime::block_on(runtime::new()?, run::run(config, None, proxy_metrics, ready, stop))
    };
    let thread = std::thread::Builder::new().name("proxy".into()).spawn(proxy);
    let thread = thread.map_err(Error::operating_system("cannot start the proxy thread"))?;
    match addresses.recv() {
        Ok(addresses) => Ok(RunningProxy { addresses, metrics, stop, thread }),
        Err(_) => Err(join(thread).err().unwrap_or_else(|| DriverEnd::Start.into())),
    }
}

fn join(thread: JoinHandle<Result<(), Error>>) -> Result<(), Error> {
    thread.join().unwrap_or_else(|_| Err(DriverEnd::Panic.into()))
}

impl RunningProxy {
    /// Stops the proxy; returns once it has responded to all requests that it had accepted.
    ///
    /// # Errors
    /// Returns an error if the proxy ended with an error before.
    pub fn stop(self) -> Result<(), Error> {
        let _ = self.stop.send(()); // fails if the proxy has already ended; `join` then returns its error
        join(self.thread)
    }
}
