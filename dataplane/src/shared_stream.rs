//! A TCP stream that hyper reads and writes while other code observes its state and sets its options.

use std::future::Future;
use std::io;
use std::net::Shutdown;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// The handle through which hyper reads and writes the stream.
pub struct SharedStream(Rc<TcpStream>);

impl SharedStream {
    /// Wraps a stream whose other owners may observe it and set its options.
    pub fn new(stream: Rc<TcpStream>) -> Self {
        SharedStream(stream)
    }
}

/// Whether the peer has closed the connection or its sending half, even if earlier bytes have not been read
/// yet.
pub fn is_read_closed(stream: &TcpStream) -> bool {
    let ready = pin!(stream.ready(Interest::READABLE));
    let polled = ready.poll(&mut Context::from_waker(Waker::noop()));
    matches!(polled, Poll::Ready(Ok(ready)) if ready.is_read_closed())
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(context))?;
            match self.0.try_read_buf(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result.map(drop)),
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(context))?;
            match self.0.try_write(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(context))?;
            match self.0.try_write_vectored(buffers) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }
}
