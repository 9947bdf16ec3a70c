//! What the system says of one TCP connection over IPv4, asked for by its addresses through Linux's `sock_diag`. The
//! table of all of them (`/proc/net/tcp`) takes seconds to read where many have ended of late.
use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr};

/// Numbers of the interface: `AF_NETLINK`, `NETLINK_SOCK_DIAG`, `SOCK_DIAG_BY_FAMILY` and `NLM_F_REQUEST`.
const NETLINK: i32 = 16;
const SOCK_DIAG: i32 = 4;
const BY_FAMILY: u16 = 20;
const REQUEST: u16 = 1;
/// `AF_INET`, `IPPROTO_TCP`, and a cookie that stands for any socket.
const INET: u8 = 2;
const TCP: u8 = 6;
const ANY_COOKIE: [u8; 8] = [0xff; 8];
/// Bytes of a netlink header and of a request, and where a response has the state and the length of the receive queue.
const HEADER: usize = 16;
const LENGTH: u32 = HEADER as u32 + 56;
const STATE: usize = HEADER + 1;
const RECEIVE_QUEUE: usize = HEADER + 56;

/// States of a connection, as the system numbers them.
const ESTABLISHED: u8 = 1;
const LISTEN: u8 = 10;

struct TcpSocket {
    state: u8,
    receive_queue: u32,
}

/// The socket at `local` whose other end is at `remote`, or else the listener at `local`.
fn tcp_socket(local: SocketAddr, remote: Option<SocketAddr>) -> Option<TcpSocket> {
    let mut request = Vec::new();
    request.extend(LENGTH.to_ne_bytes());
    [BY_FAMILY, REQUEST].iter().for_each(|field| request.extend(field.to_ne_bytes()));
    request.extend([0; 8]); // sequence and sender
    request.extend([INET, TCP, 0, 0]);
    request.extend(u32::MAX.to_ne_bytes()); // in any state
    request.extend(local.port().to_be_bytes());
    request.extend(remote.map_or(0, |remote| remote.port()).to_be_bytes());
    request.extend(address_field(Some(local)));
    request.extend(address_field(remote));
    request.extend([0; 4]); // at any interface
    request.extend(ANY_COOKIE);
    let socket = socket2::Socket::new(NETLINK.into(), socket2::Type::DGRAM, Some(SOCK_DIAG.into()));
    let mut socket = socket.expect("a netlink socket");
    socket.write_all(&request).expect("a request");
    let mut answer = [0; 4096];
    let size = socket.read(&mut answer).expect("an answer");
    let is_found = u16::from_ne_bytes([answer[4], answer[5]]) == BY_FAMILY && size > RECEIVE_QUEUE + 4;
    let field = |at: usize| u32::from_ne_bytes([answer[at], answer[at + 1], answer[at + 2], answer[at + 3]]);
    is_found.then(|| TcpSocket { state: answer[STATE], receive_queue: field(RECEIVE_QUEUE) })
}

fn address_field(address: Option<SocketAddr>) -> [u8; 16] {
    let mut field = [0; 16];
    if let Some(IpAddr::V4(ip)) = address.map(|address| address.ip()) {
        field[..4].copy_from_slice(&ip.octets());
    }
    field
}

/// Whether the connection at `local` from `remote` is up and has heard of no end.
pub fn is_established(local: SocketAddr, remote: SocketAddr) -> bool {
    tcp_socket(local, Some(remote)).is_some_and(|socket| socket.state == ESTABLISHED)
}

/// How many connections wait for `accept` at a listener.
pub fn accept_queue(listener: SocketAddr) -> u32 {
    let socket = tcp_socket(listener, None).filter(|socket| socket.state == LISTEN);
    socket.expect("it listens").receive_queue
}
