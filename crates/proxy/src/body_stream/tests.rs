//! Tests of how a streamed body ends.

use std::cell::Cell;
use std::rc::Rc;

use http_body_util::BodyExt;

use super::*;

const BUFFERS: BufferSizes = BufferSizes::NARROW;

/// Waits for room and sends one chunk.
async fn send_chunk(sender: &BodySender, chunk: Bytes) -> Result<(), ReaderStopped> {
    let room = sender.room().await?;
    sender.send(chunk, room).await
}

/// How a stream ended, as its reader and its callback saw it.
#[derive(Debug, PartialEq)]
struct StreamEnd {
    /// Bytes read, or `None` if the reader got an error.
    bytes_read: Option<usize>,
    /// The callback's argument, or `None` if it was not called.
    reported_complete: Option<bool>,
}

/// Sends `chunks` chunks of four bytes, and then the end if `with_end`, to a stream of this length.
async fn collect(length: Option<u64>, chunks: usize, with_end: bool) -> StreamEnd {
    let (sender, mut stream) = BodyStream::new(length, BUFFERS);
    let reported_complete = Rc::new(Cell::new(None));
    let reported = reported_complete.clone();
    stream.on_end(Box::new(move |complete| reported.set(Some(complete))));
    let send_all = async move {
        for _ in 0..chunks {
            let _ = send_chunk(&sender, Bytes::from_static(b"1234")).await;
        }
        if with_end {
            sender.end().await;
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
    let run = |length, chunks, with_end| runtime.block_on(collect(length, chunks, with_end));
    let complete = || StreamEnd { bytes_read: Some(8), reported_complete: Some(true) };
    let incomplete = || StreamEnd { bytes_read: None, reported_complete: Some(false) };
    assert_eq!(run(None, 2, true), complete());
    assert_eq!(run(None, 2, false), incomplete());
    assert_eq!(run(Some(8), 2, false), complete());
    assert_eq!(run(Some(9), 2, true), incomplete());
}

/// Guards against a stream whose reader is slow and which takes ever more memory: a chunk counts until it is dropped, and
/// one that keeps a read buffer alive counts as all of that buffer.
#[test]
fn sender_waits_while_the_window_is_used_up() {
    let buffer = BUFFERS.read_buffer();
    // The length of the chunks, and how many of them fit into the window beside the room for one read buffer.
    for (length, expected) in [(buffer, 1), (buffer / 2, 1), (buffer / 2 - 1, 2), (buffer / 8, 5)] {
        let runtime =
            tokio::runtime::Builder::new_current_thread().build().expect("failed to build the runtime");
        runtime.block_on(async {
            let (sender, mut stream) = BodyStream::new(None, BUFFERS);
            let mut sending = std::pin::pin!(async {
                while send_chunk(&sender, Bytes::from(vec![0; length])).await.is_ok() {}
            });
            let mut taken = Vec::new();
            loop {
                assert!(poll_once(sending.as_mut()).await.is_none(), "the reader has not stopped");
                let Some(chunk) = poll_once(std::pin::pin!(stream.frame())).await else { break };
                taken.push(chunk.expect("a frame").expect("data").into_data().expect("data"));
            }
            assert_eq!(taken.len(), expected, "chunks of {length} bytes");
            taken.remove(0);
            assert!(poll_once(sending.as_mut()).await.is_none(), "the reader has not stopped");
            let chunk = poll_once(std::pin::pin!(stream.frame())).await;
            assert!(chunk.is_some(), "what has been dropped makes room for as much");
        });
    }
}

/// Guards against a sender that waits for good for a reader that has stopped while a chunk of it is still in use.
#[test]
fn sender_learns_that_the_reader_has_stopped_while_it_waits_for_room() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("failed to build the runtime");
    runtime.block_on(async {
        let (sender, mut stream) = BodyStream::new(None, BUFFERS);
        let chunk = Bytes::from(vec![0; BUFFERS.read_buffer()]);
        assert!(send_chunk(&sender, chunk).await.is_ok());
        let _in_use = stream.frame().await;
        drop(stream);
        assert!(sender.room().await.is_err());
    });
}

/// Polls a future once.
async fn poll_once<F: Future + Unpin>(mut future: F) -> Option<F::Output> {
    std::future::poll_fn(|cx| match Pin::new(&mut future).poll(cx) {
        Poll::Ready(output) => Poll::Ready(Some(output)),
        Poll::Pending => Poll::Ready(None),
    })
    .await
}
