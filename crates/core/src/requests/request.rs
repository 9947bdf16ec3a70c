//! An open request and its attempts.

use crate::endpoints::EndpointIndex;
use crate::ids::Millis;
use crate::settings::{DeduplicationScope, Idempotency, RequestClass};

/// An attempt to have a request served.
pub(crate) struct Attempt {
    pub endpoint: EndpointIndex,
    pub sent_at: Millis,
    /// It has ended.
    pub ended: bool,
    /// It found the endpoint without load.
    pub unloaded: bool,
    /// It got no response for so long that it counts as failed, though it is still in flight.
    pub unanswered: bool,
    /// It is running or may have run.
    pub may_have_run: bool,
}

impl Attempt {
    /// Whether it takes a slot of its endpoint.
    pub fn is_in_flight(&self) -> bool {
        !self.ended && !self.unanswered
    }
}

/// Where and until when a request with an idempotency key that may have run can be sent again.
#[derive(Clone, Copy)]
pub(crate) struct RepeatWindow {
    /// The endpoint that was tried first.
    pub first: EndpointIndex,
    /// Which endpoints drop a repeat.
    pub scope: DeduplicationScope,
    /// Until when they do.
    pub until: Millis,
}

/// What is known of a request when it arrives.
pub(crate) struct RequestSpec {
    pub class: usize,
    /// Its expected cost relative to its class.
    pub relative_cost: f64,
    pub over_quota: bool,
    /// Until when a response earns the full weight.
    pub objective_at: Millis,
    /// When the client gives up.
    pub deadline: Millis,
    /// Whether that is earlier than the client announced.
    pub is_shortened: bool,
    pub key: u64,
    /// The endpoint that its key has its affinity with.
    pub affinity_endpoint: Option<EndpointIndex>,
    pub max_attempts: usize,
}

/// An open request.
pub(crate) struct Request {
    pub spec: RequestSpec,
    pub attempts: Vec<Attempt>,
    /// It waits to be sent.
    pub waiting: bool,
    /// It has its final answer, or none is owed any more.
    pub done: bool,
    /// A streamed response has started.
    pub response_started: bool,
    /// Its body is still received while it is forwarded.
    pub uploading: bool,
    /// When its body started to be forwarded.
    pub upload_started_at: Millis,
    /// Its body can't be sent again.
    pub not_replayable: bool,
}

impl Request {
    pub fn new(spec: RequestSpec) -> Self {
        Request {
            spec,
            attempts: Vec::new(),
            waiting: false,
            done: false,
            response_started: false,
            uploading: false,
            upload_started_at: 0.0,
            not_replayable: false,
        }
    }

    /// Whether an attempt has not ended.
    pub fn is_running(&self) -> bool {
        self.attempts.iter().any(|attempt| !attempt.ended)
    }

    /// Whether an attempt is running or may have run.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.may_have_run)
    }

    /// Whether an attempt went to that endpoint.
    pub fn has_tried(&self, endpoint: EndpointIndex) -> bool {
        self.attempts.iter().any(|attempt| attempt.endpoint == endpoint)
    }

    /// For a request with an idempotency key that may have run: where and until when it can be sent again.
    pub fn repeat_window(&self, class: &RequestClass) -> Option<RepeatWindow> {
        let Idempotency::WithKey { scope, window } = class.idempotency else { return None };
        let first = self.attempts.iter().find(|attempt| attempt.may_have_run)?;
        Some(RepeatWindow { first: first.endpoint, scope, until: first.sent_at + window })
    }

    /// Whether a further attempt is allowed, by the request's idempotency and the number of attempts.
    pub fn may_retry(&self, class: &RequestClass, now: Millis) -> bool {
        let is_harmless = class.idempotency == Idempotency::Always || !self.may_have_run();
        let is_deduplicated = || self.repeat_window(class).is_some_and(|window| now < window.until);
        !self.not_replayable
            && (is_harmless || is_deduplicated())
            && self.attempts.len() < self.spec.max_attempts
    }

    /// Whether a client may be told that a retry does no harm.
    pub fn may_be_rejected(&self, class: &RequestClass) -> bool {
        let deduplicated_everywhere = matches!(
            class.idempotency,
            Idempotency::Always | Idempotency::WithKey { scope: DeduplicationScope::All, .. }
        );
        deduplicated_everywhere || !self.may_have_run()
    }

    /// Its body started to be forwarded while it is still received; no deadline runs meanwhile.
    pub fn start_upload(&mut self, now: Millis) {
        self.uploading = true;
        self.upload_started_at = now;
    }

    /// The last byte of its body has been received; its times count from here.
    pub fn complete_upload(&mut self, now: Millis) {
        let upload_time = now - self.upload_started_at;
        self.spec.objective_at += upload_time;
        self.spec.deadline += upload_time;
        self.uploading = false;
    }
}
