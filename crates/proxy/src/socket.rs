//! Operations on sockets by shared reference, for sockets that several parts of the proxy use at once.

use std::cell::RefCell;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::BufMut;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

// Error numbers of Linux.
const ENOMEM: i32 = 12;
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const EADDRINUSE: i32 = 98;
const EADDRNOTAVAIL: i32 = 99;
const ENOBUFS: i32 = 105;

/// Errors of opening a connection whose cause is a lack of file descriptors, memory or ports on this machine.
const LOCAL_ERRORS: [i32; 6] = [EMFILE, ENFILE, ENOBUFS, ENOMEM, EADDRINUSE, EADDRNOTAVAIL];

/// Most bytes that are gathered from several slices for one write.
const MAX_GATHERED_BYTES: usize = 16 << 10;
/// Most bytes that are read and discarded at once.
const MAX_DISCARDED_BYTES: usize = 16 << 10;

thread_local! {
    /// The buffer in which the slices of one write are gathered, shared by all sockets of a thread.
    static GATHERED: RefCell<Vec<u8>> = const { RefCell::new(Vec::new()) };
}

/// The state of a socket's receive buffer.
#[derive(PartialEq)]
pub enum PeekResult {
    /// There is nothing to read yet.
    Nothing,
    /// There are unread bytes.
    Bytes,
    /// The stream has ended, or the connection has failed.
    End,
}

/// Peeks at a socket with a system call, as the runtime may not have been notified yet of a change that the operating
/// system knows. A temporary lack of memory in the operating system is reported as `Nothing`, as it says nothing about
/// the connection.
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

/// Waits until a socket has unread bytes, its stream has ended or the connection has failed. The runtime's readiness
/// alone does not show it: a new socket counts as readable until a read finds nothing.
pub async fn wait_for_input(stream: &TcpStream) {
    while stream.peek(&mut [0]).await.is_err_and(|error| is_transient(&error)) {}
}

/// The size in bytes of a socket's receive buffer, which bounds the bytes that have arrived and are unread.
pub fn receive_buffer_size(stream: &TcpStream) -> u64 {
    socket2::SockRef::from(stream).recv_buffer_size().map_or(0, |size| size as u64)
}

/// The size in bytes of a socket's send buffer, which bounds the bytes that have been written and not yet been taken by
/// the other side; 0 if it is not known.
pub fn send_buffer_size(stream: &TcpStream) -> u64 {
    socket2::SockRef::from(stream).send_buffer_size().map_or(0, |size| size as u64)
}

/// Whether the other side has closed the connection or it has failed. Returns false while there are unread bytes before
/// the end of the stream.
pub fn has_ended(stream: &TcpStream) -> bool {
    peek(stream) == PeekResult::End
}

/// Polls a read of at most `max_read` bytes from a socket by shared reference; retries interrupted calls.
pub fn poll_read(
    stream: &TcpStream, cx: &mut Context, buf: &mut ReadBuf, max_read: usize,
) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(cx))?;
        match stream.try_read_buf(&mut BufMut::limit(&mut *buf, max_read)) {
            Ok(_) => return Poll::Ready(Ok(())),
            Err(error) if is_transient(&error) => {}
            Err(error) => return Poll::Ready(Err(error)),
        }
    }
}

/// Polls a write to a socket by shared reference; retries interrupted calls.
pub fn poll_write(stream: &TcpStream, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(cx))?;
        match stream.try_write(bytes) {
            Err(error) if is_transient(&error) => {}
            result => return Poll::Ready(result),
        }
    }
}

/// Polls a write of several slices to a socket by shared reference. The slices are gathered in a buffer of the thread, as
/// far as it has room, so that a head and a short body leave in one segment; a long slice is written on its own.
pub fn poll_write_vectored(
    stream: &TcpStream, cx: &mut Context, slices: &[IoSlice],
) -> Poll<io::Result<usize>> {
    let mut slices = slices.iter().map(|slice| &**slice).filter(|slice| !slice.is_empty()).peekable();
    let Some(first) = slices.next() else { return Poll::Ready(Ok(0)) };
    if slices.peek().is_none() || first.len() >= MAX_GATHERED_BYTES {
        return poll_write(stream, cx, first);
    }
    GATHERED.with_borrow_mut(|gathered| {
        gathered.clear();
        gathered.extend_from_slice(first);
        for slice in slices {
            let room = MAX_GATHERED_BYTES - gathered.len();
            gathered.extend_from_slice(&slice[..slice.len().min(room)]);
        }
        poll_write(stream, cx, gathered)
    })
}

/// The parts of `slices` that the first `written` bytes fill, in order.
pub fn written_parts<'a>(slices: &'a [IoSlice], written: usize) -> impl Iterator<Item = &'a [u8]> {
    let mut rest = written;
    slices.iter().map_while(move |slice| {
        let part = &slice[..slice.len().min(rest)];
        rest -= part.len();
        (!part.is_empty() || slice.is_empty()).then_some(part)
    })
}

/// Whether the failed call only has to be repeated, once the socket is ready if it would have blocked.
pub fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// Whether a connection could not be opened because this machine lacks a file descriptor, memory or a port. Such an
/// error says nothing about the other side.
pub fn is_local_error(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|number| LOCAL_ERRORS.contains(&number))
}

/// Whether a connection could not be opened because this machine currently has no route to the other side.
pub fn is_no_route(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::NetworkUnreachable
}

/// A connection that retries interrupted calls; `TcpStream` returns them as errors.
pub struct Uninterrupted(pub TcpStream);

impl AsyncRead for Uninterrupted {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        poll_read(&self.0, cx, buf, usize::MAX)
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

/// Reads and discards bytes that have arrived, up to a limit; returns their number, which is 0 at the end of the stream.
/// The buffer is no part of a task, so that a connection that is only being closed holds none.
pub fn discard_input(stream: &TcpStream) -> io::Result<usize> {
    stream.try_read(&mut [0; MAX_DISCARDED_BYTES])
}

/// Closes the sending side of a connection; it can still receive.
pub fn half_close(stream: &TcpStream) -> io::Result<()> {
    socket2::SockRef::from(stream).shutdown(std::net::Shutdown::Write)
}
