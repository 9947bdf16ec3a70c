//! Translation of the core's actions to reply lines of the simulator's protocol.

use std::fmt::{self, Write as _};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use leadrelay_core::{Action, EndpointId, RequestId};

use super::WireNames;

/// Placeholder for the name of an unknown endpoint and for a gossip message of zero bytes.
const PLACEHOLDER: &str = "-";

/// Appends the actions of one instance to the replies.
pub(super) struct ReplyWriter<'a> {
    /// Number of the instance.
    pub(super) instance: u64,
    pub(super) names: &'a mut WireNames,
    pub(super) replies: &'a mut String,
}

impl ReplyWriter<'_> {
    /// Writes an action. An action for a request that has been removed is skipped.
    pub(super) fn write(&mut self, action: Action) {
        // Writing to a String cannot fail.
        let _ = match action {
            Action::Send { request, endpoint, timeout, .. } => self.write_send(request, endpoint, timeout),
            Action::Reject { request, retry_after, .. } => self.write_reject(request, retry_after),
            Action::Fail(request) => self.write_failure(request),
            Action::Timer { token, at } => self.write_timer(token, at),
            Action::Broadcast(bytes) => self.write_gossip(&bytes),
            Action::Subscribe { .. } => writeln!(self.replies, "SUBSCRIBE\ti={}\tactive=1", self.instance),
            // With the simulator, calls to discovery end by themselves: the core does not cancel any.
            Action::Unsubscribe { .. } => Ok(()),
        };
    }

    fn write_send(&mut self, request: RequestId, endpoint: EndpointId, timeout: Option<f64>) -> fmt::Result {
        let Some(name) = self.names.requests.record_attempt(request) else { return Ok(()) };
        let backend = self.names.endpoint_names.get(&endpoint.0).map_or(PLACEHOLDER, String::as_str);
        write!(self.replies, "SUBMIT_TO\ti={}\trid={name}\tbackend={backend}", self.instance)?;
        if let Some(timeout) = timeout {
            write!(self.replies, "\tmaxWait={timeout:.3}")?;
        }
        writeln!(self.replies)
    }

    fn write_reject(&mut self, request: RequestId, retry_after: Option<f64>) -> fmt::Result {
        let Some(name) = self.names.requests.record_end(request) else { return Ok(()) };
        write!(self.replies, "TURN_AWAY\ti={}\trid={name}", self.instance)?;
        if let Some(retry_after) = retry_after {
            write!(self.replies, "\tretryAfter={retry_after:.3}")?;
        }
        writeln!(self.replies)?;
        self.names.requests.remove_if_complete(request);
        Ok(())
    }

    fn write_failure(&mut self, request: RequestId) -> fmt::Result {
        let Some(name) = self.names.requests.record_end(request) else { return Ok(()) };
        writeln!(self.replies, "REPORT_FAILURE\ti={}\trid={name}", self.instance)?;
        self.names.requests.remove_if_complete(request);
        Ok(())
    }

    fn write_timer(&mut self, token: u64, at: f64) -> fmt::Result {
        writeln!(self.replies, "WAKE_ME\ti={}\tkeyBack={token}\tdueAt={at:.3}", self.instance)
    }

    fn write_gossip(&mut self, bytes: &[u8]) -> fmt::Result {
        let text = if bytes.is_empty() { PLACEHOLDER.to_owned() } else { BASE64.encode(bytes) };
        writeln!(self.replies, "SAY\ti={}\trecipient=-1\tmsg={text}", self.instance)
    }
}
