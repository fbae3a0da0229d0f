//! Bodies on their way through the node. Short ones are kept whole, so that they can be sent or had again; longer
//! ones are passed on piece by piece, no faster than the other side takes them.

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

/// Longest body that is kept whole.
const SHORT: usize = 64 << 10;
/// Longest body of a request.
const LONGEST: u64 = 32 << 20;
/// A sender may be slower than bytes at `LEAST_RATE` come by some grace altogether. Clients send 64 kB a second, in
/// pieces, and by their own clocks, so a quarter less is asked for.
const LEAST_RATE: f64 = 48_000.0;
/// An answer of unknown length that is not whole so long after its head may be a long one, whose begin counts.
const HOLD: Duration = Duration::from_millis(50);

/// Why a body is not had whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Slow,
    TooLong,
    Broken,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Fault::Slow => "sent too slowly",
            Fault::TooLong => "too long",
            Fault::Broken => "broken off",
        })
    }
}

impl std::error::Error for Fault {}

// ---- From clients -----------------------------------------------------------------------------------------

/// A client's body as it comes, held to a length and a rate. Only time spent waiting for the client counts.
struct Source {
    body: Incoming,
    read: u64,
    waited: Duration,
    grace: Duration,
}

impl Source {
    fn new(body: Incoming, grace: Duration) -> Self {
        Source { body, read: 0, waited: Duration::ZERO, grace }
    }

    /// The next piece; trailers say nothing that goes on.
    async fn piece(&mut self) -> Option<Result<Bytes, Fault>> {
        loop {
            let may_wait = self.grace + Duration::from_secs_f64(self.read as f64 / LEAST_RATE);
            let asked = Instant::now();
            let Ok(frame) = timeout(may_wait.saturating_sub(self.waited), self.body.frame()).await else {
                return Some(Err(Fault::Slow));
            };
            self.waited += asked.elapsed();
            match frame?.map(Frame::into_data) {
                Err(_) => return Some(Err(Fault::Broken)),
                Ok(Err(_)) => {}
                Ok(Ok(piece)) => {
                    self.read += piece.len() as u64;
                    return Some(if self.read <= LONGEST { Ok(piece) } else { Err(Fault::TooLong) });
                }
            }
        }
    }

    /// Passes on what comes, one piece at a time. Once nobody takes it any more the rest is read and dropped: a
    /// client hears its answer when it has sent all, or has stopped to listen for it.
    async fn pump(mut self, to: mpsc::Sender<Result<Bytes, Fault>>) {
        loop {
            let place = to.reserve().await;
            let Some(piece) = self.piece().await else { return };
            let failed = piece.is_err();
            if let Ok(place) = place {
                place.send(piece);
            }
            if failed {
                return;
            }
        }
    }
}

/// A request's body.
pub enum Content {
    Short(Bytes),
    Long(Rc<Long>),
}

/// A body that is too long to be kept: its begin, and what goes on coming.
pub struct Long {
    begin: Bytes,
    rest: RefCell<mpsc::Receiver<Result<Bytes, Fault>>>,
    /// Its whole length, if stated.
    length: Option<u64>,
    grace: Duration,
    spent: Cell<bool>,
    failed: Cell<bool>,
    /// The request has its answer.
    over: Cell<bool>,
    on_news: RefCell<Option<OnNews>>,
}

type OnNews = Box<dyn Fn(News)>;

/// What becomes of a long body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum News {
    /// Something of it has been passed on that is not kept.
    Spent,
    /// Its last byte has come.
    Received,
}

impl Content {
    /// Reads a short body whole, a longer one until that shows.
    pub async fn read(body: Incoming, grace: Duration) -> Result<Content, Fault> {
        let length = body.size_hint().exact();
        if body.size_hint().lower() > LONGEST {
            return Err(Fault::TooLong);
        }
        let long = length.is_some_and(|length| length > SHORT as u64);
        let (mut source, mut pieces, mut total) = (Source::new(body, grace), Pieces::default(), 0);
        while let Some(piece) = source.piece().await {
            let piece = piece?;
            total += piece.len();
            pieces.0.push_back(piece);
            if total > SHORT || long {
                let (to, rest) = mpsc::channel(1);
                spawn_local(source.pump(to));
                let long = Long {
                    begin: pieces.joined(),
                    rest: RefCell::new(rest),
                    length,
                    grace,
                    spent: Cell::default(),
                    failed: Cell::default(),
                    over: Cell::default(),
                    on_news: RefCell::default(),
                };
                return Ok(Content::Long(Rc::new(long)));
            }
        }
        Ok(Content::Short(pieces.joined()))
    }

    pub fn long(&self) -> Option<&Rc<Long>> {
        match self {
            Content::Short(_) => None,
            Content::Long(long) => Some(long),
        }
    }

    /// It can't be sent again.
    pub fn spent(&self) -> bool {
        self.long().is_some_and(|long| long.spent.get())
    }

    /// Its client has not sent it as it should.
    pub fn failed(&self) -> bool {
        self.long().is_some_and(|long| long.failed.get())
    }
}

impl Long {
    /// Longest time that the rest may take to come.
    pub fn may_take(&self) -> Duration {
        let rest = self.length.unwrap_or(LONGEST).saturating_sub(self.begin.len() as u64);
        self.grace + Duration::from_secs_f64(rest as f64 / LEAST_RATE)
    }

    pub fn on_news(&self, tell: impl Fn(News) + 'static) {
        self.on_news.replace(Some(Box::new(tell)));
    }

    fn news(&self, news: News) {
        if let Some(tell) = &*self.on_news.borrow() {
            tell(news);
        }
    }

    /// The request has its answer: nothing more of it goes on, nor is anything more told.
    pub fn end(&self) {
        self.over.set(true);
        self.on_news.replace(None);
        self.rest.borrow_mut().close();
    }
}

/// A request's body on its way to a server.
pub struct Upload {
    begin: Option<Bytes>,
    rest: Option<Rc<Long>>,
    /// How much of the whole is still to go, if that is known.
    left: Option<u64>,
    /// Its end has been handed over.
    handed: Rc<Cell<bool>>,
}

impl Upload {
    pub fn new(content: &Content, handed: Rc<Cell<bool>>) -> Self {
        let (begin, rest, left) = match content {
            Content::Short(all) => (all.clone(), None, Some(all.len() as u64)),
            Content::Long(long) => (long.begin.clone(), Some(Rc::clone(long)), long.length),
        };
        handed.set(rest.is_none());
        Upload { begin: Some(begin).filter(|begin| !begin.is_empty()), rest, left, handed }
    }

    fn hand(&mut self, piece: &Bytes) {
        self.left = self.left.map(|left| left.saturating_sub(piece.len() as u64));
        if self.left == Some(0) {
            self.end();
        }
    }

    fn end(&mut self) {
        if let (false, Some(rest)) = (self.handed.replace(true), &self.rest) {
            rest.news(News::Received);
        }
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        if let Some(begin) = self.begin.take() {
            self.hand(&begin);
            return Poll::Ready(Some(Ok(Frame::data(begin))));
        }
        let Some(long) = self.rest.clone().filter(|_| !self.is_end_stream()) else {
            return Poll::Ready(None);
        };
        let piece = ready!(long.rest.borrow_mut().poll_recv(cx));
        Poll::Ready(match piece {
            Some(Ok(piece)) => {
                if !long.spent.replace(true) {
                    long.news(News::Spent);
                }
                self.hand(&piece);
                Some(Ok(Frame::data(piece)))
            }
            Some(Err(fault)) => {
                long.failed.set(true);
                Some(Err(fault))
            }
            // Its server must not take the begin for the whole.
            None if long.over.get() => Some(Err(Fault::Broken)),
            None => {
                self.end();
                None
            }
        })
    }

    fn is_end_stream(&self) -> bool {
        self.begin.is_none() && self.handed.get()
    }

    fn size_hint(&self) -> SizeHint {
        self.left.map_or_else(SizeHint::new, SizeHint::with_exact)
    }
}

// ---- From servers -----------------------------------------------------------------------------------------

#[derive(Default)]
struct Pieces(VecDeque<Bytes>);

impl Pieces {
    fn joined(mut self) -> Bytes {
        if self.0.len() < 2 {
            return self.0.pop_front().unwrap_or_default();
        }
        let mut joined = BytesMut::with_capacity(self.0.iter().map(Bytes::len).sum());
        self.0.iter().for_each(|piece| joined.extend_from_slice(piece));
        joined.freeze()
    }
}

/// A server's answer.
pub enum Download {
    Whole(Bytes),
    /// Its begin has come, and it is a long one or comes slowly. The receiver hears how it ended: `true` if it was
    /// passed on whole, `false` if it broke off, an error if nobody wanted the rest.
    Begun(Passing, oneshot::Receiver<bool>),
}

impl Download {
    /// It is long, or does not say how long it is.
    pub fn may_be_long(body: &Incoming) -> bool {
        body.size_hint().exact().is_none_or(|length| length > SHORT as u64)
    }

    /// `None` if it breaks off before it is whole or passed on.
    pub async fn read(mut body: Incoming) -> Option<Download> {
        let (length, long) = (body.size_hint().exact(), Download::may_be_long(&body));
        let hold = if length.is_some() { Duration::ZERO } else { HOLD };
        let mut held = pin!(sleep(hold));
        let (mut pieces, mut total) = (Pieces::default(), 0);
        while !long || total <= SHORT {
            let frame = tokio::select! {
                biased;
                frame = body.frame() => frame,
                () = held.as_mut(), if long => break,
            };
            match frame.map(|frame| frame.map(Frame::into_data)) {
                None => return Some(Download::Whole(pieces.joined())),
                Some(Err(_)) => return None,
                Some(Ok(Err(_))) => {}
                Some(Ok(Ok(piece))) => {
                    total += piece.len();
                    pieces.0.push_back(piece);
                }
            }
        }
        let (over, ended) = oneshot::channel();
        let left = length.map(|length| length.saturating_sub(total as u64));
        Some(Download::Begun(Passing { begin: pieces.0, rest: body, length, left, over: Some(over) }, ended))
    }
}

/// An answer that is passed on as it comes.
pub struct Passing {
    begin: VecDeque<Bytes>,
    rest: Incoming,
    length: Option<u64>,
    /// How much of the rest is still to come, if that is known.
    left: Option<u64>,
    over: Option<oneshot::Sender<bool>>,
}

impl Passing {
    fn over(&mut self, whole: bool) {
        if let Some(over) = self.over.take() {
            // Nobody listens any more where the node is ending.
            let _ = over.send(whole);
        }
    }
}

impl Body for Passing {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        if let Some(piece) = self.begin.pop_front() {
            if self.is_end_stream() {
                self.over(true);
            }
            return Poll::Ready(Some(Ok(Frame::data(piece))));
        }
        loop {
            match ready!(Pin::new(&mut self.rest).poll_frame(cx)).map(|frame| frame.map(Frame::into_data)) {
                None => {
                    self.over(true);
                    return Poll::Ready(None);
                }
                Some(Err(_)) => {
                    self.over(false);
                    return Poll::Ready(Some(Err(Fault::Broken)));
                }
                Some(Ok(Err(_))) => {}
                Some(Ok(Ok(piece))) => {
                    self.left = self.left.map(|left| left.saturating_sub(piece.len() as u64));
                    if self.is_end_stream() {
                        self.over(true);
                    }
                    return Poll::Ready(Some(Ok(Frame::data(piece))));
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.begin.is_empty() && self.left == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map_or_else(SizeHint::new, SizeHint::with_exact)
    }
}
