//! Attempts on real connections, in an order that the test sets.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use leadrelay_core::Outcome;
use leadrelay_core::settings::json::Connections;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

use super::keep_alive::MIN_KEEP_ALIVE;
use super::request_progress::HEAD_END;
use super::*;
use crate::body_stream::{Memory, Pool};

mod units;

/// The moment up to which the list of backends is valid: far away.
fn valid() -> Rc<Cell<Instant>> {
    Rc::new(Cell::new(Instant::now() + Duration::from_secs(3600)))
}

fn outgoing(body: Bytes, left: bool) -> Rc<Outgoing> {
    let (method, uri, headers) = (Method::POST, Uri::from_static("/x"), HeaderMap::new());
    let body = RequestBody::Buffered { bytes: body, _memory: None };
    Rc::new(Outgoing { method, uri, headers, body, client_disconnected: Box::new(move || left) })
}

fn upstreams(sockets: usize) -> Rc<Upstreams> {
    let connections = Connections { dial_timeout: 600_000.0, idle_close: 600_000.0 };
    let memory = Memory { pieces: Pool::new(1 << 20), ahead: Pool::new(1 << 20) };
    let upstreams = Upstreams::new(&connections, sockets, false, Arc::default(), memory);
    upstreams.set_list_valid_until(valid().get());
    Rc::new(upstreams)
}

/// Makes an attempt at the listener's address; tells how it ended.
fn attempted(
    upstreams: &Rc<Upstreams>, listener: &TcpListener, body: Bytes, state: &Rc<Cell<RequestState>>,
) -> JoinHandle<Option<Outcome>> {
    let endpoint = Upstream::new(listener.local_addr().expect("its own"), 0.0);
    upstreams.add(&endpoint);
    attempted_at(upstreams, &endpoint, body, state)
}

/// Makes an attempt at a backend that may have idle connections.
fn attempted_at(
    upstreams: &Rc<Upstreams>, endpoint: &Rc<Upstream>, body: Bytes, state: &Rc<Cell<RequestState>>,
) -> JoinHandle<Option<Outcome>> {
    let (upstreams, endpoint, state) = (upstreams.clone(), endpoint.clone(), state.clone());
    let message = outgoing(body, false);
    tokio::task::spawn_local(async move {
        let (mut ended, until) = (None, Instant::now() + Duration::from_secs(60));
        let limits = AttemptLimits { deadline: until, begin_by: None };
        upstreams.attempt(endpoint, state, message, limits, |outcome, _| ended = Some(outcome)).await;
        ended
    })
}

fn played(play: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let all = async { timeout(Duration::from_secs(30), play).await.expect("it ends in time") };
    tokio::task::LocalSet::new().block_on(&runtime, all);
}

/// Takes the next connection and reads the head on it.
async fn next(listener: &TcpListener) -> tokio::net::TcpStream {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    read_head(&mut stream).await;
    stream
}

async fn read_head(stream: &mut tokio::net::TcpStream) {
    let mut read = Vec::new();
    while !read.ends_with(HEAD_END) {
        assert!(stream.read_buf(&mut read).await.expect("a head") > 0);
    }
}

const SERVED: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const AWAY: &[u8] = b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";

#[test]
fn where_backends_hold_too_few_connections_none_stands_idle() {
    played(async {
        let upstreams = upstreams(8);
        let state = Rc::new(Cell::new(RequestState::Pending));
        let [kept, full] = [
            TcpListener::bind("127.0.0.1:0").await.expect("a port"),
            TcpListener::bind("127.0.0.1:0").await.expect("a port"),
        ];
        let first = attempted(&upstreams, &kept, Bytes::new(), &state);
        let mut idle = next(&kept).await;
        idle.write_all(SERVED).await.expect("it reads");
        assert_eq!(first.await.expect("no panic"), Some(Outcome::Served));
        let most = upstreams.keep.span();
        let mut tries = 0;
        while upstreams.keep.span() > MIN_KEEP_ALIVE {
            let attempt = attempted(&upstreams, &full, Bytes::new(), &state);
            next(&full).await.write_all(AWAY).await.expect("it reads");
            assert_eq!(attempt.await.expect("no panic"), Some(Outcome::Rejected));
            tries += 1;
            assert!(tries < 100, "{:?}", upstreams.keep.span());
        }
        tokio::time::sleep(MIN_KEEP_ALIVE).await; // so that it has stood for longer than is now allowed
        upstreams.retire();
        assert_eq!(idle.read(&mut [0; 1]).await.expect("an end"), 0);
        // As new ones are let in, they are kept for longer again.
        while upstreams.keep.span() < most {
            let attempt = attempted(&upstreams, &kept, Bytes::new(), &state);
            next(&kept).await.write_all(SERVED).await.expect("it reads");
            assert_eq!(attempt.await.expect("no panic"), Some(Outcome::Served));
        }
    });
}

#[test]
fn who_waits_for_a_socket_gets_the_next_that_comes_free() {
    played(async {
        let upstreams = upstreams(1);
        let one = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let two = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let state = Rc::new(Cell::new(RequestState::Pending));
        let first = attempted(&upstreams, &one, Bytes::new(), &state);
        let mut held = next(&one).await;
        let second = attempted(&upstreams, &two, Bytes::new(), &state);
        while upstreams.waiting.get() == 0 {
            tokio::task::yield_now().await;
        }
        held.write_all(SERVED).await.expect("it reads");
        assert_eq!(first.await.expect("no panic"), Some(Outcome::Served));
        let mut next = next(&two).await;
        next.write_all(SERVED).await.expect("it reads");
        assert_eq!(second.await.expect("no panic"), Some(Outcome::Served));
    });
}

#[test]
fn the_rest_of_a_half_written_request_is_kept_from_a_backend_once_its_client_has_left() {
    for (to, whole) in [(RequestState::Abandoned, false), (RequestState::Answered, true)] {
        played(async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let state = Rc::new(Cell::new(RequestState::Pending));
            let size = 30 << 20; // more than the system takes
            let attempt = attempted(&upstreams(1), &listener, vec![0; size].into(), &state);
            let (mut backend, _) = listener.accept().await.expect("the attempt");
            let mut buffer = vec![0; 1 << 16];
            let mut read = backend.read(&mut buffer).await.expect("the head");
            state.set(to);
            let answered = async {
                while read < size {
                    match backend.read(&mut buffer).await {
                        Ok(n) if n > 0 => read += n,
                        _ => return false,
                    }
                }
                backend.write_all(SERVED).await.is_ok()
            };
            assert_eq!(answered.await, whole, "{to:?}: {read} bytes");
            let outcome = if whole { Outcome::Served } else { Outcome::Withdrawn };
            assert_eq!(attempt.await.expect("no panic"), Some(outcome));
        });
    }
}

/// A backend with one idle connection, and its end of that.
async fn idle_at(
    upstreams: &Rc<Upstreams>, listener: &TcpListener, state: &Rc<Cell<RequestState>>,
) -> (Rc<Upstream>, tokio::net::TcpStream) {
    let endpoint = Upstream::new(listener.local_addr().expect("its own"), 0.0);
    upstreams.add(&endpoint);
    let attempt = attempted_at(upstreams, &endpoint, Bytes::new(), state);
    let mut idle = next(listener).await;
    idle.write_all(SERVED).await.expect("it reads");
    assert_eq!(attempt.await.expect("no panic"), Some(Outcome::Served));
    assert_eq!(endpoint.idle.borrow().len(), 1);
    (endpoint, idle)
}

#[test]
fn an_idle_connection_that_ends_or_speaks_before_a_first_byte_is_written_gives_way_to_a_new_one() {
    let deeds: [fn(tokio::net::TcpStream) -> Option<tokio::net::TcpStream>; 3] = [
        |idle| {
            drop(idle);
            None
        },
        |idle| {
            idle.try_write(SERVED).expect("room for it");
            Some(idle)
        },
        |idle| {
            idle.try_write(b"HTT").expect("room for it");
            Some(idle)
        },
    ];
    for deed in deeds {
        played(async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let (upstreams, state) = (upstreams(8), Rc::new(Cell::new(RequestState::Pending)));
            let (endpoint, idle) = idle_at(&upstreams, &listener, &state).await;
            // The attempt has taken the connection before the backend does its deed, and the connection's own task
            // is to write only after that: tasks run in the order in which they are woken.
            let attempt = attempted_at(&upstreams, &endpoint, Bytes::new(), &state);
            let done = tokio::task::spawn_local({
                let endpoint = endpoint.clone();
                async move {
                    assert!(endpoint.idle.borrow().is_empty(), "it has been taken");
                    deed(idle)
                }
            });
            let idle = done.await.expect("no panic");
            let mut new = next(&listener).await;
            new.write_all(AWAY).await.expect("it reads");
            assert_eq!(attempt.await.expect("no panic"), Some(Outcome::Rejected), "the new one's answer");
            if let Some(mut idle) = idle {
                assert!(!matches!(idle.read(&mut [0; 1]).await, Ok(1)), "nothing is written to the old one");
            }
        });
    }
}

#[test]
fn a_new_connection_that_has_ended_before_a_first_byte_is_written_has_run_nothing() {
    played(async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let (upstreams, state) = (upstreams(8), Rc::new(Cell::new(RequestState::Pending)));
        let endpoint = Upstream::new(listener.local_addr().expect("its own"), 0.0);
        let attempt = attempted_at(&upstreams, &endpoint, Bytes::new(), &state);
        tokio::task::yield_now().await; // the attempt dials, and is told only after this that it is through
        drop(listener.accept().expect("the attempt's"));
        assert_eq!(attempt.await.expect("no panic"), Some(Outcome::ConnectFailed));
    });
}

#[test]
fn a_client_that_leaves_while_its_request_waits_for_a_socket_is_not_sent_on() {
    played(async {
        let upstreams = upstreams(1);
        let one = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let two = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let states = [RequestState::Pending, RequestState::Pending].map(|state| Rc::new(Cell::new(state)));
        let first = attempted(&upstreams, &one, Bytes::new(), &states[0]);
        let mut held = next(&one).await;
        let second = attempted(&upstreams, &two, Bytes::new(), &states[1]);
        while upstreams.waiting.get() == 0 {
            tokio::task::yield_now().await;
        }
        states[1].set(RequestState::Abandoned);
        held.write_all(SERVED).await.expect("it reads");
        assert_eq!(first.await.expect("no panic"), Some(Outcome::Served));
        assert_eq!(second.await.expect("no panic"), Some(Outcome::Withdrawn));
        let (mut unused, _) = two.accept().await.expect("it came up all the same");
        assert_eq!(unused.read(&mut [0; 1]).await.expect("an end"), 0);
    });
}
