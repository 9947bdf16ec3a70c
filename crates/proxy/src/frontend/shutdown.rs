//! Graceful shutdown: which connections are still accepted, and which requests are waited for.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tracing::warn;

use super::Frontend;
use super::client::Stage;
use crate::close_reason::ClientClose;
use crate::inbox::Input;

/// After SIGTERM connections still arrive for up to 0.4 s.
const ACCEPT_TIME: Duration = Duration::from_millis(500);
/// Then the accept queue counts as empty once nothing arrives for this time.
const EMPTY_QUEUE_TIME: Duration = Duration::from_millis(20);
/// A connection that has sent nothing is waited for this much longer.
const FIRST_BYTE_TIME: Duration = Duration::from_millis(200);
/// With a successor, connections are used for this long after SIGTERM before idle ones are closed.
const HANDOVER_TIME: Duration = Duration::from_millis(450);
/// SIGKILL comes no sooner after SIGTERM than the longest deadline, of which no more than this counts,
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// and this time.
const KILL_TIME: Duration = Duration::from_millis(700);
/// All requests have their response this long before SIGKILL.
const RESPONSE_MARGIN: Duration = Duration::from_millis(150);
/// What writing the last responses may take.
const WRITE_TIME: Duration = Duration::from_millis(100);
/// Bound on a configured deadline, in milliseconds, for the conversion to a `Duration`.
const MAX_CONFIGURED_DEADLINE_MS: f64 = 1e9;

impl Frontend {
    /// Finishes the requests that have been accepted, and those that still arrive if there is no successor.
    pub(super) async fn shut_down(self: &Rc<Self>, listener: TcpListener) {
        self.stopping.set(true);
        let response_deadline = self.shutdown_response_deadline();
        self.inbox.put(Input::ShutdownDeadline(response_deadline));
        if self.hand_over() {
            self.leave_to_successor(listener).await;
        } else {
            self.inbox.put(Input::ShutdownWithoutSuccessor);
            self.accept_last(listener).await;
        }
        self.finish_requests(response_deadline + WRITE_TIME).await;
    }

    /// By when all requests must have their response.
    fn shutdown_response_deadline(&self) -> Instant {
        let longest_ms = self.classes.borrow().longest_deadline().clamp(0.0, MAX_CONFIGURED_DEADLINE_MS);
        let longest = Duration::from_secs_f64(longest_ms / 1000.0);
        Instant::now() + longest.min(MAX_DEADLINE) + KILL_TIME - RESPONSE_MARGIN
    }

    /// Leaves the clients to a successor; returns whether there is one.
    fn hand_over(&self) -> bool {
        self.limits.handover.as_ref().is_some_and(|handover| handover.announce_stop())
    }

    /// The successor accepts new connections. Those open here close with their next response, if one comes soon: closed
    /// before that, a connection could cross a request.
    async fn leave_to_successor(&self, listener: TcpListener) {
        drop(listener);
        sleep(HANDOVER_TIME).await;
        self.connections.close_all(Stage::Idle, ClientClose::Shutdown);
        self.connections.close_all(Stage::New, ClientClose::Shutdown);
    }

    /// Accepts connections for as long as the load balancer in front may still open any.
    async fn accept_last(self: &Rc<Self>, listener: TcpListener) {
        // Idle connections close now: a request that crosses that is sent again while connections are still accepted.
        self.connections.close_all(Stage::Idle, ClientClose::Shutdown);
        self.accept_until(&listener, Instant::now() + ACCEPT_TIME).await;
        // A bound, should they never cease to arrive.
        self.accept_until_empty(&listener, Instant::now() + ACCEPT_TIME).await;
        drop(listener);
        sleep(FIRST_BYTE_TIME).await;
        self.connections.close_all(Stage::New, ClientClose::Shutdown);
    }

    async fn accept_until(self: &Rc<Self>, listener: &TcpListener, end: Instant) {
        while timeout_at(end, self.clone().accept(listener)).await.is_ok() {}
    }

    async fn accept_until_empty(self: &Rc<Self>, listener: &TcpListener, end: Instant) {
        while Instant::now() < end && timeout(EMPTY_QUEUE_TIME, self.clone().accept(listener)).await.is_ok() {
        }
    }

    /// Waits until no request is in flight. One of which a part has arrived is waited for too.
    async fn finish_requests(&self, deadline: Instant) {
        while self.connections.has_requests() {
            if timeout_at(deadline, self.changed.notified()).await.is_err() {
                warn!(open = self.connections.in_flight(), "shutdown deadline passed with requests open");
                return;
            }
            self.connections.close_all(Stage::Idle, ClientClose::Shutdown); // whose response has just gone out
        }
    }
}
