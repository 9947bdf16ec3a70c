//! Addresses that refuse connections, and listeners whose accept queue is full.

use std::net::{SocketAddr, TcpListener, TcpStream};

use super::{system, wait_for};

/// An address that refuses connections until it is opened. Its port stays bound meanwhile, so that no other process
/// gets it.
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

    /// Listens on the address, which accepts connections from then on.
    pub fn open(self) -> TcpListener {
        self.socket.listen(128).expect("it can listen");
        self.socket.into()
    }
}

/// Waits until the end at `receiver` of a connection has received the close by the end at `closer`. On a busy machine
/// this takes a while.
pub fn wait_for_close(closer: SocketAddr, receiver: SocketAddr) {
    wait_for("the end of a connection", || !system::is_established(receiver, closer));
}

/// A listener whose accept queue is full, and the connection that fills it. Further connections are not established
/// until `accept` has made room.
pub fn full_listener() -> (TcpListener, TcpStream) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any.into()).expect("a port");
    socket.listen(0).expect("it can listen");
    let listener = TcpListener::from(socket);
    let filler = fill_accept_queue(&listener);
    (listener, filler)
}

/// Fills an accept queue that has room for one connection, and waits until the connection is in it: it may be
/// established at the client's end before that.
pub fn fill_accept_queue(listener: &TcpListener) -> TcpStream {
    let address = listener.local_addr().expect("an address");
    let filler = TcpStream::connect(address).expect("the accept queue is empty");
    wait_for("the accept queue to be full", || system::accept_queue(address) == 1);
    filler
}

/// Accepts the connection that fills the queue, which makes room for the next one, and accepts that as well.
pub fn accept_connecting(listener: &TcpListener, filler: &TcpStream) -> TcpStream {
    let (_, remote) = listener.accept().expect("the connection that fills the queue");
    assert_eq!(remote, filler.local_addr().expect("an address"), "the queue contained only the filler");
    listener.accept().expect("the proxy's connection").0
}
