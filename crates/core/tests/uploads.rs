//! Requests whose body is forwarded while it is still being received.
mod common;
use common::*;
use leadrelay_core::*;

fn upload(id: u64, stage: UploadStage) -> Event {
    Event::Upload { request: RequestId(id), stage }
}

/// Returns the number of requests that are rejected or failed.
fn final_responses(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Reject { .. } | Action::Fail(_))).count()
}

#[test]
fn upload_takes_no_slot_and_its_deadline_does_not_run() {
    let fill = |uploading: bool| {
        let mut harness = Harness::new(settings(1), vec![endpoint(1)]);
        assert_eq!(sends(&harness.handle(request(1, 1, 3000.0))).len(), 1);
        if uploading {
            harness.handle(upload(1, UploadStage::Started));
        }
        let more_sends: usize = (2..20).map(|id| sends(&harness.handle(request(id, 0, 3000.0))).len()).sum();
        (harness, more_sends)
    };
    let (mut harness, more_sends) = fill(true);
    assert_eq!(more_sends, fill(false).1 + 1, "one more slot is free");
    // The other requests get a final response in time; the one that is still being received gets none.
    let others = final_responses(&harness.advance(10_000.0));
    assert_eq!(others, 18);
    harness.handle(upload(1, UploadStage::Complete));
    assert_eq!(final_responses(&harness.advance(500.0)), 0, "its deadline runs only from now on");
    assert_eq!(final_responses(&harness.advance(3000.0)), 1);
}

#[test]
fn request_with_body_that_is_not_replayable_is_not_retried() {
    for not_replayable in [false, true] {
        let mut harness = Harness::new(settings(1), vec![endpoint(1), endpoint(2)]);
        assert_eq!(sends(&harness.handle(request(1, 0, 3000.0))).len(), 1);
        harness.handle(upload(1, UploadStage::Started));
        if not_replayable {
            harness.handle(upload(1, UploadStage::NotReplayable));
        }
        let actions = harness.handle(ended(1, 0, 5.0, Outcome::ConnectFailed));
        assert_eq!(
            (sends(&actions).len(), final_responses(&actions)),
            if not_replayable { (0, 1) } else { (1, 0) }
        );
    }
}
