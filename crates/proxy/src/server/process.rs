//! Runs one proxy in a process that handles signals.

use std::path::Path;
use std::sync::Arc;

use tokio::runtime::Runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::oneshot;

use super::run::{self, ReloadSource};
use super::runtime;
use crate::config::Config;
use crate::error::{DriverEnd, Error};

/// The signal handlers and the runtime of a process that runs one proxy. Until this is created the signals have their
/// default action and terminate the process, so create it before anything else.
pub struct Process {
    runtime: Runtime,
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Process {
    /// Installs handlers for SIGTERM, SIGINT and SIGHUP.
    ///
    /// # Errors
    /// Returns an error if the runtime or a signal handler can't be created.
    pub fn new() -> Result<Self, Error> {
        let runtime = runtime::new()?;
        let context = runtime.enter();
        let handle = |kind, operation: &str| signal(kind).map_err(Error::operating_system(operation));
        let terminate = handle(SignalKind::terminate(), "cannot handle SIGTERM")?;
        let interrupt = handle(SignalKind::interrupt(), "cannot handle SIGINT")?;
        let hangup = handle(SignalKind::hangup(), "cannot handle SIGHUP")?;
        drop(context);
        Ok(Process { runtime, terminate, interrupt, hangup })
    }

    /// Runs `work`, which may take long, on another thread before the proxy starts. Returns `None` if SIGTERM or SIGINT
    /// arrives before `work` is done.
    ///
    /// # Errors
    /// Returns an error if the thread can't be started or `work` panics.
    pub fn prepare<T: Send + 'static>(
        &mut self, work: impl FnOnce() -> T + Send + 'static,
    ) -> Result<Option<T>, Error> {
        let (result_sender, result) = oneshot::channel();
        let work = move || drop(result_sender.send(work())); // fails if SIGTERM or SIGINT arrived first
        let thread = std::thread::Builder::new().name("start".into()).spawn(work);
        thread.map_err(Error::operating_system("cannot start the preparation thread"))?;
        let terminate = &mut self.terminate;
        let interrupt = &mut self.interrupt;
        self.runtime.block_on(async {
            tokio::select! {
                biased;
                _ = terminate.recv() => Ok(None),
                _ = interrupt.recv() => Ok(None),
                result = result => match result {
                    Ok(result) => Ok(Some(result)),
                    Err(error) => Err(DriverEnd::Preparation(error).into()),
                },
            }
        })
    }

    /// Runs a proxy on this thread until SIGTERM or SIGINT arrives, then completes the requests that it has accepted.
    /// At SIGHUP it reloads the configuration from `path`. A SIGHUP that arrived before this call causes one reload.
    ///
    /// # Errors
    /// Returns an error if a socket or another resource can't be opened, in which case the proxy has accepted no
    /// connections, or if the driver ends while the proxy runs.
    pub fn serve(self, path: &Path, config: Config) -> Result<(), Error> {
        let Process { runtime, mut terminate, mut interrupt, hangup } = self;
        let stop = async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        };
        let reload = ReloadSource { path: path.to_owned(), hangup };
        runtime::block_on(runtime, run::run(config, Some(reload), Arc::default(), |_| {}, stop))
    }
}
