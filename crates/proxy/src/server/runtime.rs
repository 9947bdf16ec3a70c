//! The runtime of a proxy: one thread.

use tokio::runtime::Runtime;
use tokio::task::LocalSet;

use crate::error::Error;

/// A runtime on the current thread.
pub fn new() -> Result<Runtime, Error> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(Error::system("the runtime"))
}

/// Runs a proxy to its end, without waiting for blocking tasks that remain.
pub fn block_on<T>(runtime: Runtime, proxy: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    let result = LocalSet::new().block_on(&runtime, proxy);
    runtime.shutdown_background();
    result
}
