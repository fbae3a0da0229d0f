//! Passes the response from the exchange that produces it to the client connection that writes it.
//!
//! An exchange is a single future. It is polled by the connection's service until the response has a head,
//! and by the response body after that. When the client disconnects, hyper drops the one that holds the
//! exchange, and thereby everything that is in flight for the request.

use std::cell::RefCell;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::http::response::Parts;
use hyper::Response;
use snafu::Snafu;

/// The response cannot be completed. The client connection is closed, so that the response does not look
/// complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("response cannot be completed"))]
pub struct ResponseAborted;

/// A running exchange. Its error means that the client connection must be closed.
pub type ExchangeFuture = Pin<Box<dyn Future<Output = Result<(), ResponseAborted>>>>;

/// The parts of the response that the client connection has not taken yet.
#[derive(Default)]
struct Slot {
    head: Option<Parts>,
    chunk: Option<Bytes>,
}

/// Used by the exchange to write the response.
#[derive(Clone, Default)]
pub struct ResponseWriter(Rc<RefCell<Slot>>);

impl ResponseWriter {
    /// Begins the response with its head.
    pub fn begin(&self, head: Parts) {
        self.0.borrow_mut().head = Some(head);
    }

    /// Writes a chunk of the body and waits until the client connection has taken it.
    pub async fn write(&self, chunk: Bytes) {
        if chunk.is_empty() {
            return;
        }
        self.0.borrow_mut().chunk = Some(chunk);
        // No waker is needed: whatever polls the exchange takes the chunk before it polls again.
        poll_fn(|_| if self.0.borrow().chunk.is_none() { Poll::Ready(()) } else { Poll::Pending }).await;
    }

    /// Writes the last chunk of the body, which may be empty. The exchange must end after this.
    pub fn finish(&self, chunk: Bytes) {
        if !chunk.is_empty() {
            self.0.borrow_mut().chunk = Some(chunk);
        }
    }
}

/// The body of a response to a client, which polls the exchange that produces it.
pub enum ResponseBody {
    /// The exchange has ended. Holds the rest of the body, until that has been taken.
    Complete(Option<Bytes>),
    /// The exchange is still running and writes the rest of the body to `writer`.
    Streaming { exchange: ExchangeFuture, writer: ResponseWriter },
}

/// Polls an exchange until its response has a head.
///
/// # Errors
///
/// If the exchange fails or ends without a response.
pub async fn drive_to_head(
    writer: ResponseWriter,
    mut exchange: ExchangeFuture,
) -> Result<Response<ResponseBody>, ResponseAborted> {
    let (head, is_finished) = poll_fn(|context| {
        let polled = exchange.as_mut().poll(context);
        let head = writer.0.borrow_mut().head.take();
        match (polled, head) {
            (Poll::Ready(Ok(())), Some(head)) => Poll::Ready(Ok((head, true))),
            (Poll::Ready(_), _) => Poll::Ready(Err(ResponseAborted)),
            (Poll::Pending, Some(head)) => Poll::Ready(Ok((head, false))),
            (Poll::Pending, None) => Poll::Pending,
        }
    })
    .await?;
    let body = if is_finished {
        ResponseBody::Complete(writer.0.borrow_mut().chunk.take())
    } else {
        ResponseBody::Streaming { exchange, writer }
    };
    Ok(Response::from_parts(head, body))
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        let (exchange, writer) = match &mut *self {
            ResponseBody::Complete(bytes) => {
                return Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            ResponseBody::Streaming { exchange, writer } => (exchange, writer),
        };
        if let Some(chunk) = writer.0.borrow_mut().chunk.take() {
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        let polled = exchange.as_mut().poll(context);
        let chunk = writer.0.borrow_mut().chunk.take();
        match (polled, chunk) {
            (Poll::Ready(Ok(())), chunk) => {
                *self = ResponseBody::Complete(None);
                Poll::Ready(chunk.map(|chunk| Ok(Frame::data(chunk))))
            }
            (Poll::Ready(Err(error)), _) => {
                *self = ResponseBody::Complete(None);
                Poll::Ready(Some(Err(error)))
            }
            (Poll::Pending, Some(chunk)) => Poll::Ready(Some(Ok(Frame::data(chunk)))),
            (Poll::Pending, None) => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Complete(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            ResponseBody::Streaming { .. } => SizeHint::default(),
        }
    }
}
