//! Tests that the invariant checks can fail: each invariant is violated on purpose in a history, and the check has to
//! find the violation.

use std::sync::Arc;
use std::time::{Duration, Instant};

use leadrelay_soak::backend::Backend;
use leadrelay_soak::history::{
    Attempt, BackendStart, History, OutOfService, ProcessEvent, ProcessRecord, Recorder, Request,
    RequestOutcome,
};
use leadrelay_soak::invariants::{Invariant, check, slow_start_limit};
use leadrelay_soak::settings::RequestClass;

const BACKENDS: usize = 4;

/// A change to a history without violations, whose requests begin at the given time.
type Change = fn(&mut History, Instant);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn request(class: RequestClass, at: Instant) -> Request {
    Request {
        proxy: 0,
        class,
        timeout: ms(1000),
        started_at: at,
        sent_at: Some(at),
        connection_reused: false,
        reads_slowly: false,
        cancelled_at: None,
        outcome: Some(RequestOutcome::Answered { status: 200, at: at + ms(100) }),
    }
}

fn attempt(id: &str, backend: usize, at: Instant) -> Attempt {
    Attempt {
        request_id: id.to_owned(),
        backend,
        process: 0,
        started_at: at,
        may_have_queued: false,
        received_at: Some(at),
        timeout: Some(0.9),
        may_have_run: true,
    }
}

/// Returns a history with one request of each class, each served by one attempt.
fn history_without_violations(at: Instant) -> History {
    let mut history = History::default();
    for (number, class) in RequestClass::ALL.into_iter().enumerate() {
        let id = format!("r-{number}");
        history.attempts.push(attempt(&id, number, at + ms(50)));
        history.requests.insert(id, request(class, at));
    }
    history
}

async fn backends() -> Vec<Arc<Backend>> {
    let mut backends = Vec::new();
    for number in 0..BACKENDS {
        let backend = Backend::start(number, number / 2, 1.0, Arc::<Recorder>::default()).await;
        backends.push(backend.expect("a port is free"));
    }
    backends
}

async fn violated_after(change: Change) -> Vec<Invariant> {
    let at = Instant::now();
    let mut history = history_without_violations(at);
    change(&mut history, at);
    check(&history, &backends().await).into_iter().map(|violation| violation.invariant).collect()
}

fn request_in<'a>(history: &'a mut History, id: &str) -> &'a mut Request {
    history.requests.get_mut(id).expect("the history contains the request")
}

fn out_of_service(proxy: Option<usize>, since: Instant, until: Option<Instant>) -> OutOfService {
    OutOfService { backend: 0, proxy, since, until, ends_with_process: false }
}

fn process_record(at: Instant, event: ProcessEvent) -> ProcessRecord {
    ProcessRecord { proxy: 0, at, event }
}

/// Guards against checks that report violations where there are none.
#[tokio::test]
async fn history_without_violations_passes() {
    assert_eq!(violated_after(|_, _| {}).await, []);
}

/// Guards against checks that miss violations: each case changes the history so that one invariant is violated.
#[tokio::test]
async fn each_violated_invariant_is_found() {
    let cases: [(Invariant, Change); 13] = [
        (Invariant::Answered, |history, _| {
            request_in(history, "r-0").outcome = Some(RequestOutcome::Unanswered)
        }),
        (Invariant::Answered, |history, at| {
            request_in(history, "r-0").outcome = Some(RequestOutcome::Closed { at: at + ms(5) })
        }),
        (Invariant::Answered, |history, at| {
            request_in(history, "r-0").outcome =
                Some(RequestOutcome::Answered { status: 503, at: at + ms(1700) });
        }),
        (Invariant::NoSecondEffect, |history, at| history.attempts.push(attempt("r-2", 3, at + ms(60)))),
        (Invariant::NoSecondEffect, |history, at| history.attempts.push(attempt("r-1", 2, at + ms(60)))),
        (Invariant::NoSecondEffect, |history, at| history.attempts.push(attempt("r-1", 0, at + ms(1600)))),
        (Invariant::NoSecondEffect, |history, at| history.attempts.push(attempt("r-none", 0, at))),
        (Invariant::Cancelled, |history, at| {
            request_in(history, "r-0").cancelled_at = Some(at);
            request_in(history, "r-0").outcome = None;
            history.attempts[0].started_at = at + ms(200);
        }),
        (Invariant::Deadline, |history, _| history.attempts[0].timeout = Some(1.3)),
        (Invariant::Drained, |history, at| {
            history.out_of_service.push(out_of_service(None, at - ms(600), None));
        }),
        (Invariant::SlowStart, |history, at| {
            history.backend_starts.push(BackendStart { backend: 0, process: 0, at, capacity: 10.0 });
            (0..60).for_each(|offset| history.attempts.push(attempt("r-0", 0, at + ms(offset))));
        }),
        (Invariant::Processes, |history, at| {
            history.processes.push(process_record(at, ProcessEvent::Crashed("a signal".into())));
        }),
        (Invariant::OwnInvariants, |history, at| {
            let event = ProcessEvent::Logged("an invariant is violated".into());
            history.processes.push(process_record(at, event));
        }),
    ];
    for (number, (invariant, change)) in cases.into_iter().enumerate() {
        let violated = violated_after(change).await;
        assert!(violated.contains(&invariant), "case {number}: {invariant:?} not in {violated:?}");
    }
}

/// Guards against checks that are too strict: each case adds an event that the invariants allow, such as a request that
/// is lost when its proxy is killed.
#[tokio::test]
async fn allowed_exceptions_are_no_violations() {
    let cases: [Change; 6] = [
        |history, at| {
            request_in(history, "r-0").outcome = Some(RequestOutcome::Unanswered);
            history.processes.push(process_record(at + ms(20), ProcessEvent::Killed));
        },
        |history, at| {
            // The proxy closes an idle connection while the client sends a request on it.
            request_in(history, "r-0").connection_reused = true;
            request_in(history, "r-0").outcome = Some(RequestOutcome::Closed { at });
            history.attempts.remove(0);
        },
        |history, at| history.attempts.push(attempt("r-0", 3, at + ms(60))),
        |history, at| history.attempts.push(attempt("r-1", 0, at + ms(60))),
        |history, at| {
            history.attempts[2].may_have_run = false;
            history.attempts.push(attempt("r-2", 3, at + ms(60)));
        },
        |history, at| {
            history.out_of_service.push(out_of_service(Some(1), at - ms(900), None));
            history.out_of_service.push(out_of_service(None, at - ms(900), Some(at - ms(100))));
        },
    ];
    for (number, change) in cases.into_iter().enumerate() {
        assert_eq!(violated_after(change).await, [], "case {number}");
    }
}

/// Guards against a slow start limit without its margin for random variation, which depends on the number of requests.
#[test]
fn slow_start_limit_allows_for_random_variation() {
    assert_eq!(slow_start_limit(25.0), 25.0 + 15.0 + 3.0);
    assert_eq!(slow_start_limit(100.0), 122.0);
}
