//! Actions of the core, written as lines of the wire.

use std::fmt::{self, Write as _};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use leadrelay_core::{Action, EndpointId, RequestId};

use super::WireNames;

/// Stands for an endpoint without a name, and for a gossip message without bytes.
const NOTHING: &str = "-";

/// Writes the actions of one instance.
pub(super) struct ReplyWriter<'a> {
    pub(super) instance: u64,
    pub(super) names: &'a mut WireNames,
    pub(super) reply: &'a mut String,
}

impl ReplyWriter<'_> {
    /// Writes an action. Those of requests that are not known any more write nothing.
    pub(super) fn write(&mut self, action: Action) {
        // Writing to a String cannot fail.
        let _ = match action {
            Action::Send { request, endpoint, timeout, .. } => self.write_send(request, endpoint, timeout),
            Action::Reject { request, retry_after, .. } => self.write_reject(request, retry_after),
            Action::Fail(request) => self.write_failure(request),
            Action::Timer { token, at } => self.write_timer(token, at),
            Action::Broadcast(bytes) => self.write_gossip(&bytes),
            Action::Subscribe { .. } => writeln!(self.reply, "SUBSCRIBE\ti={}\tactive=1", self.instance),
            // On the simulator's wire calls end by themselves: the core cancels none there.
            Action::Unsubscribe { .. } => Ok(()),
        };
    }

    fn write_send(&mut self, request: RequestId, endpoint: EndpointId, timeout: Option<f64>) -> fmt::Result {
        let Some(name) = self.names.requests.record_attempt(request) else { return Ok(()) };
        let backend = self.names.endpoints.get(&endpoint.0).map_or(NOTHING, String::as_str);
        write!(self.reply, "SUBMIT_TO\ti={}\trid={name}\tbackend={backend}", self.instance)?;
        if let Some(timeout) = timeout {
            write!(self.reply, "\tmaxWait={timeout:.3}")?;
        }
        writeln!(self.reply)
    }

    fn write_reject(&mut self, request: RequestId, retry_after: Option<f64>) -> fmt::Result {
        let Some(name) = self.names.requests.record_end(request) else { return Ok(()) };
        write!(self.reply, "TURN_AWAY\ti={}\trid={name}", self.instance)?;
        if let Some(retry_after) = retry_after {
            write!(self.reply, "\tretryAfter={retry_after:.3}")?;
        }
        writeln!(self.reply)?;
        self.names.requests.remove_if_complete(request);
        Ok(())
    }

    fn write_failure(&mut self, request: RequestId) -> fmt::Result {
        let Some(name) = self.names.requests.record_end(request) else { return Ok(()) };
        writeln!(self.reply, "REPORT_FAILURE\ti={}\trid={name}", self.instance)?;
        self.names.requests.remove_if_complete(request);
        Ok(())
    }

    fn write_timer(&mut self, token: u64, at: f64) -> fmt::Result {
        writeln!(self.reply, "WAKE_ME\ti={}\tkeyBack={token}\tdueAt={at:.3}", self.instance)
    }

    fn write_gossip(&mut self, bytes: &[u8]) -> fmt::Result {
        let text = if bytes.is_empty() { NOTHING.to_owned() } else { BASE64.encode(bytes) };
        writeln!(self.reply, "SAY\ti={}\trecipient=-1\tmsg={text}", self.instance)
    }
}
