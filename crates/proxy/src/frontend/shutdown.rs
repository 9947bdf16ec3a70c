//! The end of a process: which connections are still accepted, and which requests are waited for.

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
/// Then the accept queue counts as empty once nothing arrives for this span.
const QUIET_TIME: Duration = Duration::from_millis(20);
/// A connection that has sent nothing is waited for this much longer.
const FIRST_BYTE_TIME: Duration = Duration::from_millis(200);
/// With a successor, connections are used for this long after SIGTERM before idle ones are closed.
const HANDOVER_TIME: Duration = Duration::from_millis(450);
/// SIGKILL comes no sooner after SIGTERM than the longest deadline, of which no more than this counts,
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// and this span.
const KILL_TIME: Duration = Duration::from_millis(700);
/// All requests have their answer this long before SIGKILL.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// What the answers may take to go out.
const WRITE_TIME: Duration = Duration::from_millis(100);

impl Frontend {
    /// Finishes the requests that have been accepted, and those that still arrive if there is no successor.
    pub(super) async fn shut_down(self: &Rc<Self>, listener: TcpListener) {
        self.stopping.set(true);
        let longest =
            Duration::from_secs_f64(self.classes.borrow().longest_deadline().clamp(0.0, 1e9) / 1000.0);
        let end = Instant::now() + longest.min(MAX_DEADLINE) + KILL_TIME - ANSWER_MARGIN;
        self.inbox.put(Input::ShutdownDeadline(end));
        if self.budget.handover.as_ref().is_some_and(|handover| handover.announce_stop()) {
            self.leave_to_successor(listener).await;
        } else {
            self.inbox.put(Input::ShutdownStarted);
            self.accept_last(listener).await;
        }
        self.finish_requests(end + WRITE_TIME).await;
    }

    /// The successor accepts new connections. Those open here close with their next answer, if one comes soon: closed
    /// before that, a connection could cross a request.
    async fn leave_to_successor(&self, listener: TcpListener) {
        drop(listener);
        sleep(HANDOVER_TIME).await;
        self.close_all(Stage::Idle, ClientClose::Shutdown);
        self.close_all(Stage::New, ClientClose::Shutdown);
    }

    /// Accepts connections for as long as the load balancer in front may still open any.
    async fn accept_last(self: &Rc<Self>, listener: TcpListener) {
        // Idle connections close now: a request that crosses that is sent again while connections are still accepted.
        self.close_all(Stage::Idle, ClientClose::Shutdown);
        let end = Instant::now() + ACCEPT_TIME;
        while timeout_at(end, self.clone().accept(&listener)).await.is_ok() {}
        let end = Instant::now() + ACCEPT_TIME; // a bound, should they never cease to arrive
        while Instant::now() < end && timeout(QUIET_TIME, self.clone().accept(&listener)).await.is_ok() {}
        drop(listener);
        sleep(FIRST_BYTE_TIME).await;
        self.close_all(Stage::New, ClientClose::Shutdown);
    }

    /// Waits until no request is in flight. One of which a part has arrived is waited for too.
    async fn finish_requests(&self, end: Instant) {
        while self.has_open_requests() {
            if timeout_at(end, self.changed.notified()).await.is_err() {
                warn!(open = self.in_flight.get(), "ended with requests open");
                return;
            }
            self.close_all(Stage::Idle, ClientClose::Shutdown); // whose answer has just gone out
        }
    }

    fn has_open_requests(&self) -> bool {
        self.in_flight.get() > 0 || !self.by_stage.borrow()[Stage::ReadingHead as usize].is_empty()
    }
}
