//! The answer to a client, from the exchange that makes it to the connection that writes it.
//!
//! An exchange is one future. Until it has an answer's head it is driven by the service of the client's
//! connection; from then on by the answer's body. When the client leaves, the connection drops whichever of them
//! holds the exchange, and with it all that was done for the request.

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

/// An answer could not be completed: the client's connection is to be broken, so that it can't look whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the answer cannot be completed"))]
pub struct BrokenOff;

/// The future of one exchange.
pub type ExchangeFuture = Pin<Box<dyn Future<Output = Result<(), BrokenOff>>>>;

#[derive(Default)]
struct Slot {
    head: Option<Parts>,
    piece: Option<Bytes>,
}

/// Where an exchange puts its answer.
#[derive(Clone, Default)]
pub struct AnswerWriter(Rc<RefCell<Slot>>);

impl AnswerWriter {
    /// Begins the answer.
    pub fn begin(&self, head: Parts) {
        self.0.borrow_mut().head = Some(head);
    }

    /// Passes a piece of the body on, and waits until it has been taken.
    pub async fn pass(&self, piece: Bytes) {
        if piece.is_empty() {
            return;
        }
        self.0.borrow_mut().piece = Some(piece);
        // Whoever polls the exchange takes the piece before it polls again: no waker is needed.
        poll_fn(|_| if self.0.borrow().piece.is_none() { Poll::Ready(()) } else { Poll::Pending }).await;
    }

    /// Passes the last piece of the body on; the exchange is to end after this.
    pub fn finish(&self, piece: Bytes) {
        if !piece.is_empty() {
            self.0.borrow_mut().piece = Some(piece);
        }
    }
}

/// The body of an answer.
pub enum AnswerBody {
    /// All of it is there, or has been taken.
    Whole(Option<Bytes>),
    /// Its exchange goes on.
    Live {
        /// Makes the rest.
        exchange: ExchangeFuture,
        /// Where it puts it.
        writer: AnswerWriter,
    },
}

/// Drives an exchange until its answer has a head.
pub async fn answer(
    writer: AnswerWriter,
    mut exchange: ExchangeFuture,
) -> Result<Response<AnswerBody>, BrokenOff> {
    let (head, is_over) = poll_fn(|context| {
        let polled = exchange.as_mut().poll(context);
        let head = writer.0.borrow_mut().head.take();
        match (polled, head) {
            (Poll::Ready(Ok(())), Some(head)) => Poll::Ready(Ok((head, true))),
            (Poll::Ready(_), _) => Poll::Ready(Err(BrokenOff)),
            (Poll::Pending, Some(head)) => Poll::Ready(Ok((head, false))),
            (Poll::Pending, None) => Poll::Pending,
        }
    })
    .await?;
    let body = if is_over {
        AnswerBody::Whole(writer.0.borrow_mut().piece.take())
    } else {
        AnswerBody::Live { exchange, writer }
    };
    Ok(Response::from_parts(head, body))
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        let (exchange, writer) = match &mut *self {
            AnswerBody::Whole(bytes) => return Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            AnswerBody::Live { exchange, writer } => (exchange, writer),
        };
        if let Some(piece) = writer.0.borrow_mut().piece.take() {
            return Poll::Ready(Some(Ok(Frame::data(piece))));
        }
        let polled = exchange.as_mut().poll(context);
        let piece = writer.0.borrow_mut().piece.take();
        match (polled, piece) {
            (Poll::Ready(Ok(())), piece) => {
                *self = AnswerBody::Whole(None);
                Poll::Ready(piece.map(|piece| Ok(Frame::data(piece))))
            }
            (Poll::Ready(Err(error)), _) => {
                *self = AnswerBody::Whole(None);
                Poll::Ready(Some(Err(error)))
            }
            (Poll::Pending, Some(piece)) => Poll::Ready(Some(Ok(Frame::data(piece)))),
            (Poll::Pending, None) => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            AnswerBody::Live { .. } => SizeHint::default(),
        }
    }
}
