//! The sockets of clients and backends, which share the limit on file descriptors.
//!
//! A part of the sockets is reserved for backends. Beyond it, each side takes what the other leaves: clients that are
//! connected without a request take nothing from backends that requests wait for, and each client that may send a
//! request finds a socket for its backend.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

use crate::handover::Handover;

/// One in this many sockets is reserved for backends; otherwise clients and backends together would exceed the limit.
const RESERVED_DIVISOR: usize = 4;
/// Numerator of the fraction of the sockets that may have a request in flight at the same time.
const IN_FLIGHT_NUMERATOR: usize = 5;
/// Denominator of that fraction.
const IN_FLIGHT_DENOMINATOR: usize = 8;
/// Denominator of the part of the descriptors that clients use at most to send requests, over all processes.
const CLIENT_DIVISOR: usize = 3;
/// File descriptors reserved for uses other than client and upstream connections: standard streams, runtime, signals,
/// listener, gossip and discovery.
const RESERVED_DESCRIPTORS: usize = 32;

/// The limits on the sockets of clients and backends together.
pub struct SocketLimits {
    /// Maximum number of sockets while this is the only process of the proxy.
    pub without_overlap: usize,
    /// Maximum number of sockets while another process of this proxy runs too, during a handover.
    pub with_overlap: usize,
    /// Maximum number of sockets for backends.
    pub max_backends: usize,
    /// The number of clients that may send requests, over all processes.
    pub sending_clients: usize,
}

impl SocketLimits {
    /// The limits of a process that may use `max_descriptors` and has memory for `max_backends` connections to backends.
    /// While two processes of this proxy overlap, each may use half of the sockets.
    pub fn new(max_descriptors: usize, max_backends: usize) -> Self {
        let without_reserved = |descriptors: usize| descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let without_overlap = without_reserved(max_descriptors).max(RESERVED_DESCRIPTORS);
        SocketLimits {
            without_overlap,
            with_overlap: without_reserved(max_descriptors / 2).max(RESERVED_DESCRIPTORS / 2),
            max_backends: max_backends.min(without_overlap / 2),
            sending_clients: max_descriptors.div_ceil(CLIENT_DIVISOR),
        }
    }
}

/// The side of the proxy that uses a socket.
#[derive(Clone, Copy)]
enum Side {
    Clients,
    Backends,
}

/// The sockets in use, and their limits.
pub struct Sockets {
    limits: SocketLimits,
    /// The handover state, which shows whether another process runs; `None` if handover is not configured.
    handover: Option<Rc<Handover>>,
    clients: Cell<usize>,
    backends: Cell<usize>,
    /// The number of attempts that wait for a socket.
    waiting: Cell<usize>,
    /// Notified when a socket has been closed.
    closed: Notify,
}

/// One socket. Dropping it releases the socket.
pub struct SocketPermit {
    sockets: Rc<Sockets>,
    side: Side,
}

impl Sockets {
    /// Creates the account of a process without sockets.
    pub fn new(limits: SocketLimits, handover: Option<Rc<Handover>>) -> Rc<Self> {
        Rc::new(Sockets {
            limits,
            handover,
            clients: Cell::default(),
            backends: Cell::default(),
            waiting: Cell::default(),
            closed: Notify::new(),
        })
    }

    /// The number of client connections.
    pub fn clients(&self) -> usize {
        self.clients.get()
    }

    /// The number of connections to backends, open or being opened.
    pub fn backends(&self) -> usize {
        self.backends.get()
    }

    /// The number of requests that may be in flight at present.
    pub fn max_in_flight(&self) -> usize {
        let part = self.limit() / IN_FLIGHT_DENOMINATOR * IN_FLIGHT_NUMERATOR;
        part.max(self.limits.sending_clients)
    }

    /// The number of client connections that may be open at present: those that leave the reserved part for backends,
    /// and a socket for each attempt that has one or waits for one.
    pub fn max_clients(&self) -> usize {
        let wanted = (self.backends() + self.waiting.get()).min(self.limits.max_backends);
        self.limit().saturating_sub(wanted.max(self.backends()).max(self.reserved()))
    }

    /// Counts the socket of a client that has been accepted.
    pub fn add_client(self: &Rc<Self>) -> SocketPermit {
        self.add(Side::Clients)
    }

    /// Waits until a socket for a backend is free, and returns its permit.
    pub async fn acquire_backend(self: &Rc<Self>) -> SocketPermit {
        if !self.has_waiters() && !self.is_exhausted() {
            return self.add(Side::Backends);
        }
        let _waiter = Waiter::new(&self.waiting);
        loop {
            self.closed.notified().await;
            if !self.is_exhausted() {
                return self.add(Side::Backends);
            }
        }
    }

    /// Whether no socket for a backend is free.
    pub fn is_exhausted(&self) -> bool {
        let backends = self.backends();
        let has_room = backends < self.reserved() || backends + self.clients() < self.limit();
        backends >= self.limits.max_backends || !has_room
    }

    /// Whether an attempt waits for a socket.
    pub fn has_waiters(&self) -> bool {
        self.waiting.get() > 0
    }

    /// The number of sockets that this process may use at present.
    fn limit(&self) -> usize {
        let overlaps = self.handover.as_ref().is_some_and(|handover| handover.has_overlap());
        if overlaps { self.limits.with_overlap } else { self.limits.without_overlap }
    }

    /// The number of sockets that are reserved for backends at present.
    fn reserved(&self) -> usize {
        self.limit() / RESERVED_DIVISOR
    }

    fn add(self: &Rc<Self>, side: Side) -> SocketPermit {
        let count = self.count(side);
        count.set(count.get() + 1);
        SocketPermit { sockets: self.clone(), side }
    }

    fn count(&self, side: Side) -> &Cell<usize> {
        match side {
            Side::Clients => &self.clients,
            Side::Backends => &self.backends,
        }
    }
}

impl Drop for SocketPermit {
    fn drop(&mut self) {
        let count = self.sockets.count(self.side);
        count.set(count.get() - 1);
        self.sockets.closed.notify_one();
    }
}

/// Counts one attempt as waiting for a socket until the `Waiter` is dropped.
struct Waiter<'a>(&'a Cell<usize>);

impl<'a> Waiter<'a> {
    fn new(waiting: &'a Cell<usize>) -> Self {
        waiting.set(waiting.get() + 1);
        Waiter(waiting)
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

#[cfg(test)]
mod tests;
