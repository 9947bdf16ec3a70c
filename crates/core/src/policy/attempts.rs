//! Sends, what becomes of them, repeats, and the final answer.
use super::health::BACKOFF_MAX;
use super::review::TICK;
use super::slots::LATE;
use super::speeds::CLASS_SAMPLES;
use crate::interface::*;
use crate::number::draw;
use crate::records::Request;
use crate::state::Balancer;

const LEAST: Millis = 6.0; // a running request is answered for this long before it is of no more use
pub(crate) const MARGIN: Millis = 2.0 * TICK + 5.0; // a final answer goes out this long before it is due
const FAIR: f64 = 3.0; // expected latencies within which most attempts are answered
const COMEBACK: (Millis, Millis) = (50.0, BACKOFF_MAX); // spans for which a refused client is sent away
pub(crate) const RETRY_SHARE: f64 = 0.15; // further attempts per arrival: what a proxy may add in a storm
const NEWS: f64 = 0.3; // part of a request's time within which others' word must come to show idleness

#[allow(clippy::too_many_arguments)]
impl Balancer {
    pub(crate) fn send(&mut self, now: Millis, id: RequestId, k: usize, out: &mut Vec<Action>) {
        if let Some(broken) = self.broken_by_send(now, id, k) {
            self.violations.record(broken);
            return self.answer(id, RejectionReason::Violation, out); // it is owed its answer all the same
        }
        // Did it find the server idle? Only others' word tells.
        let lone = self.cfg.gossip_enabled && self.news < NEWS * self.mean && self.servers[k].held() == 0;
        let begin_by = self.requests.get(&id).and_then(|r| self.bound(r)).map(|(.., until)| until);
        self.begin(now, id, k, lone);
        let s = &mut self.servers[k];
        s.progress = if s.own == 0 { now } else { s.progress };
        s.own += u32::from(!self.requests[&id].uploading);
        s.tokens -= 1.0;
        out.push(Action::Send { request: id, endpoint: s.info.id, timeout: None, start_by: begin_by });
        self.place(k, now);
    }

    pub(crate) fn ended(
        &mut self, now: Millis, id: RequestId, attempt: usize, latency: Millis, outcome: Outcome,
        closed: bool, out: &mut Vec<Action>,
    ) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(a) = r.attempts.get_mut(attempt).filter(|a| !a.over) else { return };
        (a.over, a.ran) = (true, outcome.may_have_run());
        let (k, lone, silent) = (a.server, a.lone, a.silent || r.uploading); // either holds no slot
        let (class, size, home) = (r.class, r.size, r.home);
        r.done |= closed;
        self.running.retain(|o| *o != id);
        if !silent && matches!(outcome, Outcome::TimedOut | Outcome::Cancelled) {
            // Given up, yet it may still occupy the server: its slot stays taken until it plausibly ends.
            self.ghosts.push_back((now + 2.0 * self.class_ms[class].0, k));
        } else {
            self.servers[k].own -= u32::from(!silent); // a silent one gave it back before
        }
        if !matches!(outcome, Outcome::Withdrawn | Outcome::Cancelled) {
            self.success += (f64::from(u8::from(outcome == Outcome::Served)) - self.success) / CLASS_SAMPLES;
        }
        // One sent shortly before its client gave up had no fair chance: that it timed out proves nothing.
        let fair = FAIR * self.class_ms[class].0 * size * self.servers[k].slow.0 / self.servers[k].warmth;
        match outcome {
            Outcome::Served => {
                self.fit_window(latency < LATE * self.cfg.classes[class].latency_objective);
                self.learn(k, class, latency / size, home == Some(k), lone);
                self.judge(k, class, true, false, now);
            }
            Outcome::Withdrawn | Outcome::Cancelled => {}
            _ if silent => {}                         // blamed already
            Outcome::TimedOut if latency < fair => {} // not to blame
            _ => self.judge(k, class, false, outcome == Outcome::Rejected, now),
        }
        if outcome == Outcome::Rejected {
            self.fit_window(false);
        }
        self.place(k, now);
        self.serve(now, k, out);
        let r = &self.requests[&id];
        if r.done {
            return self.finish(id);
        }
        let time = now + self.usual(r) < r.due - MARGIN;
        // No storms: further attempts come out of a budget that arrivals fill. One that was withdrawn before
        // anything was sent has cost no server anything, and the next one is free.
        let price = if outcome == Outcome::Withdrawn { 0.0 } else { 1.0 };
        if time && self.may_repeat(r, now) && self.retries >= price {
            self.retries -= price;
            self.enqueue(id, true);
        } else {
            self.answer(id, RejectionReason::AttemptsExhausted, out);
        }
    }

    /// Gives the final answer: a refusal where it surely had no effect, else a failure.
    pub(crate) fn answer(&mut self, id: RequestId, reason: RejectionReason, out: &mut Vec<Action>) {
        let after = self.comeback(id);
        self.answer_after(id, after, reason, out);
    }

    /// The same; a refused client should come back after that span.
    pub(crate) fn answer_after(
        &mut self, id: RequestId, after: Millis, reason: RejectionReason, out: &mut Vec<Action>,
    ) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.done && !r.started) else { return };
        let idempotency = self.cfg.classes[r.class].idempotency;
        let harmless = matches!(
            idempotency,
            Idempotency::Always | Idempotency::WithKey { scope: DeduplicationScope::All, .. }
        );
        let harmless = harmless || !r.may_have_run();
        let refuse = Action::Reject { request: id, retry_after: Some(after), reason };
        out.push(if harmless { refuse } else { Action::Fail(id) });
        self.finish(id);
    }

    /// After which span a refused client should come back: when this proxy's own slots have most likely
    /// served all who wait now, drawn out a little so that those refused together don't return together.
    pub(crate) fn comeback(&self, id: RequestId) -> Millis {
        let served = self.bands.bands.iter().map(|b| b.slots * b.speed).sum::<f64>() / self.mean;
        let wait = (self.waiting as f64 + 1.0) / served.max(1e-9);
        wait.clamp(COMEBACK.0, COMEBACK.1) * (0.75 + 0.5 * draw(id.0, 0))
    }

    /// When a request stops being of use: at its aim, unless a late answer earns something and has room.
    pub(crate) fn end(&self, r: &Request) -> Millis {
        if r.uploading {
            return f64::INFINITY; // its client still sends
        }
        let late = self.cfg.classes[r.class].late_fraction > 0.0;
        let crowded = r.waiting && self.waiting > self.running.len();
        if late && !crowded { r.due } else { r.aim.min(r.due) }
    }

    /// Looks after a running request: is its server hung, is it still of use?
    pub(crate) fn watch(&mut self, now: Millis, id: RequestId, out: &mut Vec<Action>) {
        if self.requests.get(&id).is_none_or(|r| r.uploading) {
            return;
        }
        self.blame_silence(now, id);
        let r = &self.requests[&id];
        if !r.done && !r.started && now + 1.5 * TICK > self.end(r) {
            out.push(Action::Timer { token: id.0 + 1, at: self.end(r) - LEAST });
        }
    }

    /// Whether another attempt is allowed, by the request's effect and the count of attempts.
    pub(crate) fn may_repeat(&self, r: &Request, now: Millis) -> bool {
        let harmless = self.cfg.classes[r.class].idempotency == Idempotency::Always || !r.may_have_run();
        let dropped = || self.bound(r).is_some_and(|(.., until)| now < until);
        !r.spent && (harmless || dropped()) && r.attempts.len() < r.most
    }

    /// Answers those who have waited until an answer would be of no more use.
    pub(crate) fn give_up(&mut self, now: Millis, out: &mut Vec<Action>) {
        for q in 0..self.queues.len() {
            let late = |r: &Request| now + MARGIN.max(0.5 * self.usual(r)) > self.end(r);
            let useless = |id: &RequestId| self.requests.get(id).is_some_and(|r| r.waiting && late(r));
            let ids: Vec<RequestId> = self.queues[q].iter().copied().filter(useless).collect();
            ids.into_iter().for_each(|id| self.answer(id, RejectionReason::TooLate, out));
        }
    }

    /// For a keyed request that may have run: the server tried first, who drops repeats, and until when.
    pub(crate) fn bound(&self, r: &Request) -> Option<(usize, DeduplicationScope, Millis)> {
        let Idempotency::WithKey { scope: group, window } = self.cfg.classes[r.class].idempotency else {
            return None;
        };
        r.attempts.iter().find(|a| a.ran).map(|a| (a.server, group, a.sent + window))
    }

    /// Notes how far a body is that is sent on while it comes. Until its last byte a server has no work with it, and
    /// none of its slots is taken.
    pub(crate) fn upload(&mut self, now: Millis, id: RequestId, stage: UploadStage) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        match stage {
            UploadStage::NotReplayable => r.spent = true,
            UploadStage::Started if !r.uploading => (r.uploading, r.begun) = (true, now),
            UploadStage::Complete if r.uploading => {
                let late = now - r.begun;
                (r.aim, r.due, r.uploading) = (r.aim + late, r.due + late, false);
            }
            UploadStage::Started | UploadStage::Complete => return,
        }
        let out = r.attempts.iter_mut().filter(|a| !a.over && !a.silent);
        for k in out.map(|a| (a.sent = now, a.server).1).collect::<Vec<_>>() {
            let own = &mut self.servers[k].own;
            match stage {
                UploadStage::Started => *own -= 1,
                UploadStage::Complete => *own += 1,
                UploadStage::NotReplayable => {}
            }
            self.place(k, now);
        }
    }
}
