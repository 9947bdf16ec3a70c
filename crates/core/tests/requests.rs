//! Answers, retries and load shedding.
mod common;
use common::*;
use leadrelay_core::*;

#[test]
fn request_with_too_little_time_is_answered_at_once() {
    // Lost on a rough day: clients' later tries came with budgets shorter than the module's next look.
    let mut harness = Harness::new(settings(1), vec![endpoint(1)]);
    assert_eq!(rejections(&harness.handle(request(1, 0, 15.0))), 1);
}

#[test]
fn request_is_answered_once() {
    // A fault: a request served out of turn stood in its queue still and was answered again.
    let mut harness = Harness::new(settings(1), vec![]);
    harness.handle(request(1, 1, 3000.0));
    let out = harness.advance(4000.0);
    assert_eq!(rejections(&out), 1);
}

#[test]
fn running_request_is_answered_just_before_objective() {
    // bern: responses up to 30 ms before the objective gave away requests that would have been served in time.
    let mut harness = Harness::new(settings(1), vec![endpoint(1)]);
    assert_eq!(burst(&mut harness, 1, 1).len(), 1);
    assert_eq!(rejections(&harness.advance(1190.0)), 0, "its objective is 1200 ms");
    assert_eq!(rejections(&harness.advance(10.0)), 1);
}

#[test]
fn withdrawn_attempt_costs_no_retry_budget() {
    // Lists that change quickly withdrew attempts before anything was sent, until clients were rejected beside idle endpoints.
    let mut harness = Harness::new(settings(1), (1..=8).map(endpoint).collect());
    let again = |harness: &mut Harness, id, outcome| {
        harness.handle(request(id, 1, 3000.0));
        let again = sends(&harness.handle(ended(id, 0, 1.0, outcome)));
        harness.handle(ended(id, 1, 1.0, Outcome::Served));
        harness.advance(1000.0);
        again.len()
    };
    for id in 1..=20 {
        assert_eq!(again(&mut harness, id, Outcome::Withdrawn), 1, "request {id}");
    }
    // Others' attempts still come out of it: it holds 20 at most, and each arrival adds little.
    let repeats: usize = (100..140).map(|id| again(&mut harness, id, Outcome::ConnectFailed)).sum();
    assert!(repeats < 20, "{repeats} of 40 were repeated");
}

#[test]
fn overload_sheds_lowest_weight_first() {
    // Four times the load: requests with no hope kept all connections, and what came then was not taken at all.
    let mut settings = settings(1);
    settings.limits.max_open_requests = 20;
    settings.classes[0].priority_weight = 0.1;
    let mut harness = Harness::new(settings, vec![endpoint(1)]);
    let mut shed = vec![];
    for id in 0..60 {
        for action in harness.handle(request(id, (id % 2) as usize, 5000.0)) {
            match action {
                Action::Reject { request, retry_after, .. } => {
                    assert!(retry_after.is_some_and(|after| after > 0.0));
                    shed.push(request.0);
                }
                Action::Fail(_) => panic!("none of them can have run"),
                _ => {}
            }
        }
    }
    assert_eq!(shed.len(), 40);
    // Those of little weight went first.
    assert!(shed[..15].iter().all(|id| id % 2 == 0), "{shed:?}");
}
