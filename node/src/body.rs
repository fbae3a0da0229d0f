//! Request and response bodies. Short bodies are buffered whole, so that an attempt can be repeated; longer
//! ones are streamed no faster than the receiver accepts them.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

/// Longest body that is buffered whole.
const MAX_BUFFERED_BYTES: usize = 64 << 10;
const MAX_REQUEST_BODY_BYTES: u64 = 32 << 20;
/// Minimum average rate of a request body; the grace period is allowed on top of it. Clients send 64 kB/s in
/// pieces and measured by their own clocks, so the limit is a quarter below that.
const MIN_UPLOAD_BYTES_PER_S: f64 = 48_000.0;
/// A response of unknown length is buffered for this long after its head; if it is still incomplete, it is
/// streamed.
const RESPONSE_BUFFER_TIME: Duration = Duration::from_millis(50);

/// Why a body could not be read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    TooSlow,
    TooLong,
    Truncated,
}

impl std::fmt::Display for BodyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            BodyError::TooSlow => "body sent too slowly",
            BodyError::TooLong => "body exceeds the size limit",
            BodyError::Truncated => "body ended early",
        })
    }
}

impl std::error::Error for BodyError {}

// ---- Request bodies ----------------------------------------------------------------------------------------

/// Reads a client's body within a size limit and a minimum rate. Only time spent waiting for the client
/// counts against the rate.
struct RequestReader {
    body: Incoming,
    bytes_read: u64,
    time_waited: Duration,
    grace: Duration,
}

impl RequestReader {
    fn new(body: Incoming, grace: Duration) -> Self {
        RequestReader { body, bytes_read: 0, time_waited: Duration::ZERO, grace }
    }

    /// Returns the next data chunk, or `None` at the end of the body. Trailers are dropped.
    async fn next_chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            let time_allowed =
                self.grace + Duration::from_secs_f64(self.bytes_read as f64 / MIN_UPLOAD_BYTES_PER_S);
            let started = Instant::now();
            let Ok(frame) = timeout(time_allowed.saturating_sub(self.time_waited), self.body.frame()).await
            else {
                return Some(Err(BodyError::TooSlow));
            };
            self.time_waited += started.elapsed();
            match frame?.map(Frame::into_data) {
                Err(_) => return Some(Err(BodyError::Truncated)),
                Ok(Err(_)) => {}
                Ok(Ok(chunk)) => {
                    self.bytes_read += chunk.len() as u64;
                    return Some(if self.bytes_read <= MAX_REQUEST_BODY_BYTES {
                        Ok(chunk)
                    } else {
                        Err(BodyError::TooLong)
                    });
                }
            }
        }
    }

    /// Forwards the chunks one at a time. Once the receiver is gone, the rest of the body is read and
    /// dropped, because a client reads its answer only after it has sent the whole body or has stopped
    /// waiting.
    async fn forward(mut self, sender: mpsc::Sender<Result<Bytes, BodyError>>) {
        loop {
            let permit = sender.reserve().await;
            let Some(chunk) = self.next_chunk().await else { return };
            let failed = chunk.is_err();
            if let Ok(permit) = permit {
                permit.send(chunk);
            }
            if failed {
                return;
            }
        }
    }
}

/// A request body: whole in memory, or streamed if it is longer than `MAX_BUFFERED_BYTES`.
pub enum RequestBody {
    Buffered(Bytes),
    Streamed(Rc<StreamedBody>),
}

/// A body that is too long to be buffered: its first bytes, and a channel with the rest.
pub struct StreamedBody {
    prefix: Bytes,
    remaining: RefCell<mpsc::Receiver<Result<Bytes, BodyError>>>,
    /// Total length in bytes, if the client stated it.
    content_length: Option<u64>,
    grace: Duration,
    consumed: Cell<bool>,
    failed: Cell<bool>,
    answered: Cell<bool>,
    event_handler: RefCell<Option<EventHandler>>,
}

type EventHandler = Box<dyn Fn(BodyEvent)>;

/// Progress of a streamed body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEvent {
    /// Bytes that are not buffered have been sent, so the request can no longer be repeated.
    Consumed,
    /// The last byte has been received.
    Received,
}

impl RequestBody {
    /// Buffers a short body whole. Returns a longer one as a stream as soon as its length is known to exceed
    /// the limit.
    pub async fn read(body: Incoming, grace: Duration) -> Result<RequestBody, BodyError> {
        let content_length = body.size_hint().exact();
        if body.size_hint().lower() > MAX_REQUEST_BODY_BYTES {
            return Err(BodyError::TooLong);
        }
        let streamed =
            content_length.is_some_and(|content_length| content_length > MAX_BUFFERED_BYTES as u64);
        let (mut reader, mut chunks, mut total) = (RequestReader::new(body, grace), Chunks::default(), 0);
        while let Some(chunk) = reader.next_chunk().await {
            let chunk = chunk?;
            total += chunk.len();
            chunks.0.push_back(chunk);
            if total > MAX_BUFFERED_BYTES || streamed {
                let (sender, remaining) = mpsc::channel(1);
                spawn_local(reader.forward(sender));
                let streamed = StreamedBody {
                    prefix: chunks.concatenated(),
                    remaining: RefCell::new(remaining),
                    content_length,
                    grace,
                    consumed: Cell::default(),
                    failed: Cell::default(),
                    answered: Cell::default(),
                    event_handler: RefCell::default(),
                };
                return Ok(RequestBody::Streamed(Rc::new(streamed)));
            }
        }
        Ok(RequestBody::Buffered(chunks.concatenated()))
    }

    /// Returns the streamed body; `None` if the body is buffered whole.
    pub fn streamed(&self) -> Option<&Rc<StreamedBody>> {
        match self {
            RequestBody::Buffered(_) => None,
            RequestBody::Streamed(streamed) => Some(streamed),
        }
    }

    /// Returns whether the body can no longer be sent again.
    pub fn consumed(&self) -> bool {
        self.streamed().is_some_and(|streamed| streamed.consumed.get())
    }

    /// Returns whether the client broke the body off, sent it too slowly or sent too much.
    pub fn failed(&self) -> bool {
        self.streamed().is_some_and(|streamed| streamed.failed.get())
    }
}

impl StreamedBody {
    /// Longest time in which the rest of the body may arrive.
    pub fn max_remaining_time(&self) -> Duration {
        let remaining =
            self.content_length.unwrap_or(MAX_REQUEST_BODY_BYTES).saturating_sub(self.prefix.len() as u64);
        self.grace + Duration::from_secs_f64(remaining as f64 / MIN_UPLOAD_BYTES_PER_S)
    }

    /// Sets the receiver of the body's events. It replaces an earlier one.
    pub fn on_event(&self, handler: impl Fn(BodyEvent) + 'static) {
        self.event_handler.replace(Some(Box::new(handler)));
    }

    fn emit(&self, event: BodyEvent) {
        if let Some(handler) = &*self.event_handler.borrow() {
            handler(event);
        }
    }

    /// Stops the stream after the request has been answered: no more data is forwarded and no more events
    /// are emitted.
    pub fn close(&self) {
        self.answered.set(true);
        self.event_handler.replace(None);
        self.remaining.borrow_mut().close();
    }
}

/// A request body as sent to a server.
pub struct Upload {
    prefix: Option<Bytes>,
    stream: Option<Rc<StreamedBody>>,
    /// Bytes still to be sent, if the length is known.
    remaining_bytes: Option<u64>,
    /// Set once hyper has taken the last byte.
    body_taken: Rc<Cell<bool>>,
}

impl Upload {
    /// Starts an upload from the first byte. `body_taken` is set at once if the body is buffered whole.
    pub fn new(content: &RequestBody, body_taken: Rc<Cell<bool>>) -> Self {
        let (prefix, stream, remaining_bytes) = match content {
            RequestBody::Buffered(all) => (all.clone(), None, Some(all.len() as u64)),
            RequestBody::Streamed(streamed) => {
                (streamed.prefix.clone(), Some(Rc::clone(streamed)), streamed.content_length)
            }
        };
        body_taken.set(stream.is_none());
        Upload {
            prefix: Some(prefix).filter(|prefix| !prefix.is_empty()),
            stream,
            remaining_bytes,
            body_taken,
        }
    }

    fn record_chunk(&mut self, chunk: &Bytes) {
        self.remaining_bytes =
            self.remaining_bytes.map(|remaining_bytes| remaining_bytes.saturating_sub(chunk.len() as u64));
        if self.remaining_bytes == Some(0) {
            self.mark_body_taken();
        }
    }

    fn mark_body_taken(&mut self) {
        if let (false, Some(stream)) = (self.body_taken.replace(true), &self.stream) {
            stream.emit(BodyEvent::Received);
        }
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(prefix) = self.prefix.take() {
            self.record_chunk(&prefix);
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        let Some(streamed) = self.stream.clone().filter(|_| !self.is_end_stream()) else {
            return Poll::Ready(None);
        };
        let chunk = ready!(streamed.remaining.borrow_mut().poll_recv(cx));
        Poll::Ready(match chunk {
            Some(Ok(chunk)) => {
                if !streamed.consumed.replace(true) {
                    streamed.emit(BodyEvent::Consumed);
                }
                self.record_chunk(&chunk);
                Some(Ok(Frame::data(chunk)))
            }
            Some(Err(error)) => {
                streamed.failed.set(true);
                Some(Err(error))
            }
            // Without an error the server would take the truncated body for a complete one.
            None if streamed.answered.get() => Some(Err(BodyError::Truncated)),
            None => {
                self.mark_body_taken();
                None
            }
        })
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_none() && self.body_taken.get()
    }

    fn size_hint(&self) -> SizeHint {
        self.remaining_bytes.map_or_else(SizeHint::new, SizeHint::with_exact)
    }
}

// ---- Response bodies ---------------------------------------------------------------------------------------

#[derive(Default)]
struct Chunks(VecDeque<Bytes>);

impl Chunks {
    fn concatenated(mut self) -> Bytes {
        if self.0.len() < 2 {
            return self.0.pop_front().unwrap_or_default();
        }
        let mut concatenated = BytesMut::with_capacity(self.0.iter().map(Bytes::len).sum());
        self.0.iter().for_each(|chunk| concatenated.extend_from_slice(chunk));
        concatenated.freeze()
    }
}

/// A server's response body.
pub enum Download {
    Buffered(Bytes),
    /// The response is long or arrives slowly, and its first bytes have been read. The receiver yields
    /// `true` once all of it has been forwarded, `false` if the server broke it off, and an error if the
    /// client did not want the rest.
    Streamed(StreamedReply, oneshot::Receiver<bool>),
}

impl Download {
    /// Returns whether the body is long or of unknown length.
    pub fn may_be_long(body: &Incoming) -> bool {
        body.size_hint().exact().is_none_or(|content_length| content_length > MAX_BUFFERED_BYTES as u64)
    }

    /// Returns `None` if the body breaks off before it is complete or streaming has begun.
    pub async fn read(mut body: Incoming) -> Option<Download> {
        let (content_length, may_be_long) = (body.size_hint().exact(), Download::may_be_long(&body));
        let buffer_time = if content_length.is_some() { Duration::ZERO } else { RESPONSE_BUFFER_TIME };
        let mut buffering_over = pin!(sleep(buffer_time));
        let (mut chunks, mut total) = (Chunks::default(), 0);
        while !may_be_long || total <= MAX_BUFFERED_BYTES {
            let frame = tokio::select! {
                biased;
                frame = body.frame() => frame,
                () = buffering_over.as_mut(), if may_be_long => break,
            };
            match frame.map(|frame| frame.map(Frame::into_data)) {
                None => return Some(Download::Buffered(chunks.concatenated())),
                Some(Err(_)) => return None,
                Some(Ok(Err(_))) => {}
                Some(Ok(Ok(chunk))) => {
                    total += chunk.len();
                    chunks.0.push_back(chunk);
                }
            }
        }
        let (completion, completed) = oneshot::channel();
        let remaining_bytes =
            content_length.map(|content_length| content_length.saturating_sub(total as u64));
        Some(Download::Streamed(
            StreamedReply {
                prefix: chunks.0,
                remaining: body,
                content_length,
                remaining_bytes,
                completion: Some(completion),
            },
            completed,
        ))
    }
}

/// A response body that is forwarded as it arrives.
pub struct StreamedReply {
    prefix: VecDeque<Bytes>,
    remaining: Incoming,
    content_length: Option<u64>,
    /// Bytes still to be received, if the length is known.
    remaining_bytes: Option<u64>,
    completion: Option<oneshot::Sender<bool>>,
}

impl StreamedReply {
    fn report_completion(&mut self, complete: bool) {
        if let Some(completion) = self.completion.take() {
            // The receiver is gone when the node is shutting down.
            let _ = completion.send(complete);
        }
    }
}

impl Body for StreamedReply {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(chunk) = self.prefix.pop_front() {
            if self.is_end_stream() {
                self.report_completion(true);
            }
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        loop {
            match ready!(Pin::new(&mut self.remaining).poll_frame(cx))
                .map(|frame| frame.map(Frame::into_data))
            {
                None => {
                    self.report_completion(true);
                    return Poll::Ready(None);
                }
                Some(Err(_)) => {
                    self.report_completion(false);
                    return Poll::Ready(Some(Err(BodyError::Truncated)));
                }
                Some(Ok(Err(_))) => {}
                Some(Ok(Ok(chunk))) => {
                    self.remaining_bytes = self
                        .remaining_bytes
                        .map(|remaining_bytes| remaining_bytes.saturating_sub(chunk.len() as u64));
                    if self.is_end_stream() {
                        self.report_completion(true);
                    }
                    return Poll::Ready(Some(Ok(Frame::data(chunk))));
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_empty() && self.remaining_bytes == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.content_length.map_or_else(SizeHint::new, SizeHint::with_exact)
    }
}
