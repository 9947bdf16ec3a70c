//! The open calls to discovery.

use std::net::SocketAddr;

use leadrelay_core::CallId;
use rustc_hash::FxHashMap;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, spawn_local};

use super::call::{Call, CallReport};

/// A report about discovery, sent to the driver.
pub enum DiscoveryReport {
    /// An event on an open call.
    Call(CallReport),
    /// The address of discovery has changed.
    Moved,
}

/// The receiver of discovery reports. It is separate from the driver's inbox so that reports don't queue behind
/// requests.
pub type DiscoveryReceiver = mpsc::UnboundedReceiver<DiscoveryReport>;

/// The open calls to discovery; opens and cancels them.
pub struct DiscoveryCalls {
    /// The current address of discovery.
    address: watch::Receiver<SocketAddr>,
    reports: mpsc::UnboundedSender<DiscoveryReport>,
    open: FxHashMap<CallId, OpenCall>,
}

/// A call that has not ended yet.
struct OpenCall {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl DiscoveryCalls {
    /// Returns an empty set of calls, and the receiver of reports about future calls and changes of the address.
    pub fn new(address: watch::Receiver<SocketAddr>) -> (Self, DiscoveryReceiver) {
        let (reports, receiver) = mpsc::unbounded_channel();
        spawn_local(report_address_changes(address.clone(), reports.clone()));
        let calls = DiscoveryCalls { address, reports, open: FxHashMap::default() };
        (calls, receiver)
    }

    /// Opens a call that watches the endpoint list. It requests the changes after version `after`, or the complete list
    /// if that is `None`.
    pub fn open(&mut self, id: CallId, after: Option<u64>) {
        let address = *self.address.borrow();
        let call = Call { id, address, after };
        let reports = self.reports.clone();
        let report = move |report| drop(reports.send(DiscoveryReport::Call(report)));
        let task = spawn_local(call.run(report));
        self.open.insert(id, OpenCall { address, task });
    }

    /// Cancels a call: closes its connection without reporting its end. Returns the address that was called, or `None`
    /// if the call is not open.
    pub fn cancel(&mut self, id: CallId) -> Option<SocketAddr> {
        let call = self.open.remove(&id)?;
        call.task.abort();
        Some(call.address)
    }

    /// Removes a call that has reported its end. Returns the address that was called, or `None` if the call was
    /// cancelled before.
    pub fn remove_ended(&mut self, id: CallId) -> Option<SocketAddr> {
        self.open.remove(&id).map(|call| call.address)
    }
}

impl Drop for DiscoveryCalls {
    fn drop(&mut self) {
        for call in self.open.values() {
            call.task.abort();
        }
    }
}

/// Reports each change of discovery's address until the sender of the address is dropped.
async fn report_address_changes(
    mut address: watch::Receiver<SocketAddr>, reports: mpsc::UnboundedSender<DiscoveryReport>,
) {
    address.borrow_and_update();
    while address.changed().await.is_ok() {
        if reports.send(DiscoveryReport::Moved).is_err() {
            return;
        }
    }
}
