//! The single-threaded runtime of a proxy.

use tokio::runtime::Runtime;
use tokio::task::LocalSet;

use crate::error::Error;

/// Creates a runtime that runs on the current thread.
pub fn new() -> Result<Runtime, Error> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(Error::operating_system("cannot create the runtime"))
}

/// Runs a proxy until it ends; does not wait for blocking tasks that are still running then.
pub fn block_on<T>(runtime: Runtime, proxy: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    let result = LocalSet::new().block_on(&runtime, proxy);
    runtime.shutdown_background();
    result
}
