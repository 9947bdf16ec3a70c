//! Tests of attempts on real connections, in which the test controls the order of events.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use leadrelay_core::Outcome;
use leadrelay_core::settings::json::ConnectionTimeouts;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

use super::keep_alive::MIN_KEEP_ALIVE;
use super::request_framing::HEAD_END;
use super::*;
use crate::memory::{MemoryPlan, ProcessMemory};
use crate::sockets::{SocketLimits, Sockets};

mod units;

const SERVED: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const REJECTED: &[u8] = b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";

/// An expiry of the endpoint list in the distant future.
fn list_valid_until() -> Rc<Cell<Instant>> {
    Rc::new(Cell::new(Instant::now() + Duration::from_secs(3600)))
}

fn pending_state() -> Rc<SharedRequestState> {
    Rc::new(SharedRequestState::pending())
}

fn upstream_request(body: Bytes, client_disconnected: bool) -> Rc<UpstreamRequest> {
    upstream_request_checked_by(body, move || client_disconnected)
}

/// A request with a custom check of its client, which is called just before the first byte is written.
fn upstream_request_checked_by(
    body: Bytes, client_disconnected: impl Fn() -> bool + 'static,
) -> Rc<UpstreamRequest> {
    let body = RequestBody::Buffered(body.into());
    let uri = Uri::from_static("/x");
    Rc::new(UpstreamRequest::new(Method::POST, uri, HeaderMap::new(), body, Box::new(client_disconnected)))
}

fn new_pool(sockets: usize) -> Rc<UpstreamPool> {
    let connections = ConnectionTimeouts { connect_timeout: 600_000.0, backend_idle_timeout: 600_000.0 };
    let memory = Rc::new(ProcessMemory::new(MemoryPlan::new(64 << 20, 256, false)));
    let limits = SocketLimits {
        without_overlap: 4 * sockets,
        with_overlap: 4 * sockets,
        max_backends: sockets,
        sending_clients: sockets,
    };
    let sockets = Sockets::new(limits, None);
    let pool = UpstreamPool::new(&connections, sockets, false, Arc::default(), memory);
    pool.set_list_valid_until(list_valid_until().get());
    Rc::new(pool)
}

async fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.expect("bind failed")
}

/// Starts an attempt at the listener's address. The returned task yields the reported outcome.
fn start_attempt(
    pool: &Rc<UpstreamPool>, listener: &TcpListener, body: Bytes, state: &Rc<SharedRequestState>,
) -> JoinHandle<Option<Outcome>> {
    let endpoint = UpstreamEndpoint::new(listener.local_addr().expect("no local address"), 0.0);
    pool.add_endpoint(&endpoint);
    start_attempt_at(pool, &endpoint, body, state)
}

/// Starts an attempt at an endpoint that may have idle connections.
fn start_attempt_at(
    pool: &Rc<UpstreamPool>, endpoint: &Rc<UpstreamEndpoint>, body: Bytes, state: &Rc<SharedRequestState>,
) -> JoinHandle<Option<Outcome>> {
    start_request_at(pool, endpoint, upstream_request(body, false), state)
}

fn start_request_at(
    pool: &Rc<UpstreamPool>, endpoint: &Rc<UpstreamEndpoint>, request: Rc<UpstreamRequest>,
    state: &Rc<SharedRequestState>,
) -> JoinHandle<Option<Outcome>> {
    let pool = pool.clone();
    let endpoint = endpoint.clone();
    let state = state.clone();
    tokio::task::spawn_local(async move {
        let mut reported = None;
        let deadline = Instant::now() + Duration::from_secs(60);
        let limits = AttemptLimits { deadline, request_deadline: deadline, start_by: None };
        pool.attempt(endpoint, state, request, limits, |outcome, _| reported = Some(outcome)).await;
        reported
    })
}

fn run_test(test: impl Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runtime build failed");
    let in_time = async { timeout(Duration::from_secs(30), test).await.expect("test timed out") };
    tokio::task::LocalSet::new().block_on(&runtime, in_time);
}

/// Accepts the next connection and reads a request head from it.
async fn accept_request(listener: &TcpListener) -> TcpStream {
    let (mut stream, _) = listener.accept().await.expect("accept failed");
    read_head(&mut stream).await;
    stream
}

async fn read_head(stream: &mut TcpStream) {
    let mut read = Vec::new();
    while !read.ends_with(HEAD_END) {
        assert!(stream.read_buf(&mut read).await.expect("read failed") > 0);
    }
}

async fn wait_until_an_attempt_waits(pool: &UpstreamPool) {
    while !pool.has_waiters() {
        tokio::task::yield_now().await;
    }
}

/// Guards against idle connections that keep taking places at backends which reject requests on new connections.
#[test]
fn idle_connections_close_while_new_ones_are_rejected() {
    run_test(async {
        let pool = new_pool(8);
        let state = pending_state();
        let accepting = listen().await;
        let rejecting = listen().await;
        let first = start_attempt(&pool, &accepting, Bytes::new(), &state);
        let mut idle = accept_request(&accepting).await;
        idle.write_all(SERVED).await.expect("write failed");
        assert_eq!(first.await.expect("attempt panicked"), Some(Outcome::Served));
        let max_keep_alive = pool.keep_alive_timeout();
        let mut rejections = 0;
        while pool.keep_alive_timeout() > MIN_KEEP_ALIVE {
            let attempt = start_attempt(&pool, &rejecting, Bytes::new(), &state);
            accept_request(&rejecting).await.write_all(REJECTED).await.expect("write failed");
            assert_eq!(attempt.await.expect("attempt panicked"), Some(Outcome::Rejected));
            rejections += 1;
            assert!(rejections < 100, "{:?}", pool.keep_alive_timeout());
        }
        tokio::time::sleep(MIN_KEEP_ALIVE).await; // the idle connection is now past its shortened timeout
        pool.close_expired();
        assert_eq!(idle.read(&mut [0; 1]).await.expect("no end of stream"), 0);
        // The timeout grows again once requests on new connections are accepted.
        while pool.keep_alive_timeout() < max_keep_alive {
            let attempt = start_attempt(&pool, &accepting, Bytes::new(), &state);
            accept_request(&accepting).await.write_all(SERVED).await.expect("write failed");
            assert_eq!(attempt.await.expect("attempt panicked"), Some(Outcome::Served));
        }
    });
}

/// Guards against a socket that stays with an idle connection while another attempt waits for one.
#[test]
fn released_socket_goes_to_the_attempt_that_waits() {
    run_test(async {
        let pool = new_pool(1);
        let first_backend = listen().await;
        let second_backend = listen().await;
        let state = pending_state();
        let first = start_attempt(&pool, &first_backend, Bytes::new(), &state);
        let mut first_stream = accept_request(&first_backend).await;
        let second = start_attempt(&pool, &second_backend, Bytes::new(), &state);
        wait_until_an_attempt_waits(&pool).await;
        first_stream.write_all(SERVED).await.expect("write failed");
        assert_eq!(first.await.expect("attempt panicked"), Some(Outcome::Served));
        let mut second_stream = accept_request(&second_backend).await;
        second_stream.write_all(SERVED).await.expect("write failed");
        assert_eq!(second.await.expect("attempt panicked"), Some(Outcome::Served));
    });
}

/// Guards against counting a lack of sockets in this process as a failure of the backend.
#[test]
fn attempt_that_gets_no_socket_is_withdrawn() {
    run_test(async {
        let pool = new_pool(1);
        let first_backend = listen().await;
        let second_backend = listen().await;
        let state = pending_state();
        let _first = start_attempt(&pool, &first_backend, Bytes::new(), &state);
        let _first_stream = accept_request(&first_backend).await;
        pool.reconfigure(&ConnectionTimeouts { connect_timeout: 50.0, backend_idle_timeout: 600_000.0 });
        let second = start_attempt(&pool, &second_backend, Bytes::new(), &state);
        assert_eq!(second.await.expect("attempt panicked"), Some(Outcome::Withdrawn));
    });
}

/// Guards against completing a request that nobody waits for, and against cutting off a request that has its response.
#[test]
fn partly_written_request_is_not_completed_once_abandoned() {
    let cases = [(RequestState::Abandoned, false), (RequestState::Answered, true)];
    for (new_state, completed) in cases {
        run_test(async move {
            let listener = listen().await;
            let state = pending_state();
            let size = 30 << 20; // more than the operating system's socket buffers hold
            let attempt = start_attempt(&new_pool(1), &listener, vec![0; size].into(), &state);
            let (mut backend, _) = listener.accept().await.expect("accept failed");
            let mut buffer = vec![0; 1 << 16];
            let mut read = backend.read(&mut buffer).await.expect("read failed");
            state.set(new_state);
            let served = async {
                while read < size {
                    match backend.read(&mut buffer).await {
                        Ok(count) if count > 0 => read += count,
                        _ => return false,
                    }
                }
                backend.write_all(SERVED).await.is_ok()
            };
            assert_eq!(served.await, completed, "{new_state:?}: {read} bytes");
            let outcome = if completed { Outcome::Served } else { Outcome::Withdrawn };
            assert_eq!(attempt.await.expect("attempt panicked"), Some(outcome));
        });
    }
}

/// Guards against an abandoned request that holds its connection because the backend reads nothing of it.
#[test]
fn abandoned_request_frees_its_connection_at_a_backend_that_does_not_read() {
    run_test(async {
        let listener = listen().await;
        let pool = new_pool(1);
        let state = pending_state();
        let size = 30 << 20; // more than the operating system's socket buffers hold
        let attempt = start_attempt(&pool, &listener, vec![0; size].into(), &state);
        let (_unread, _) = listener.accept().await.expect("accept failed");
        // The pause lets the proxy fill the socket buffers; it does not wait for an event.
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(pool.sockets_in_use(), 1);
        state.set(RequestState::Abandoned);
        assert_eq!(attempt.await.expect("attempt panicked"), Some(Outcome::Withdrawn));
        while pool.sockets_in_use() > 0 {
            tokio::task::yield_now().await;
        }
    });
}

/// Makes an endpoint with one idle connection. Returns the endpoint and the backend's end of the connection.
async fn idle_connection(
    pool: &Rc<UpstreamPool>, listener: &TcpListener, state: &Rc<SharedRequestState>,
) -> (Rc<UpstreamEndpoint>, TcpStream) {
    let endpoint = UpstreamEndpoint::new(listener.local_addr().expect("no local address"), 0.0);
    pool.add_endpoint(&endpoint);
    let attempt = start_attempt_at(pool, &endpoint, Bytes::new(), state);
    let mut idle = accept_request(listener).await;
    idle.write_all(SERVED).await.expect("write failed");
    assert_eq!(attempt.await.expect("attempt panicked"), Some(Outcome::Served));
    assert_eq!(endpoint.idle_connections(), 1);
    (endpoint, idle)
}

/// An action of a backend on an idle connection. Returns the backend's end if it stays open.
type IdleAction = fn(TcpStream) -> Option<TcpStream>;

fn close(idle: TcpStream) -> Option<TcpStream> {
    drop(idle);
    None
}

fn send_unsolicited_response(idle: TcpStream) -> Option<TcpStream> {
    idle.try_write(SERVED).expect("write failed");
    Some(idle)
}

fn send_partial_response(idle: TcpStream) -> Option<TcpStream> {
    idle.try_write(b"HTT").expect("write failed");
    Some(idle)
}

/// Guards against a request that is lost, or gets an unsolicited response, because the backend closes the idle
/// connection or sends on it between the check of the connection and the first byte.
#[test]
fn idle_connection_that_ends_or_sends_before_the_first_byte_is_replaced() {
    let actions: [IdleAction; 3] = [close, send_unsolicited_response, send_partial_response];
    for action in actions {
        run_test(async move {
            let listener = listen().await;
            let pool = new_pool(8);
            let state = pending_state();
            let (endpoint, idle) = idle_connection(&pool, &listener, &state).await;
            // The backend acts after the attempt has taken the connection and before the attempt writes to it.
            let backend_end = Rc::new(RefCell::new(Some(idle)));
            let kept_open = Rc::new(RefCell::new(None));
            let act_before_first_byte = {
                let endpoint = endpoint.clone();
                let backend_end = backend_end.clone();
                let kept_open = kept_open.clone();
                move || {
                    if let Some(idle) = backend_end.take() {
                        assert_eq!(endpoint.idle_connections(), 0, "the attempt has taken it");
                        kept_open.replace(action(idle));
                    }
                    false
                }
            };
            let request = upstream_request_checked_by(Bytes::new(), act_before_first_byte);
            let attempt = start_request_at(&pool, &endpoint, request, &state);
            let mut new = accept_request(&listener).await;
            new.write_all(REJECTED).await.expect("write failed");
            assert_eq!(
                attempt.await.expect("attempt panicked"),
                Some(Outcome::Rejected),
                "the response of the new connection"
            );
            assert!(backend_end.take().is_none(), "the backend has acted");
            if let Some(mut idle) = kept_open.take() {
                let read = idle.read(&mut [0; 1]).await;
                assert!(!matches!(read, Ok(1)), "nothing is written to the old connection");
            }
        });
    }
}

/// Guards against counting a request as possibly run, or dialing again, when a backend closes a new connection before
/// the first byte.
#[test]
fn new_connection_that_ends_before_the_first_byte_is_a_connect_failure() {
    run_test(async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind failed");
        let pool = new_pool(8);
        let endpoint = UpstreamEndpoint::new(listener.local_addr().expect("no local address"), 0.0);
        let attempt = start_attempt_at(&pool, &endpoint, Bytes::new(), &pending_state());
        tokio::task::yield_now().await; // the attempt dials here, but sees the connection established only later
        drop(listener.accept().expect("accept failed"));
        assert_eq!(attempt.await.expect("attempt panicked"), Some(Outcome::ConnectFailed));
    });
}

/// Guards against sending a request that is abandoned while its attempt waits for a socket.
#[test]
fn request_abandoned_while_it_waits_for_a_socket_is_withdrawn() {
    run_test(async {
        let pool = new_pool(1);
        let first_backend = listen().await;
        let second_backend = listen().await;
        let first_state = pending_state();
        let second_state = pending_state();
        let first = start_attempt(&pool, &first_backend, Bytes::new(), &first_state);
        let mut first_stream = accept_request(&first_backend).await;
        let second = start_attempt(&pool, &second_backend, Bytes::new(), &second_state);
        wait_until_an_attempt_waits(&pool).await;
        second_state.set(RequestState::Abandoned);
        first_stream.write_all(SERVED).await.expect("write failed");
        assert_eq!(first.await.expect("attempt panicked"), Some(Outcome::Served));
        assert_eq!(second.await.expect("attempt panicked"), Some(Outcome::Withdrawn));
        // The connection is opened all the same, but closed without a request.
        let (mut unused, _) = second_backend.accept().await.expect("accept failed");
        assert_eq!(unused.read(&mut [0; 1]).await.expect("no end of stream"), 0);
    });
}
