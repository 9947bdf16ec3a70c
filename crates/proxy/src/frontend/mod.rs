//! Clients: accepts connections, reads and checks requests, and gives each exactly one final answer.
//!
//! - `listener` accepts connections within the `budget` of sockets, `stages` evicts some to make room;
//! - `connection` serves one connection over its `client_socket`, `client` is what is known of it;
//! - `request` takes one request to its answer, `body` reads its body, `response` words what the client gets;
//! - `shutdown` ends the process without losing a request.

mod body;
mod budget;
mod client;
mod client_socket;
mod connection;
mod listener;
mod request;
mod response;
mod shutdown;
mod stages;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

pub use budget::Budget;
pub use listener::listen;

use crate::classes::Classes;
use crate::inbox::Inbox;
use crate::metrics::Metrics;
use crate::open_ids::OpenIds;
use crate::upstream::UpstreamPool;
use client::Client;
use stages::EVICTABLE_STAGES;

/// Longest head. Large enough for any client of the protocol, small enough for all connections at once.
const MAX_HEAD_SIZE: usize = 16 << 10;
/// A request must be complete this long after its first byte, the first one this long after its connection was
/// accepted: a client that sends nothing of use is owed an end within 3 s. A body that keeps a pace may take longer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2400);
/// Interval between looks for connections whose time is up.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

/// What all connections of clients share.
pub struct Frontend {
    inbox: Inbox,
    classes: Rc<RefCell<Classes>>,
    upstreams: Rc<UpstreamPool>,
    budget: Budget,
    metrics: Arc<Metrics>,
    /// The fraction of requests that leave an access event.
    access_rate: Rc<Cell<f64>>,
    /// What has been saved up for the next access event, which is due at 1.
    access_credit: Cell<f64>,
    next_number: Cell<u64>,
    /// The operators have taken the proxy out of service.
    drained: Rc<Cell<bool>>,
    /// The process ends.
    stopping: Cell<bool>,
    /// Open connections.
    connections: Cell<usize>,
    /// Those with a request in flight.
    in_flight: Cell<usize>,
    /// The others by stage, oldest first.
    by_stage: RefCell<[BTreeMap<u64, Rc<Client>>; EVICTABLE_STAGES]>,
    /// When the accept queue was last seen empty.
    queue_empty_at: Cell<Instant>,
    open_ids: OpenIds,
    /// Notified when a connection has closed, and while the process ends when one changes its stage.
    changed: Notify,
}

impl Frontend {
    /// A frontend without connections.
    pub fn new(
        inbox: Inbox, classes: Rc<RefCell<Classes>>, upstreams: Rc<UpstreamPool>, budget: Budget,
        metrics: Arc<Metrics>, drained: Rc<Cell<bool>>, access_rate: Rc<Cell<f64>>,
    ) -> Rc<Self> {
        Rc::new(Frontend {
            inbox,
            classes,
            upstreams,
            budget,
            metrics,
            access_rate,
            access_credit: Cell::new(0.0),
            next_number: Cell::new(0),
            drained,
            stopping: Cell::new(false),
            connections: Cell::new(0),
            in_flight: Cell::new(0),
            by_stage: RefCell::default(),
            queue_empty_at: Cell::new(Instant::now()),
            open_ids: OpenIds::default(),
            changed: Notify::new(),
        })
    }

    /// Accepts and serves connections until `stop`, then finishes the requests that have been accepted.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, stop: impl Future<Output = ()>) {
        let expiry = self.clone();
        tokio::task::spawn_local(async move {
            loop {
                sleep(EXPIRY_INTERVAL).await;
                expiry.close_expired();
            }
        });
        tokio::pin!(stop);
        loop {
            tokio::select! {
                biased;
                () = &mut stop => break,
                () = self.clone().accept(&listener) => {}
            }
        }
        self.shut_down(listener).await;
    }

    /// Whether clients are asked to go elsewhere.
    fn draining(&self) -> bool {
        self.drained.get() || self.stopping.get()
    }

    /// A number that no other request or stage of this process has.
    fn next_number(&self) -> u64 {
        self.next_number.replace(self.next_number.get() + 1)
    }
}
