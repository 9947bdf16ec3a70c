//! Graceful shutdown: accepts the last connections or leaves them to a successor, and finishes the accepted requests.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tracing::{info, warn};

use super::Frontend;
use super::client::Stage;
use crate::close_reason::ClientCloseReason;
use crate::inbox::Input;

/// Time after SIGTERM for which connections are accepted regardless of the accept queue. New connections still arrive
/// for up to 0.4 s. Also the longest time for which the accept queue is emptied after that.
const ACCEPT_TIME: Duration = Duration::from_millis(500);
/// Time without a new connection after which the accept queue counts as empty.
const EMPTY_QUEUE_TIME: Duration = Duration::from_millis(20);
/// Further time for which connections that have sent nothing stay open after the last accept.
const FIRST_BYTE_TIME: Duration = Duration::from_millis(200);
/// Time after SIGTERM at which connections without a request are closed if there is a successor. Until then they close
/// with their next response.
const HANDOVER_TIME: Duration = Duration::from_millis(450);
/// Upper limit on the longest deadline in the calculation of the time until SIGKILL. SIGKILL comes no sooner after
/// SIGTERM than the longest deadline, limited to this value, plus [`KILL_DELAY_AFTER_DEADLINE`].
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// Time that is added to the limited longest deadline to get the earliest time of SIGKILL after SIGTERM.
const KILL_DELAY_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// Time before the earliest SIGKILL at which all requests must have their response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(150);
/// Time allowed for writing the last responses.
const WRITE_TIME: Duration = Duration::from_millis(100);
/// Upper bound on a configured deadline, in milliseconds, so that the conversion to a `Duration` can't overflow.
const MAX_CONFIGURED_DEADLINE_MS: f64 = 1e9;

impl Frontend {
    /// Finishes the accepted requests and, if there is no successor, the requests that still arrive.
    pub(super) async fn shut_down(self: &Rc<Self>, listener: TcpListener) {
        self.is_shutting_down.set(true);
        let response_deadline = self.shutdown_response_deadline();
        self.inbox.put(Input::ShutdownDeadline(response_deadline));
        if self.announce_stop() {
            self.leave_to_successor(listener).await;
        } else {
            self.inbox.put(Input::ShutdownWithoutSuccessor);
            self.accept_remaining(listener).await;
        }
        self.finish_requests(response_deadline + WRITE_TIME).await;
    }

    /// The time by which all requests must have their response.
    fn shutdown_response_deadline(&self) -> Instant {
        let longest_ms = self.classes.borrow().longest_deadline().clamp(0.0, MAX_CONFIGURED_DEADLINE_MS);
        let longest_deadline = Duration::from_secs_f64(longest_ms / 1000.0);
        Instant::now() + longest_deadline.min(MAX_DEADLINE) + KILL_DELAY_AFTER_DEADLINE - RESPONSE_MARGIN
    }

    /// Announces the stop to the other processes of this proxy. Returns whether a successor serves clients already.
    fn announce_stop(&self) -> bool {
        self.handover.as_ref().is_some_and(|handover| handover.announce_stop())
    }

    /// Stops accepting, because the successor accepts new connections. The open connections close with their next
    /// response if there is one within [`HANDOVER_TIME`]; closing them earlier could cross a request that the client is
    /// just sending.
    async fn leave_to_successor(&self, listener: TcpListener) {
        drop(listener);
        sleep(HANDOVER_TIME).await;
        self.connections.close_all(Stage::Idle, ClientCloseReason::Shutdown);
        self.connections.close_all(Stage::New, ClientCloseReason::Shutdown);
    }

    /// Accepts connections for as long as the load balancer in front of the proxy may still open new ones.
    async fn accept_remaining(self: &Rc<Self>, listener: TcpListener) {
        // Idle connections close now: if a request crosses the close, the client can resend it on a new connection,
        // which is still accepted.
        self.connections.close_all(Stage::Idle, ClientCloseReason::Shutdown);
        self.accept_until(&listener, Instant::now() + ACCEPT_TIME).await;
        // The time limit is for the case that connections never cease to arrive.
        self.accept_until_empty(&listener, Instant::now() + ACCEPT_TIME).await;
        drop(listener);
        sleep(FIRST_BYTE_TIME).await;
        self.connections.close_all(Stage::New, ClientCloseReason::Shutdown);
    }

    async fn accept_until(self: &Rc<Self>, listener: &TcpListener, end: Instant) {
        while timeout_at(end, self.clone().accept(listener)).await.is_ok() {}
    }

    async fn accept_until_empty(self: &Rc<Self>, listener: &TcpListener, end: Instant) {
        while Instant::now() < end && timeout(EMPTY_QUEUE_TIME, self.clone().accept(listener)).await.is_ok() {
        }
    }

    /// Waits until all requests are finished: until `deadline` for those without a response, and without a limit for
    /// responses that are being streamed. A streamed response can't be replaced by another one. It is bounded by the
    /// timeouts of its backend and its client, and by SIGKILL.
    async fn finish_requests(&self, deadline: Instant) {
        self.finish_requests_until(deadline).await;
        if self.streamed_responses.get() == 0 {
            return;
        }
        info!("waiting for streamed responses");
        while self.streamed_responses.get() > 0 {
            self.connections_changed.notified().await;
            self.connections.close_all(Stage::Idle, ClientCloseReason::Shutdown);
        }
        // Requests that arrived meanwhile have been answered at once.
        self.finish_requests_until(Instant::now() + WRITE_TIME).await;
    }

    /// Waits until no request is in flight and no part of a request head has arrived, or until the deadline.
    async fn finish_requests_until(&self, deadline: Instant) {
        while self.connections.has_requests() {
            if timeout_at(deadline, self.connections_changed.notified()).await.is_err() {
                warn!(open = self.connections.in_flight(), "shutdown deadline passed with requests open");
                return;
            }
            self.connections.close_all(Stage::Idle, ClientCloseReason::Shutdown); // their response has just been sent
        }
    }
}
