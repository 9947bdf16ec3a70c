//! Parses the lines that an adapter writes: one action of a proxy per line.

use std::collections::HashMap;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use leadrelay_core::{Action, CallId, EndpointId, RejectionReason, RequestId};

/// The `key=value` fields of a line, separated by tabs.
struct Fields<'a>(HashMap<&'a str, &'a str>);

impl<'a> Fields<'a> {
    fn parse(text: &'a str) -> Self {
        Fields(text.split('\t').filter_map(|field| field.split_once('=')).collect())
    }

    fn text(&self, key: &str) -> Option<&'a str> {
        self.0.get(key).copied()
    }

    fn number(&self, key: &str) -> Option<f64> {
        self.text(key)?.parse().ok()
    }

    /// Returns the number in a field whose value is `prefix` followed by a number.
    fn id(&self, key: &str, prefix: &str) -> Option<u64> {
        self.text(key)?.strip_prefix(prefix)?.parse().ok()
    }

    fn request(&self) -> Option<RequestId> {
        self.id("rid", "r-").map(RequestId)
    }
}

/// Parses a line into an action; returns `None` for a line that is malformed or has no counterpart in this simulator.
pub(super) fn action(line: &str) -> Option<Action> {
    let (name, rest) = line.split_once('\t')?;
    let fields = Fields::parse(rest);
    match name {
        "SUBMIT_TO" => {
            let endpoint = EndpointId(fields.id("backend", "s-")?);
            let timeout = fields.number("maxWait").filter(|timeout| *timeout > 0.0);
            Some(Action::Send { request: fields.request()?, endpoint, timeout, start_by: None })
        }
        "TURN_AWAY" => Some(Action::Reject {
            request: fields.request()?,
            retry_after: fields.number("retryAfter"),
            reason: RejectionReason::TooLate,
        }),
        "REPORT_FAILURE" => Some(Action::Fail(fields.request()?)),
        "WAKE_ME" => {
            let token = fields.text("keyBack")?.parse().ok()?;
            Some(Action::Timer { token, at: fields.number("dueAt")? })
        }
        "SAY" => BASE64.decode(fields.text("msg")?).ok().map(Action::Broadcast),
        "SUBSCRIBE" => Some(Action::Subscribe { call: CallId(0), after: None }),
        unknown => {
            eprintln!("unknown action from the adapter: {unknown}: {rest}");
            None
        }
    }
}
