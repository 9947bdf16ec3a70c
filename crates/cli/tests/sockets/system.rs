//! The operating system's view of a TCP socket over IPv4, queried by its addresses through Linux's `sock_diag`
//! interface. The table of all sockets (`/proc/net/tcp`) would take seconds to read if many connections have ended
//! recently.
use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr};

// Constants of the netlink interface, under their names in the Linux headers.
const AF_NETLINK: i32 = 16;
const NETLINK_SOCK_DIAG: i32 = 4;
const SOCK_DIAG_BY_FAMILY: u16 = 20;
const NLM_F_REQUEST: u16 = 1;
const AF_INET: u8 = 2;
const IPPROTO_TCP: u8 = 6;
/// The socket cookie in a request that matches any socket.
const ANY_COOKIE: [u8; 8] = [0xff; 8];
/// The length of a netlink header, in bytes.
const HEADER_LENGTH: usize = 16;
/// The length of a request with its header, in bytes.
const REQUEST_LENGTH: u32 = HEADER_LENGTH as u32 + 56;
/// The offset of the connection state in a response.
const STATE_OFFSET: usize = HEADER_LENGTH + 1;
/// The offset of the receive queue's length in a response.
const RECEIVE_QUEUE_OFFSET: usize = HEADER_LENGTH + 56;

// States of a TCP socket, as Linux numbers them.
const TCP_ESTABLISHED: u8 = 1;
const TCP_LISTEN: u8 = 10;

/// The state of a TCP socket and the length of its receive queue: unread bytes, or for a listener connections to
/// accept.
struct TcpSocket {
    state: u8,
    receive_queue: u32,
}

/// Queries the socket at `local` that is connected to `remote`, or the listener at `local` if `remote` is `None`.
fn query_socket(local: SocketAddr, remote: Option<SocketAddr>) -> Option<TcpSocket> {
    let mut request = Vec::new();
    request.extend(REQUEST_LENGTH.to_ne_bytes());
    [SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST].iter().for_each(|field| request.extend(field.to_ne_bytes()));
    request.extend([0; 8]); // sequence number and sender port ID
    request.extend([AF_INET, IPPROTO_TCP, 0, 0]);
    request.extend(u32::MAX.to_ne_bytes()); // all states
    request.extend(local.port().to_be_bytes());
    request.extend(remote.map_or(0, |remote| remote.port()).to_be_bytes());
    request.extend(address_field(Some(local)));
    request.extend(address_field(remote));
    request.extend([0; 4]); // any interface
    request.extend(ANY_COOKIE);
    let socket =
        socket2::Socket::new(AF_NETLINK.into(), socket2::Type::DGRAM, Some(NETLINK_SOCK_DIAG.into()));
    let mut socket = socket.expect("a netlink socket");
    socket.write_all(&request).expect("a request");
    let mut response = [0; 4096];
    let size = socket.read(&mut response).expect("a response");
    let is_found = u16::from_ne_bytes([response[4], response[5]]) == SOCK_DIAG_BY_FAMILY
        && size > RECEIVE_QUEUE_OFFSET + 4;
    let field = |offset: usize| {
        u32::from_ne_bytes([
            response[offset],
            response[offset + 1],
            response[offset + 2],
            response[offset + 3],
        ])
    };
    is_found.then(|| TcpSocket { state: response[STATE_OFFSET], receive_queue: field(RECEIVE_QUEUE_OFFSET) })
}

/// An IPv4 address as a 16-byte address field of a request; zeros for none, which matches any address.
fn address_field(address: Option<SocketAddr>) -> [u8; 16] {
    let mut field = [0; 16];
    if let Some(IpAddr::V4(ip)) = address.map(|address| address.ip()) {
        field[..4].copy_from_slice(&ip.octets());
    }
    field
}

/// Whether the connection between `local` and `remote` is established at `local`, which has received neither FIN nor
/// RST.
pub fn is_established(local: SocketAddr, remote: SocketAddr) -> bool {
    query_socket(local, Some(remote)).is_some_and(|socket| socket.state == TCP_ESTABLISHED)
}

/// The number of connections in a listener's accept queue.
pub fn accept_queue(listener: SocketAddr) -> u32 {
    let socket = query_socket(listener, None).filter(|socket| socket.state == TCP_LISTEN);
    socket.expect("it listens").receive_queue
}
