//! A connection that tells an observer when bytes are read from it and written to it.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Who is told.
pub trait Observer {
    /// Bytes have been read, or the end of them.
    fn has_read(&self) {}
    /// Bytes have been written: more than none.
    fn has_written(&self) {}
}

/// A connection and its observer.
pub struct WatchedIo<O> {
    io: TokioIo<TcpStream>,
    observer: Rc<O>,
}

impl<O: Observer> WatchedIo<O> {
    /// Watches a connection.
    pub fn new(stream: TcpStream, observer: Rc<O>) -> Self {
        WatchedIo { io: TokioIo::new(stream), observer }
    }

    fn note_write(&self, result: &Poll<io::Result<usize>>) {
        if matches!(result, Poll::Ready(Ok(1..))) {
            self.observer.has_written();
        }
    }
}

impl<O: Observer> Read for WatchedIo<O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.io).poll_read(context, buffer);
        if result.is_ready() {
            self.observer.has_read();
        }
        result
    }
}

impl<O: Observer> Write for WatchedIo<O> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.io).poll_write(context, bytes);
        self.note_write(&result);
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
        self.note_write(&result);
        result
    }
}
