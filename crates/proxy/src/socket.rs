//! Operations on sockets that several parts of the proxy hold at once.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

// Linux error numbers.
const ENOMEM: i32 = 12;
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const EADDRINUSE: i32 = 98;
const EADDRNOTAVAIL: i32 = 99;
const ENOBUFS: i32 = 105;

/// Errors of opening a connection that say that this machine lacks a descriptor, memory or a port.
const LOCAL_ERRORS: [i32; 6] = [EMFILE, ENFILE, ENOBUFS, ENOMEM, EADDRINUSE, EADDRNOTAVAIL];

/// What can be read from a socket next.
#[derive(PartialEq)]
pub enum PeekResult {
    /// Nothing yet.
    Nothing,
    /// Unread bytes.
    Bytes,
    /// The end of the stream, or an error.
    End,
}

/// Peeks at a socket. The system itself is asked, which may know more than the runtime has been notified of. If the
/// system lacks memory for a moment, that says nothing of the connection.
pub fn peek(stream: &TcpStream) -> PeekResult {
    loop {
        match socket2::SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
            Ok(0) => return PeekResult::End,
            Ok(_) => return PeekResult::Bytes,
            Err(error) => match error.kind() {
                io::ErrorKind::Interrupted => {}
                io::ErrorKind::WouldBlock | io::ErrorKind::OutOfMemory => return PeekResult::Nothing,
                _ => return PeekResult::End,
            },
        }
    }
}

/// Whether the other side has ended the connection, if no unread bytes precede the end.
pub fn has_ended(stream: &TcpStream) -> bool {
    peek(stream) == PeekResult::End
}

/// Reads through a shared reference.
pub fn poll_read(stream: &TcpStream, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(cx))?;
        match stream.try_read(buf.initialize_unfilled()) {
            Ok(read) => {
                buf.advance(read);
                return Poll::Ready(Ok(()));
            }
            Err(error) if is_transient(&error) => {}
            Err(error) => return Poll::Ready(Err(error)),
        }
    }
}

/// Writes through a shared reference.
pub fn poll_write(stream: &TcpStream, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(cx))?;
        match stream.try_write(bytes) {
            Err(error) if is_transient(&error) => {}
            result => return Poll::Ready(result),
        }
    }
}

/// Whether an error only says that the call is to be made again, once the socket is ready.
pub fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// Whether a connection could not be opened because this machine lacks something: a descriptor, memory or a port. Such
/// an error says nothing of the other side.
pub fn is_local_error(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|number| LOCAL_ERRORS.contains(&number))
}

/// Whether this machine has no route to the other side at present.
pub fn is_no_route(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::NetworkUnreachable
}

/// A connection that retries interrupted calls; the runtime's own passes them on as errors.
pub struct Uninterrupted(pub TcpStream);

impl AsyncRead for Uninterrupted {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        poll_read(&self.0, cx, buf)
    }
}

impl AsyncWrite for Uninterrupted {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        poll_write(&self.0, cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(half_close(&self.0))
    }
}

/// Closes the sending side of a connection.
pub fn half_close(stream: &TcpStream) -> io::Result<()> {
    socket2::SockRef::from(stream).shutdown(std::net::Shutdown::Write)
}
