//! Addresses that refuse connections, and listeners whose accept queue is full.

use std::net::{SocketAddr, TcpListener, TcpStream};

use super::{system, wait_for};

/// An address that refuses connections until it is opened. Nobody else gets it meanwhile.
pub struct RefusingAddress {
    pub address: SocketAddr,
    socket: socket2::Socket,
}

impl RefusingAddress {
    pub fn new() -> Self {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        socket.bind(&any.into()).expect("a port");
        let address = socket.local_addr().ok().and_then(|address| address.as_socket()).expect("an address");
        RefusingAddress { address, socket }
    }

    pub fn open(self) -> TcpListener {
        self.socket.listen(128).expect("a queue");
        self.socket.into()
    }
}

/// Waits until the close of a connection at `from` has reached the other side, at `to`, which takes its time on a busy
/// machine.
pub fn wait_for_close(from: SocketAddr, to: SocketAddr) {
    wait_for("a connection's end", || !system::is_established(to, from));
}

/// A listener whose accept queue is full: connections to it are not established until `accept` has made room.
pub fn full_listener() -> (TcpListener, TcpStream) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any.into()).expect("a port");
    socket.listen(0).expect("a queue");
    let listener = TcpListener::from(socket);
    let filler = fill_accept_queue(&listener);
    (listener, filler)
}

/// Fills the accept queue with its one connection. It may be established at this end before it is in the queue.
pub fn fill_accept_queue(listener: &TcpListener) -> TcpStream {
    let address = listener.local_addr().expect("an address");
    let filler = TcpStream::connect(address).expect("the queue is empty");
    wait_for("a full queue", || system::accept_queue(address) == 1);
    filler
}

/// Accepts the connection that fills the queue, then the next one, which can be established by that.
pub fn accept_connecting(listener: &TcpListener, filler: &TcpStream) -> TcpStream {
    let (_, from) = listener.accept().expect("the filler");
    assert_eq!(from, filler.local_addr().expect("its own"), "the queue held nothing else");
    listener.accept().expect("the proxy's").0
}
