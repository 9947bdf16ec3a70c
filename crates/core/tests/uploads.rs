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

/// Sends 40 requests whose bodies are streamed, one every 100 ms. The uploads at endpoint 1 stall, and go on after
/// `stall_time` if there is one; the others are served. Returns the number of requests sent to endpoint 1.
fn send_uploads_while_endpoint_stalls(stall_time: Option<Millis>) -> usize {
    let mut harness = Harness::new(settings(1), vec![endpoint(1), endpoint(2)]);
    harness.serve_sequentially(0, 60, |_| 50.0);
    let mut sent_to_stalling = 0;
    for id in 1000..1040 {
        let mut sent = sends(&harness.handle(request(id, 1, 3000.0)));
        sent.extend(sends(&harness.advance(100.0)));
        for (id, endpoint) in sent {
            harness.handle(upload(id, UploadStage::Started));
            if endpoint == 1 {
                sent_to_stalling += 1;
                harness.handle(upload(id, UploadStage::Stalled));
                let Some(stall_time) = stall_time else { continue };
                harness.advance(stall_time);
                harness.handle(upload(id, UploadStage::Resumed));
                harness.advance(1000.0);
            }
            harness.handle(upload(id, UploadStage::Complete));
            harness.advance(50.0);
            harness.handle(ended(id, 0, 50.0, Outcome::Served));
        }
    }
    sent_to_stalling
}

/// Guards against an endpoint that hangs, takes no slot for the uploads that are stuck there, and so gets ever more.
#[test]
fn endpoint_whose_uploads_stall_is_ejected() {
    let sent_to_stalling = send_uploads_while_endpoint_stalls(None);
    assert!((2..8).contains(&sent_to_stalling), "{sent_to_stalling} of 40 went to the endpoint that hangs");
}

/// Guards against the ejection of an endpoint that pauses for a moment, or whose client pauses.
#[test]
fn endpoint_whose_uploads_resume_is_not_ejected() {
    let sent_to_stalling = send_uploads_while_endpoint_stalls(Some(50.0));
    assert!(sent_to_stalling >= 15, "only {sent_to_stalling} of 40 went to the endpoint that pauses");
}

/// Guards against a slot that is freed twice, or never, if an upload counted as unanswered completes after all.
#[test]
fn upload_completed_after_long_stall_leaves_all_slots_free() {
    let free_slots = |harness: &mut Harness| {
        (100..120).map(|id| sends(&harness.handle(request(id, 0, 3000.0))).len()).sum::<usize>()
    };
    let mut harness = Harness::new(settings(1), vec![endpoint(1)]);
    let slots = free_slots(&mut harness);
    let mut harness = Harness::new(settings(1), vec![endpoint(1)]);
    assert_eq!(sends(&harness.handle(request(1, 1, 30_000.0))).len(), 1);
    for stage in [UploadStage::Started, UploadStage::Stalled] {
        harness.handle(upload(1, stage));
    }
    harness.advance(5000.0);
    for stage in [UploadStage::Resumed, UploadStage::Complete] {
        harness.handle(upload(1, stage));
    }
    harness.handle(ended(1, 0, 50.0, Outcome::Served));
    harness.advance(10_000.0);
    assert_eq!(free_slots(&mut harness), slots);
}
