//! Gossip between proxies, in short UDP datagrams that may be lost or reordered.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tracing::{error, info};

use crate::config::PeerAddresses;
use crate::inbox::{Inbox, Input};

/// Maximum size of a gossip message, in bytes.
const MAX_MESSAGE_SIZE: usize = 256;
/// The space that a queued datagram takes in a socket's buffer, in bytes, including the operating system's bookkeeping.
const BUFFER_PER_DATAGRAM: usize = 1280;
/// Delay after a failed receive. Without it, the receive would be repeated at once.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The socket for gossip with the other proxies.
pub struct GossipSocket {
    socket: UdpSocket,
    addresses: PeerAddresses,
}

impl GossipSocket {
    /// Binds the socket. If the address is shared with an overlapping process of this proxy, the process that has bound
    /// it last receives the datagrams.
    pub fn bind(addresses: PeerAddresses, is_shared: bool) -> io::Result<Rc<Self>> {
        let domain = socket2::Domain::for_address(addresses.listen);
        let socket = socket2::Socket::new(domain, socket2::Type::DGRAM, None)?;
        socket.set_reuse_address(is_shared)?;
        socket.set_nonblocking(true)?;
        enlarge_buffers(&socket, addresses.peers.len())?;
        socket.bind(&addresses.listen.into())?;
        Ok(Rc::new(GossipSocket { socket: UdpSocket::from_std(socket.into())?, addresses }))
    }

    /// Sends a message to every other proxy. Datagrams that the socket can't accept at once are lost.
    pub fn broadcast(&self, message: &[u8]) {
        if message.len() > MAX_MESSAGE_SIZE {
            error!(bytes = message.len(), "gossip message not sent: too long");
            return;
        }
        match self.addresses.broadcast {
            Some(all) => self.send(message, all),
            None => {
                let own_address = self.addresses.listen;
                for peer in self.addresses.peers.iter().filter(|peer| **peer != own_address) {
                    self.send(message, *peer);
                }
            }
        }
    }

    fn send(&self, message: &[u8], target: SocketAddr) {
        if let Err(error) = self.socket.try_send_to(message, target) {
            info!(%target, %error, "gossip message not sent");
        }
    }

    /// Receives gossip messages and passes them on to the driver. Drops datagrams from unknown senders and those over
    /// the maximum size.
    pub async fn listen(self: Rc<Self>, inbox: Inbox) {
        let mut buffer = [0; MAX_MESSAGE_SIZE + 1];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((size, sender)) => self.receive(&buffer[..size], sender, &inbox),
                // The error may stem from an earlier send.
                Err(error) => {
                    info!(%error, "gossip receive failed");
                    tokio::time::sleep(RECEIVE_RETRY_DELAY).await;
                }
            }
        }
    }

    fn receive(&self, message: &[u8], sender: SocketAddr, inbox: &Inbox) {
        let peer = self.addresses.peers.iter().position(|peer| *peer == sender);
        match peer {
            Some(index) if message.len() <= MAX_MESSAGE_SIZE => {
                inbox.put(Input::Gossip { from: index as u32, bytes: message.to_vec() });
            }
            _ => {
                info!(from = %sender, size = message.len(), "gossip message dropped: unknown sender or too long")
            }
        }
    }
}

/// Enlarges the socket's buffers to hold one datagram per proxy, as far as the operating system allows: all proxies may
/// send while this one is busy, and a broadcast goes to all of them at once.
fn enlarge_buffers(socket: &socket2::Socket, proxy_count: usize) -> io::Result<()> {
    let size = proxy_count * BUFFER_PER_DATAGRAM;
    if socket.recv_buffer_size()? < size {
        socket.set_recv_buffer_size(size)?;
    }
    if socket.send_buffer_size()? < size {
        socket.set_send_buffer_size(size)?;
    }
    Ok(())
}
