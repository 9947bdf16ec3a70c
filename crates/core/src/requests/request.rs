//! An open request and its attempts.

use crate::endpoints::EndpointIndex;
use crate::ids::Millis;
use crate::settings::{DeduplicationScope, Idempotency, RequestClass};

/// An attempt to have a request served by an endpoint.
pub(crate) struct Attempt {
    pub endpoint: EndpointIndex,
    pub sent_at: Millis,
    /// Whether the attempt has ended.
    pub ended: bool,
    /// Whether the endpoint had no load when the attempt was sent.
    pub unloaded: bool,
    /// Whether the attempt has had no response for too long and counts as failed, although it has not ended.
    pub unanswered: bool,
    /// Whether the endpoint is processing the request or may have processed it.
    pub may_have_run: bool,
}

impl Attempt {
    /// Whether the attempt occupies a slot of its endpoint.
    pub fn is_in_flight(&self) -> bool {
        !self.ended && !self.unanswered
    }
}

/// The endpoints and the time limit for repeating a request that has an idempotency key and may have run.
#[derive(Clone, Copy)]
pub(crate) struct RepeatWindow {
    /// The endpoint of the first attempt that may have run.
    pub first_endpoint: EndpointIndex,
    /// The endpoints that recognize a repeat and drop it.
    pub scope: DeduplicationScope,
    /// The time until which a repeat is dropped.
    pub until: Millis,
}

/// The properties of a request that are determined when it arrives.
pub(crate) struct RequestSpec {
    /// The index of the request class.
    pub class: usize,
    /// Expected cost relative to the mean of the request class.
    pub relative_cost: f64,
    /// Whether the request is beyond its tenant's quota.
    pub over_quota: bool,
    /// The time until which a response earns the full priority weight.
    pub objective_at: Millis,
    /// The time at which the client gives up.
    pub deadline: Millis,
    /// Whether `deadline` is earlier than the client announced.
    pub is_shortened: bool,
    /// The affinity key; 0 for a request without one.
    pub key: u64,
    /// The endpoint that its key has its affinity with.
    pub affinity_endpoint: Option<EndpointIndex>,
    pub max_attempts: usize,
}

/// An open request.
pub(crate) struct Request {
    pub spec: RequestSpec,
    pub attempts: Vec<Attempt>,
    /// Whether the request waits to be sent.
    pub waiting: bool,
    /// Whether the request has its final response or no longer needs one.
    pub done: bool,
    /// Whether a streamed response has started.
    pub response_started: bool,
    /// Whether the body is still being received while it is forwarded.
    pub uploading: bool,
    /// Whether the endpoint takes no bytes of the body that is being forwarded.
    pub upload_stalled: bool,
    /// The time at which forwarding of the body started.
    pub upload_started_at: Millis,
    /// Whether the body can't be sent again.
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
            upload_stalled: false,
            upload_started_at: 0.0,
            not_replayable: false,
        }
    }

    /// Whether an attempt has not ended.
    pub fn is_running(&self) -> bool {
        self.attempts.iter().any(|attempt| !attempt.ended)
    }

    /// Whether the request waits for its endpoint, which has the complete request or does not take the rest of it.
    pub fn awaits_endpoint(&self) -> bool {
        !self.uploading || self.upload_stalled
    }

    /// Whether an attempt is running or may have run.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.may_have_run)
    }

    /// Whether an attempt was sent to this endpoint.
    pub fn has_attempted(&self, endpoint: EndpointIndex) -> bool {
        self.attempts.iter().any(|attempt| attempt.endpoint == endpoint)
    }

    /// Where and until when the request can be repeated, if it has an idempotency key and may have run.
    pub fn repeat_window(&self, class: &RequestClass) -> Option<RepeatWindow> {
        let Idempotency::WithKey { scope, window } = class.idempotency else { return None };
        let first_attempt = self.attempts.iter().find(|attempt| attempt.may_have_run)?;
        Some(RepeatWindow {
            first_endpoint: first_attempt.endpoint,
            scope,
            until: first_attempt.sent_at + window,
        })
    }

    /// Whether a further attempt is allowed by the request's idempotency, its body and the number of attempts.
    pub fn may_retry(&self, class: &RequestClass, now: Millis) -> bool {
        let is_safe = class.idempotency == Idempotency::Always || !self.may_have_run();
        let is_deduplicated = || self.repeat_window(class).is_some_and(|window| now < window.until);
        !self.not_replayable && (is_safe || is_deduplicated()) && self.attempts.len() < self.spec.max_attempts
    }

    /// Whether the request may be rejected with a response that tells the client to retry: a retry has to be safe.
    pub fn may_be_rejected(&self, class: &RequestClass) -> bool {
        let is_repeatable_anywhere = matches!(
            class.idempotency,
            Idempotency::Always | Idempotency::WithKey { scope: DeduplicationScope::All, .. }
        );
        is_repeatable_anywhere || !self.may_have_run()
    }

    /// Records that forwarding of the body starts while it is still being received. No deadline applies until the
    /// upload is complete.
    pub fn start_upload(&mut self, now: Millis) {
        self.uploading = true;
        self.upload_started_at = now;
    }

    /// Records that the last byte of the body has been received. The latency objective and the deadline are extended by
    /// the duration of the upload.
    pub fn complete_upload(&mut self, now: Millis) {
        let upload_time = now - self.upload_started_at;
        self.spec.objective_at += upload_time;
        self.spec.deadline += upload_time;
        self.uploading = false;
        self.upload_stalled = false;
    }
}
