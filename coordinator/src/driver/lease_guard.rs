//! A connection that checks before each write whether writing is still permitted.
//!
//! An order may only be written while the lease is valid. It is not enough to check the lease before the connection
//! is established or before the request is encoded, because the process may be suspended in between until the lease
//! has expired.

use std::cell::Cell;
use std::io::{Error, ErrorKind};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connection whose writes fail if `may_write` returns false. The check comes directly before the system call, so a
/// process that resumes after a suspension checks the lease again before it writes.
pub struct LeaseGuardedStream<MayWrite> {
    stream: TcpStream,
    may_write: MayWrite,
    has_written: Rc<Cell<bool>>,
}

impl<MayWrite: Fn() -> bool> LeaseGuardedStream<MayWrite> {
    /// Wraps a connection. Also returns a flag that is set once any byte has been written.
    pub fn new(stream: TcpStream, may_write: MayWrite) -> (Self, Rc<Cell<bool>>) {
        let has_written = Rc::new(Cell::new(false));
        (LeaseGuardedStream { stream, may_write, has_written: Rc::clone(&has_written) }, has_written)
    }
}

impl<MayWrite: Unpin> AsyncRead for LeaseGuardedStream<MayWrite> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<MayWrite: Fn() -> bool + Unpin> AsyncWrite for LeaseGuardedStream<MayWrite> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        if !(self.may_write)() {
            return Poll::Ready(Err(Error::from(ErrorKind::PermissionDenied)));
        }
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        if matches!(result, Poll::Ready(Ok(1..))) {
            self.has_written.set(true);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
