//! The judge must be able to fail: each promise is broken on purpose in what it is given to read, and seen.

use std::sync::Arc;
use std::time::{Duration, Instant};

use leadrelay_soak::backend::Backend;
use leadrelay_soak::judge::{Promise, judge, slow_start_limit};
use leadrelay_soak::ledger::{Attempt, End, Ledger, OutOfService, ProcessEvent, Request, Seen, Start};
use leadrelay_soak::settings::Class;

const BACKENDS: usize = 4;

/// Something that happens to a sound record.
type Change = fn(&mut Seen, Instant);

fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

fn request(class: Class, at: Instant) -> Request {
    Request {
        proxy: 0,
        class,
        timeout: ms(1000),
        begun_at: at,
        sent_at: Some(at),
        reused: false,
        reads_slowly: false,
        left_at: None,
        end: Some(End::Answered { status: 200, at: at + ms(100) }),
    }
}

fn attempt(id: &str, backend: usize, at: Instant) -> Attempt {
    let (id, whole_at) = (id.to_owned(), Some(at));
    Attempt { id, backend, process: 0, begun_at: at, queued: false, whole_at, timeout: Some(0.9), ran: true }
}

/// One request of each class, each served by one attempt.
fn sound(at: Instant) -> Seen {
    let mut seen = Seen::default();
    for (number, class) in Class::ALL.into_iter().enumerate() {
        let id = format!("r-{number}");
        seen.attempts.push(attempt(&id, number, at + ms(50)));
        seen.requests.insert(id, request(class, at));
    }
    seen
}

async fn backends() -> Vec<Arc<Backend>> {
    let mut backends = Vec::new();
    for number in 0..BACKENDS {
        let backend = Backend::start(number, number / 2, 1.0, Arc::<Ledger>::default()).await;
        backends.push(backend.expect("a port"));
    }
    backends
}

async fn broken(change: Change) -> Vec<Promise> {
    let at = Instant::now();
    let mut seen = sound(at);
    change(&mut seen, at);
    judge(&seen, &backends().await).violations.into_iter().map(|violation| violation.promise).collect()
}

fn of<'a>(seen: &'a mut Seen, id: &str) -> &'a mut Request {
    seen.requests.get_mut(id).expect("it is there")
}

#[tokio::test]
async fn a_sound_record_breaks_nothing() {
    assert_eq!(broken(|_, _| {}).await, []);
}

#[tokio::test]
async fn each_promise_is_seen_to_be_broken() {
    let cases: [(Promise, Change); 13] = [
        (Promise::Answered, |seen, _| of(seen, "r-0").end = Some(End::Unanswered)),
        (Promise::Answered, |seen, at| of(seen, "r-0").end = Some(End::Closed { at: at + ms(5) })),
        (Promise::Answered, |seen, at| {
            of(seen, "r-0").end = Some(End::Answered { status: 503, at: at + ms(1700) });
        }),
        (Promise::NoSecondEffect, |seen, at| seen.attempts.push(attempt("r-2", 3, at + ms(60)))),
        (Promise::NoSecondEffect, |seen, at| seen.attempts.push(attempt("r-1", 2, at + ms(60)))),
        (Promise::NoSecondEffect, |seen, at| seen.attempts.push(attempt("r-1", 0, at + ms(1600)))),
        (Promise::NoSecondEffect, |seen, at| seen.attempts.push(attempt("r-none", 0, at))),
        (Promise::Cancelled, |seen, at| {
            (of(seen, "r-0").left_at, of(seen, "r-0").end) = (Some(at), None);
            seen.attempts[0].begun_at = at + ms(200);
        }),
        (Promise::Deadline, |seen, _| seen.attempts[0].timeout = Some(1.3)),
        (Promise::Drained, |seen, at| {
            let since = at - ms(600);
            seen.out_of_service.push(OutOfService {
                backend: 0,
                proxy: None,
                since,
                until: None,
                ends_with_process: false,
            });
        }),
        (Promise::SlowStart, |seen, at| {
            seen.starts.push(Start { backend: 0, process: 0, at, capacity: 10.0 });
            (0..60).for_each(|n| seen.attempts.push(attempt("r-0", 0, at + ms(n))));
        }),
        (Promise::Processes, |seen, at| {
            seen.processes.push((0, at, ProcessEvent::Crashed("a signal".into())));
        }),
        (Promise::OwnInvariants, |seen, at| {
            seen.processes.push((0, at, ProcessEvent::Logged("an invariant is violated".into())));
        }),
    ];
    for (number, (promise, change)) in cases.into_iter().enumerate() {
        let broken = broken(change).await;
        assert!(broken.contains(&promise), "case {number}: {promise:?} not in {broken:?}");
    }
}

#[tokio::test]
async fn what_the_promises_allow_is_not_blamed() {
    let cases: [Change; 6] = [
        |seen, at| {
            of(seen, "r-0").end = Some(End::Unanswered);
            seen.processes.push((0, at + ms(20), ProcessEvent::Killed));
        },
        |seen, at| {
            // A request that crosses the close of a connection between requests.
            (of(seen, "r-0").reused, of(seen, "r-0").end) = (true, Some(End::Closed { at }));
            seen.attempts.remove(0);
        },
        |seen, at| seen.attempts.push(attempt("r-0", 3, at + ms(60))),
        |seen, at| seen.attempts.push(attempt("r-1", 0, at + ms(60))),
        |seen, at| {
            seen.attempts[2].ran = false;
            seen.attempts.push(attempt("r-2", 3, at + ms(60)));
        },
        |seen, at| {
            seen.out_of_service.push(OutOfService {
                backend: 0,
                proxy: Some(1),
                since: at - ms(900),
                until: None,
                ends_with_process: false,
            });
            let until = Some(at - ms(100));
            seen.out_of_service.push(OutOfService {
                backend: 0,
                proxy: None,
                since: at - ms(900),
                until,
                ends_with_process: false,
            });
        },
    ];
    for (number, change) in cases.into_iter().enumerate() {
        assert_eq!(broken(change).await, [], "case {number}");
    }
}

#[test]
fn few_calls_have_more_room_for_chance() {
    assert_eq!(slow_start_limit(25.0), 25.0 + 15.0 + 3.0);
    assert_eq!(slow_start_limit(100.0), 122.0);
}
