//! Requests whose body is forwarded while it is still received.
mod common;
use common::*;
use leadrelay_core::*;

fn upload(id: u64, stage: UploadStage) -> Event {
    Event::Upload { request: RequestId(id), stage }
}

fn answers(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Reject { .. } | Action::Fail(_))).count()
}

#[test]
fn upload_takes_no_slot_and_no_time() {
    let filled = |uploading: bool| {
        let mut harness = Harness::new(settings(1), vec![endpoint(1)]);
        assert_eq!(sends(&harness.handle(request(1, 1, 3000.0))).len(), 1);
        if uploading {
            harness.handle(upload(1, UploadStage::Started));
        }
        let more: usize = (2..20).map(|id| sends(&harness.handle(request(id, 0, 3000.0))).len()).sum();
        (harness, more)
    };
    let (mut harness, more) = filled(true);
    assert_eq!(more, filled(false).1 + 1, "one more slot is free");
    // The others are answered in time; the one that still comes is not.
    let others = answers(&harness.advance(10_000.0));
    assert_eq!(others, 18);
    harness.handle(upload(1, UploadStage::Complete));
    assert_eq!(answers(&harness.advance(500.0)), 0, "its time has begun just now");
    assert_eq!(answers(&harness.advance(3000.0)), 1);
}

#[test]
fn body_not_replayable_is_not_sent_again() {
    for not_replayable in [false, true] {
        let mut harness = Harness::new(settings(1), vec![endpoint(1), endpoint(2)]);
        assert_eq!(sends(&harness.handle(request(1, 0, 3000.0))).len(), 1);
        harness.handle(upload(1, UploadStage::Started));
        if not_replayable {
            harness.handle(upload(1, UploadStage::NotReplayable));
        }
        let next = harness.handle(ended(1, 0, 5.0, Outcome::ConnectFailed));
        assert_eq!((sends(&next).len(), answers(&next)), if not_replayable { (0, 1) } else { (1, 0) });
    }
}
