//! A process that is one proxy and handles signals.

use std::path::Path;
use std::sync::Arc;

use tokio::runtime::Runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::oneshot;

use super::run::{self, ReloadSource};
use super::runtime;
use crate::config::Config;
use crate::error::{DriverEnd, Error};

/// A process that handles its signals. Until it is created they end the process, so it is created before all else.
pub struct Process {
    runtime: Runtime,
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Process {
    /// Starts to handle SIGTERM, SIGINT and SIGHUP.
    ///
    /// # Errors
    /// If the system does not let it.
    pub fn new() -> Result<Self, Error> {
        let runtime = runtime::new()?;
        let context = runtime.enter();
        let handle = |kind, name: &str| signal(kind).map_err(Error::system(name));
        let terminate = handle(SignalKind::terminate(), "SIGTERM")?;
        let interrupt = handle(SignalKind::interrupt(), "SIGINT")?;
        let hangup = handle(SignalKind::hangup(), "SIGHUP")?;
        drop(context);
        Ok(Process { runtime, terminate, interrupt, hangup })
    }

    /// Does work that may take long before the proxy runs; `None` if the process is signalled to end meanwhile.
    ///
    /// # Errors
    /// If there is no thread for it, or it panics.
    pub fn prepare<T: Send + 'static>(
        &mut self, work: impl FnOnce() -> T + Send + 'static,
    ) -> Result<Option<T>, Error> {
        let (done, result) = oneshot::channel();
        let work = move || drop(done.send(work())); // fails if the process is signalled to end meanwhile
        let thread = std::thread::Builder::new().name("start".into()).spawn(work);
        thread.map_err(Error::system("a thread for the start"))?;
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

    /// Runs a proxy in this thread until SIGTERM or SIGINT, when it finishes the requests that it has accepted. At
    /// SIGHUP it reads `path` again; one that came before leads to one more reading.
    ///
    /// # Errors
    /// If something that it needs can't be opened, before it has accepted anything; or if its driver ends.
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
