//! Tests of how a streamed body ends.

use std::cell::Cell;
use std::rc::Rc;

use http_body_util::BodyExt;

use super::*;

/// How a stream ended, as its reader and its callback saw it.
#[derive(Debug, PartialEq)]
struct StreamEnd {
    /// Bytes read, or `None` if the reader got an error.
    bytes_read: Option<usize>,
    /// The callback's argument, or `None` if it was not called.
    reported_complete: Option<bool>,
}

async fn collect(length: Option<u64>, chunks: Vec<BodyChunk>) -> StreamEnd {
    let (sender, mut stream) = BodyStream::new(length);
    let reported_complete = Rc::new(Cell::new(None));
    let reported = reported_complete.clone();
    stream.on_end(Box::new(move |complete| reported.set(Some(complete))));
    let send_all = async move {
        for chunk in chunks {
            let _ = sender.send(chunk).await;
        }
    };
    let (_, body) = tokio::join!(send_all, stream.collect());
    StreamEnd {
        bytes_read: body.ok().map(|body| body.to_bytes().len()),
        reported_complete: reported_complete.get(),
    }
}

// Guards against a truncated body that passes as complete: its sender stops without `End`, or before the announced
// length.
#[test]
fn stream_is_complete_only_with_its_end_or_its_length() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("failed to build the runtime");
    let run = |length, chunks| runtime.block_on(collect(length, chunks));
    let data = || BodyChunk::Data(Bytes::from_static(b"1234"), None);
    let complete = || StreamEnd { bytes_read: Some(8), reported_complete: Some(true) };
    let incomplete = || StreamEnd { bytes_read: None, reported_complete: Some(false) };
    assert_eq!(run(None, vec![data(), data(), BodyChunk::End]), complete());
    assert_eq!(run(None, vec![data(), data()]), incomplete());
    assert_eq!(run(Some(8), vec![data(), data()]), complete());
    assert_eq!(run(Some(9), vec![data(), data(), BodyChunk::End]), incomplete());
}
