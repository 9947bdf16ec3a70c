//! The end of a streamed body, and the bound on memory.

use super::*;
use std::cell::Cell;
use std::rc::Rc;

async fn collected(length: Option<u64>, parts: Vec<BodyChunk>) -> (Result<usize, ()>, Option<bool>) {
    let (source, mut flow) = BodyStream::new(length);
    let told = Rc::new(Cell::new(None));
    let told_at_end = told.clone();
    flow.at_end(Box::new(move |whole| told_at_end.set(Some(whole))));
    let send = async move {
        for part in parts {
            let _ = source.send(part).await;
        }
    };
    let (_, body) = tokio::join!(send, flow.collect());
    (body.map(|b| b.to_bytes().len()).map_err(|_| ()), told.get())
}

#[test]
fn a_flow_is_whole_only_with_its_end_or_its_length() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    let data = || BodyChunk::Data(Bytes::from_static(b"1234"), None);
    let run = |length, parts| runtime.block_on(collected(length, parts));
    assert_eq!(run(None, vec![data(), data(), BodyChunk::End]), (Ok(8), Some(true)));
    assert_eq!(run(None, vec![data(), data()]), (Err(()), Some(false)));
    assert_eq!(run(Some(8), vec![data(), data()]), (Ok(8), Some(true)));
    assert_eq!(run(Some(9), vec![data(), data(), BodyChunk::End]), (Err(()), Some(false)));
}

#[test]
fn what_is_in_hand_of_all_bodies_is_bounded() {
    let pool = Pool::new(128 << 10);
    let first = pool.try_reserve(100 << 10);
    assert!(first.is_some() && pool.try_reserve(100 << 10).is_none());
    drop(first);
    assert!(pool.try_reserve(100 << 10).is_some());
}
