//! Final responses, retries and load shedding.
mod common;
use common::*;
use leadrelay_core::*;

#[test]
fn request_with_too_little_time_is_rejected_at_once() {
    // Guards against requests without a response: clients' retries arrived with timeouts shorter than the time to the
    // next tick.
    let mut harness = Harness::new(settings(1), vec![endpoint(1)]);
    assert_eq!(rejections(&harness.handle(request(1, 0, 15.0))), 1);
}

#[test]
fn request_gets_one_final_response() {
    // Guards against a second response: a request that was served out of turn stayed in its queue and got
    // another response.
    let mut harness = Harness::new(settings(1), vec![]);
    harness.handle(request(1, 1, 3000.0));
    let out = harness.advance(4000.0);
    assert_eq!(rejections(&out), 1);
}

#[test]
fn running_request_is_given_up_just_before_its_objective() {
    // Guards against giving requests up too early: some were given up as much as 30 ms before the objective, although
    // they would still have been served in time.
    let mut harness = Harness::new(settings(1), vec![endpoint(1)]);
    assert_eq!(burst(&mut harness, 1, 1).len(), 1);
    assert_eq!(rejections(&harness.advance(1190.0)), 0, "its objective is 1200 ms");
    assert_eq!(rejections(&harness.advance(10.0)), 1);
}

#[test]
fn withdrawn_attempt_costs_no_retry_budget() {
    // Guards against withdrawn attempts that use up the budget: as the list changed quickly, attempts were withdrawn
    // before anything was sent, until clients were rejected although endpoints were idle.
    let mut harness = Harness::new(settings(1), (1..=8).map(endpoint).collect());
    let count_retries = |harness: &mut Harness, id, outcome| {
        harness.handle(request(id, 1, 3000.0));
        let retries = sends(&harness.handle(ended(id, 0, 1.0, outcome)));
        harness.handle(ended(id, 1, 1.0, Outcome::Served));
        harness.advance(1000.0);
        retries.len()
    };
    for id in 1..=20 {
        assert_eq!(count_retries(&mut harness, id, Outcome::Withdrawn), 1, "request {id}");
    }
    // Retries after other outcomes still use the budget, which holds 20 at most and grows little with each arrival.
    let retries: usize = (100..140).map(|id| count_retries(&mut harness, id, Outcome::ConnectFailed)).sum();
    assert!(retries < 20, "{retries} of 40 requests were retried");
}

#[test]
fn overload_sheds_lowest_weight_first() {
    // Guards against connections kept by requests that cannot be served in time: at four times the load they kept all
    // of them, and new requests were not accepted at all.
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
                Action::Fail(_) => panic!("no rejected request can have run"),
                _ => {}
            }
        }
    }
    assert_eq!(shed.len(), 40);
    // Requests of low weight are shed first.
    assert!(shed[..15].iter().all(|id| id % 2 == 0), "{shed:?}");
}
