//! A connection whose every write is asked for as the last thing before the bytes go to the system.

use std::cell::Cell;
use std::io::{Error, ErrorKind};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connection that writes only while it may. Between the question and the system's call nothing else runs, so that
/// a process that was frozen for long finds the answer of now, whatever it had been about to write.
pub struct GatedStream<Permit> {
    stream: TcpStream,
    may_write: Permit,
    written: Rc<Cell<bool>>,
}

impl<Permit: Fn() -> bool> GatedStream<Permit> {
    /// A connection that asks `may_write` before each write; and what tells whether any byte was written.
    pub fn new(stream: TcpStream, may_write: Permit) -> (Self, Rc<Cell<bool>>) {
        let written = Rc::new(Cell::new(false));
        (GatedStream { stream, may_write, written: Rc::clone(&written) }, written)
    }
}

impl<Permit: Unpin> AsyncRead for GatedStream<Permit> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<Permit: Fn() -> bool + Unpin> AsyncWrite for GatedStream<Permit> {
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
            self.written.set(true);
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
