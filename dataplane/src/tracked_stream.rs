//! A TCP stream for hyper that notifies an observer of reads and writes.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::shared_stream::SharedStream;

/// Is notified of the reads and writes on a [`TrackedStream`]. The default methods do nothing.
pub trait IoObserver {
    /// Called after each read that returned bytes, the end of the stream or an error.
    fn on_read(&self) {}
    /// Called after each write of at least one byte.
    fn on_write(&self) {}
}

/// A stream that hyper reads and writes, with the observer that it notifies.
pub struct TrackedStream<O> {
    io: TokioIo<SharedStream>,
    observer: Rc<O>,
}

impl<O: IoObserver> TrackedStream<O> {
    /// Wraps a stream that other code may share; `observer` is notified from now on.
    pub fn new(stream: Rc<TcpStream>, observer: Rc<O>) -> Self {
        TrackedStream { io: TokioIo::new(SharedStream::new(stream)), observer }
    }

    fn notify_write(&self, result: &Poll<io::Result<usize>>) {
        if matches!(result, Poll::Ready(Ok(1..))) {
            self.observer.on_write();
        }
    }
}

impl<O: IoObserver> Read for TrackedStream<O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.io).poll_read(context, buffer);
        if result.is_ready() {
            self.observer.on_read();
        }
        result
    }
}

impl<O: IoObserver> Write for TrackedStream<O> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.io).poll_write(context, bytes);
        self.notify_write(&result);
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.io).poll_write_vectored(context, buffers);
        self.notify_write(&result);
        result
    }
}
