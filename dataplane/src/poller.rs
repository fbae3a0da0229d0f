//! The long poll that keeps an edge up to date: configuration, servers and the number of edges come in, demand
//! and observations go out.

use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64;
use shaletrail_configuration::View;
use shaletrail_protocol::frame::{self, FrameError};
use shaletrail_protocol::internal::{
    ConfigUpdate, Demand, DirectoryCursor, EdgeIdentity, EdgeRequest, Handshake, PollRequest, PollResponse,
    ServerOutcomes,
};
use shaletrail_protocol::settings::Settings;
use shaletrail_protocol::{Millis, NodeId};
use shaletrail_routing::interface::Event;
use snafu::{ResultExt, Snafu};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

use crate::coordinators::Coordinators;
use crate::state::State;

/// How long a connection to a coordinator may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The same while no configuration is known, so that one that is there is found soon.
const FIRST_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// How long the rest of a reply may take once it has begun.
const BODY_TIMEOUT: Duration = Duration::from_secs(3);
/// The least time between the starts of two polls that succeeded: news that come faster travel together.
const LEAST_SPACING: Duration = Duration::from_millis(20);
/// The least time between two reports, in milliseconds.
const REPORT_INTERVAL: Millis = 250;
/// How long an urgent report waits for others to go with it.
const URGENT_DELAY: Duration = Duration::from_millis(5);
/// The shortest and longest pause after all coordinators have failed, in milliseconds.
const ROUND_PAUSE: std::ops::RangeInclusive<u64> = 100..=300;
/// The shortest and longest time that an answer may be held, in milliseconds.
const HOLD: (u64, u64) = (100, 1000);
/// The shortest and longest time that an answer may be late, in milliseconds.
const LATE: (u64, u64) = (150, 400);
/// The part of the tightest bound that an answer may be held.
const HOLD_PART: u64 = 4;
/// The part of the tightest bound that an answer may be late.
const LATE_PART: u64 = 6;

/// How long polls take, from the bounds of the rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// How long a coordinator may hold its answer.
    pub hold: Duration,
    /// How long the answer may be late beyond that before another coordinator is asked.
    pub late: Duration,
}

impl Pace {
    /// The pace that keeps configuration and draining within their bounds although one coordinator is silent.
    pub fn within(convergence: Duration, drain: Duration) -> Self {
        let tightest = u64::try_from(convergence.min(drain).as_millis()).unwrap_or(u64::MAX);
        let part = |part: u64, (least, most)| Duration::from_millis((tightest / part).clamp(least, most));
        Pace { hold: part(HOLD_PART, HOLD), late: part(LATE_PART, LATE) }
    }
}

/// Why a poll brought nothing.
#[derive(Debug, Snafu)]
enum PollError {
    #[snafu(display("{source}"))]
    Io { source: std::io::Error },
    #[snafu(display("no answer in time"))]
    Late,
    #[snafu(display("{source}"))]
    Frame { source: FrameError },
    #[snafu(display("out of touch with the majority"))]
    Isolated,
}

/// Polls one coordinator after the other.
pub struct Poller {
    state: Rc<State>,
    settings_path: PathBuf,
    identity: EdgeIdentity,
    port: u16,
    pace: Pace,
    coordinators: Coordinators,
    connection: Option<(NodeId, TcpStream)>,
    cursor: DirectoryCursor,
    /// A whole configuration is asked for, as news did not fit.
    wants_whole: bool,
    edges: u32,
    edge_list: u64,
    demand: Vec<Demand>,
    observed: Vec<ServerOutcomes>,
    reported_at: Option<Millis>,
    random: Pcg64,
}

impl Poller {
    /// A poller that has asked nobody yet.
    pub fn new(state: Rc<State>, settings: &Settings, settings_path: PathBuf, mut random: Pcg64) -> Self {
        let incarnation = shaletrail_protocol::Incarnation(random.random());
        let identity = EdgeIdentity { node: settings.node(), incarnation, zone: settings.zone.clone() };
        Poller {
            state,
            settings_path,
            identity,
            port: settings.internal_port(),
            pace: Pace::within(settings.bounds.convergence, settings.bounds.drain),
            coordinators: Coordinators::new(settings.node(), settings.seed_nodes()),
            connection: None,
            cursor: DirectoryCursor::default(),
            wants_whole: false,
            edges: 0,
            edge_list: 0,
            demand: Vec::new(),
            observed: Vec::new(),
            reported_at: None,
            random,
        }
    }

    /// Takes over the seeds of the settings file as it stands now.
    pub fn reload(&mut self) {
        match Settings::read(&self.settings_path) {
            Ok(settings) => self.coordinators.set_seeds(settings.seed_nodes()),
            Err(error) => slog::warn!(self.state.log, "settings not read anew"; "error" => %error),
        }
    }

    /// Polls once, and pauses where that must be. May be dropped at any point: what was under way then is given up
    /// with its connection.
    pub async fn step(&mut self) {
        let Some(coordinator) = self.coordinators.choose() else {
            let pause = self.random.random_range(ROUND_PAUSE);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            // The file may have changed without a signal.
            self.reload();
            self.coordinators.begin_round();
            return;
        };
        let begun = Instant::now();
        match self.poll(coordinator).await {
            Ok(reply) => {
                self.coordinators.succeeded();
                self.take_over(reply);
                tokio::time::sleep_until(begun + LEAST_SPACING).await;
            }
            Err(error) => {
                slog::info!(self.state.log, "coordinator given up";
                    "coordinator" => %coordinator, "error" => %error);
                self.coordinators.failed();
            }
        }
    }

    /// Tells the coordinator in use that this edge is about to end.
    pub async fn leave(&mut self) {
        // A poll may be under way on the connection in use.
        self.connection = None;
        let Some(coordinator) = self.coordinators.choose() else { return };
        let farewell = async {
            let (mut stream, mut message) = self.connect(coordinator).await?;
            message.extend(frame::encode(&EdgeRequest::Leave));
            stream.write_all(&message).await.context(IoSnafu)?;
            stream.shutdown().await.context(IoSnafu)
        };
        if !matches!(timeout(CONNECT_TIMEOUT, farewell).await, Ok(Ok(()))) {
            slog::debug!(self.state.log, "no farewell to the coordinator");
        }
    }

    async fn poll(&mut self, coordinator: NodeId) -> Result<PollResponse, PollError> {
        self.gather_report();
        let request = EdgeRequest::Poll(PollRequest {
            config_version: if self.wants_whole { 0 } else { self.state.view().version },
            cursor: self.cursor,
            max_wait_ms: u32::try_from(self.pace.hold.as_millis()).unwrap_or(u32::MAX),
            demand: self.demand.clone(),
            server_outcomes: self.observed.clone(),
            edge_list_hash: self.edge_list,
        });
        // The connection is put back only after a whole reply, so that none is used in the middle of one.
        let (mut stream, mut message) = self.connect(coordinator).await?;
        message.extend(frame::encode(&request));
        let (reply, observed) = exchange(&self.state, &mut stream, &message, self.pace).await?;
        self.demand.clear();
        self.observed = observed;
        if reply.isolated {
            // It may know of others that the settings do not name.
            if self.state.view().version == 0 {
                self.coordinators.learn(reply.coordinators);
            }
            return IsolatedSnafu.fail();
        }
        self.connection = Some((coordinator, stream));
        Ok(reply)
    }

    /// The connection in use, or a new one and the greeting to be sent on it.
    async fn connect(&mut self, coordinator: NodeId) -> Result<(TcpStream, Vec<u8>), PollError> {
        if let Some((node, stream)) = self.connection.take() {
            if node == coordinator {
                return Ok((stream, Vec::new()));
            }
        }
        let address = (coordinator.address(), self.port);
        let knows_nothing = self.state.view().version == 0;
        let patience = if knows_nothing { FIRST_CONNECT_TIMEOUT } else { CONNECT_TIMEOUT };
        let Ok(connected) = timeout(patience, TcpStream::connect(address)).await else {
            return LateSnafu.fail();
        };
        let stream = connected.context(IoSnafu)?;
        stream.set_nodelay(true).context(IoSnafu)?;
        slog::debug!(self.state.log, "connected to a coordinator"; "coordinator" => %coordinator);
        Ok((stream, frame::encode(&Handshake::Edge(self.identity.clone()))))
    }

    /// Reports that have not reached a coordinator are sent again, before new ones are made.
    fn gather_report(&mut self) {
        let now = self.state.clock.now();
        let is_due = self.reported_at.is_none_or(|at| now.saturating_sub(at) >= REPORT_INTERVAL);
        if is_due && self.demand.is_empty() && self.observed.is_empty() {
            self.reported_at = Some(now);
            (self.demand, self.observed) = self.state.with_router(|router| router.take_report(now));
        }
    }

    fn take_over(&mut self, reply: PollResponse) {
        self.coordinators.learn(reply.coordinators);
        if let Some(news) = reply.config {
            self.take_configuration(&news);
        }
        self.cursor = reply.cursor;
        if reply.complete || !reply.servers.is_empty() {
            self.state.handle(Event::Servers { records: reply.servers, complete: reply.complete });
        }
        self.take_edges(reply.edge_nodes, reply.edge_list_hash);
        if reply.edge_count > 0 && reply.edge_count != self.edges {
            self.edges = reply.edge_count;
            self.state.handle(Event::Edges(reply.edge_count));
        }
    }

    /// Takes over which edges there are, for the datagrams among them.
    fn take_edges(&mut self, nodes: Option<Vec<NodeId>>, list: u64) {
        if let Some(nodes) = nodes {
            self.state.handle(Event::EdgeList { own: self.identity.node, edges: nodes });
            self.edge_list = list;
        }
    }

    fn take_configuration(&mut self, news: &ConfigUpdate) {
        let current = self.state.view();
        if news.version <= current.version {
            // An older coordinator, or the whole configuration that we have.
            self.wants_whole = false;
            return;
        }
        let mut view = View::clone(&current);
        match view.apply(news) {
            Ok(()) => {
                self.wants_whole = false;
                slog::info!(self.state.log, "configuration in force"; "version" => view.version);
                self.state.set_view(Arc::new(view));
            }
            Err(error) => {
                self.wants_whole = true;
                slog::warn!(self.state.log, "news of the configuration not taken";
                    "version" => news.version, "error" => %error);
            }
        }
    }
}

/// Sends a message and reads the reply. Demand that cannot wait is sent meanwhile; what was observed of servers
/// since is returned with the reply.
async fn exchange(
    state: &State,
    stream: &mut TcpStream,
    message: &[u8],
    pace: Pace,
) -> Result<(PollResponse, Vec<ServerOutcomes>), PollError> {
    let (mut from, mut to) = stream.split();
    let mut observed = Vec::new();
    let mut prefix = [0; frame::PREFIX_BYTES];
    let begin = async {
        to.write_all(message).await?;
        let mut reading = std::pin::pin!(from.read_exact(&mut prefix));
        loop {
            tokio::select! {
                read = &mut reading => return read,
                () = state.urgent.notified() => {
                    tokio::time::sleep(URGENT_DELAY).await;
                    let (demand, seen) = state.with_router(|router| router.take_report(state.clock.now()));
                    observed.extend(seen);
                    to.write_all(&frame::encode(&EdgeRequest::Report { demand })).await?;
                }
            }
        }
    };
    let Ok(begun) = timeout(pace.hold + pace.late, begin).await else { return LateSnafu.fail() };
    begun.context(IoSnafu)?;
    let length = frame::body_length(prefix).context(FrameSnafu)?;
    let mut body = Vec::new();
    let mut rest = from.take(length as u64);
    let Ok(read) = timeout(BODY_TIMEOUT, rest.read_to_end(&mut body)).await else { return LateSnafu.fail() };
    read.context(IoSnafu)?;
    Ok((frame::decode(&body).context(FrameSnafu)?, observed))
}
