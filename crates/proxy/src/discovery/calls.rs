//! The open calls to discovery.

use std::net::SocketAddr;

use leadrelay_core::CallId;
use rustc_hash::FxHashMap;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, spawn_local};

use super::call::{Call, CallReport};

/// What the transport reports about discovery.
pub enum DiscoveryReport {
    /// Something about a call.
    Call(CallReport),
    /// Discovery is at another address.
    Moved,
}

/// The receiver of these reports. It is apart from the driver's inbox, so that they don't wait behind requests.
pub type DiscoveryReceiver = mpsc::UnboundedReceiver<DiscoveryReport>;

/// Opens and cancels calls.
pub struct Calls {
    /// The present address of discovery.
    address: watch::Receiver<SocketAddr>,
    reports: mpsc::UnboundedSender<DiscoveryReport>,
    open: FxHashMap<CallId, OpenCall>,
}

/// A call that has not ended yet.
struct OpenCall {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Calls {
    /// No open calls, and the receiver of reports about those to come and about changes of the address.
    pub fn new(address: watch::Receiver<SocketAddr>) -> (Self, DiscoveryReceiver) {
        let (reports, receiver) = mpsc::unbounded_channel();
        spawn_local(report_moves(address.clone(), reports.clone()));
        let calls = Calls { address, reports, open: FxHashMap::default() };
        (calls, receiver)
    }

    /// Opens a call that watches the list, for the changes after a version or for the complete list.
    pub fn open(&mut self, id: CallId, after: Option<u64>) {
        let address = *self.address.borrow();
        let call = Call { id, address, after };
        let reports = self.reports.clone();
        let report = move |report| drop(reports.send(DiscoveryReport::Call(report)));
        let task = spawn_local(call.run(report));
        self.open.insert(id, OpenCall { address, task });
    }

    /// Cancels a call: its connection is closed, and its end is not reported. Returns its address.
    pub fn cancel(&mut self, id: CallId) -> Option<SocketAddr> {
        let call = self.open.remove(&id)?;
        call.task.abort();
        Some(call.address)
    }

    /// Removes a call that has reported its end. Returns its address; `None` if it was cancelled before.
    pub fn remove_ended(&mut self, id: CallId) -> Option<SocketAddr> {
        self.open.remove(&id).map(|call| call.address)
    }
}

impl Drop for Calls {
    fn drop(&mut self) {
        for call in self.open.values() {
            call.task.abort();
        }
    }
}

/// Reports each change of discovery's address until it can change no more.
async fn report_moves(
    mut address: watch::Receiver<SocketAddr>, reports: mpsc::UnboundedSender<DiscoveryReport>,
) {
    address.borrow_and_update();
    while address.changed().await.is_ok() {
        if reports.send(DiscoveryReport::Moved).is_err() {
            return;
        }
    }
}
