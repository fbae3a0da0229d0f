//! Hands the response over from the exchange that makes it to the client's connection that writes it.
//!
//! An exchange is one future. Until the response has a head it is driven by the service of the client's connection,
//! from then on by the response's body. When the client disconnects, the connection drops whichever of them holds the
//! exchange, and with it everything that was in flight for the request.

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

/// The response could not be completed: the client's connection is closed, so that it cannot look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the response cannot be completed"))]
pub struct ResponseAborted;

/// The future of one exchange.
pub type ExchangeFuture = Pin<Box<dyn Future<Output = Result<(), ResponseAborted>>>>;

#[derive(Default)]
struct Slot {
    head: Option<Parts>,
    chunk: Option<Bytes>,
}

/// The exchange's end, which puts the response in.
#[derive(Clone, Default)]
pub struct ResponseWriter(Rc<RefCell<Slot>>);

impl ResponseWriter {
    /// Begins the response.
    pub fn begin(&self, head: Parts) {
        self.0.borrow_mut().head = Some(head);
    }

    /// Writes a chunk of the body, and waits until it has been taken.
    pub async fn write(&self, chunk: Bytes) {
        if chunk.is_empty() {
            return;
        }
        self.0.borrow_mut().chunk = Some(chunk);
        // Whoever polls the exchange takes the chunk before polling again: no waker is needed.
        poll_fn(|_| if self.0.borrow().chunk.is_none() { Poll::Ready(()) } else { Poll::Pending }).await;
    }

    /// Writes the last chunk of the body, after which the exchange must end.
    pub fn finish(&self, chunk: Bytes) {
        if !chunk.is_empty() {
            self.0.borrow_mut().chunk = Some(chunk);
        }
    }
}

/// The body of a response.
pub enum ResponseBody {
    /// The rest of it is there, or has been taken.
    Complete(Option<Bytes>),
    /// The exchange is still running.
    Streaming {
        /// The future that makes the rest.
        exchange: ExchangeFuture,
        /// Where the future puts it.
        writer: ResponseWriter,
    },
}

/// Drives an exchange until its response has a head.
///
/// # Errors
///
/// If the exchange ends without a response.
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
