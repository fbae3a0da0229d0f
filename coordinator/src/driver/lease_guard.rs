//! A connection that checks before each write whether it may still write.
//!
//! An order may be written only under a valid lease. A check before the connection is established, or before the request
//! is encoded, would not do: the process may be suspended in between for longer than the lease lasts.

use std::cell::Cell;
use std::io::{Error, ErrorKind};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connection whose writes fail once `may_write` denies them. Nothing runs between that check and the system call, so
/// that a process that resumes after a suspension checks the lease as it is then, whatever it was about to write.
pub struct LeaseGuardedStream<Permit> {
    stream: TcpStream,
    may_write: Permit,
    has_written: Rc<Cell<bool>>,
}

impl<Permit: Fn() -> bool> LeaseGuardedStream<Permit> {
    /// Guards a connection; also returns the flag that says whether any byte has been written.
    pub fn new(stream: TcpStream, may_write: Permit) -> (Self, Rc<Cell<bool>>) {
        let has_written = Rc::new(Cell::new(false));
        (LeaseGuardedStream { stream, may_write, has_written: Rc::clone(&has_written) }, has_written)
    }
}

impl<Permit: Unpin> AsyncRead for LeaseGuardedStream<Permit> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<Permit: Fn() -> bool + Unpin> AsyncWrite for LeaseGuardedStream<Permit> {
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
