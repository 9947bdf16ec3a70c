//! Notifies the driver of clients that disconnect before their request has its response.

use leadrelay_core::{Invariant, RequestId};

use super::Frontend;
use super::client::Client;
use crate::inbox::Input;

/// Cancels a request when dropped, unless it has its response. Hyper drops the request's future if it notices first
/// that the client has disconnected.
pub(super) struct CancelOnDrop<'a> {
    frontend: &'a Frontend,
    client: &'a Client,
    id: RequestId,
    /// The client's id of the request, for the log.
    request: String,
    armed: bool,
}

impl<'a> CancelOnDrop<'a> {
    pub(super) fn new(frontend: &'a Frontend, client: &'a Client, id: RequestId, request: String) -> Self {
        CancelOnDrop { frontend, client, id, request, armed: true }
    }

    /// The request has its response.
    pub(super) fn disarm(mut self) {
        self.armed = false;
    }

    /// The request is answered without the driver, which is to give it up.
    pub(super) fn answer_without_driver(self) {
        self.frontend.inbox.put(Input::ClientDisconnected(self.id));
        self.disarm();
    }
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        self.frontend.inbox.put(Input::ClientDisconnected(self.id));
        if !self.client.has_disconnected() {
            self.frontend.metrics.violated(Invariant::AnsweredBeforeClose, &self.request);
        }
    }
}
