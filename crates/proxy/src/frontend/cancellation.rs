//! Notifies the driver when a client disconnects before its request has a response.

use leadrelay_core::{Invariant, RequestId};

use super::Frontend;
use super::client::Client;
use crate::inbox::Input;

/// Cancels a request when dropped, unless the request has its response. The drop covers the case that hyper notices the
/// disconnect first and drops the request's future.
pub(super) struct CancelOnDrop<'a> {
    frontend: &'a Frontend,
    client: &'a Client,
    id: RequestId,
    /// The request id that the client sent, for the log.
    client_request_id: String,
    /// Whether a drop cancels the request.
    armed: bool,
}

impl<'a> CancelOnDrop<'a> {
    pub(super) fn new(
        frontend: &'a Frontend, client: &'a Client, id: RequestId, client_request_id: String,
    ) -> Self {
        CancelOnDrop { frontend, client, id, client_request_id, armed: true }
    }

    /// Records that the request has its response, so that dropping this cancels nothing.
    pub(super) fn disarm(mut self) {
        self.armed = false;
    }

    /// Cancels the request in the driver, because the frontend itself responds to the client.
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
            self.frontend.metrics.invariant_violated(Invariant::AnsweredBeforeClose, &self.client_request_id);
        }
    }
}
