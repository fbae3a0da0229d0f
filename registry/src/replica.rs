//! One replica: its data folder, its place among the others, and what it knows of being up to date.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::fs::{self, File, TryLockError};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use openraft::error::{ClientWriteError, RaftError};
use openraft::{ChangeMembers, ServerState, SnapshotPolicy};
use serde::{Deserialize, Serialize};
use shaletrail_registry_client::clock::unix;
use shaletrail_registry_protocol::{Replica as Told, Status};
use tokio::sync::watch;

use crate::catalogue::{Catalogue, Command, Kept, Outcome};
use crate::duties::{Duties, DutyCommand, Gone, Signs};
use crate::leases::{Due, Leases};
use crate::links::{Links, Maker};
use crate::log::{seal, unseal, Damaged, Log, OpenError};
use crate::machine::{self, Machine, View, Whole};
use crate::types::{LogId, Member, Raft, SnapshotMeta, StoredMembership};

const IDENTITY: &str = "replica";
const LOCK: &str = "lock";
/// How often leases, freshness and the leader's majority are looked at.
const LOOK: Duration = Duration::from_millis(100);
/// Commits told by the leader that wait to be applied here. One more is not noted; the next one is.
const MOST_AWAITED: usize = 256;

/// How a replica is set. Times are whole milliseconds.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The leader's pulse, and the longest that one call with entries may take: links slower than this don't carry.
    /// A new leader is elected after 3.8 to 4.8 of these.
    pub heartbeat_ms: u64,
    /// Without news of a majority for so long, lists are not answered.
    pub stale_ms: u64,
    /// Longest wait for a change to be acknowledged.
    pub change_ms: u64,
    /// Entries of the log between snapshots, and how many of them stay for replicas that are a little behind.
    pub snapshot_every: u64,
    pub keep_entries: u64,
    /// Part of the list that may fall silent within one lease before expiry stops.
    pub expiry_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            heartbeat_ms: 250,
            stale_ms: 3000,
            change_ms: 4000,
            snapshot_every: 5000,
            keep_entries: 1000,
            expiry_share: 0.15,
        }
    }
}

/// Who a replica is, by its data folder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Its number in the protocol. A rebuilt replica has a new one, as it does not know what the old one promised.
    pub id: u64,
    pub name: String,
    /// It was given its number by a running service, and is not known to be a voter yet.
    pub joining: bool,
}

/// A data folder that this process holds.
pub struct Folder {
    pub path: PathBuf,
    _lock: File,
}

impl Folder {
    /// # Errors
    /// Names the folder and what stands in the way.
    pub fn hold(path: &Path) -> Result<Folder, OpenError> {
        let failed = |error| OpenError::Io { file: path.to_owned(), error };
        fs::create_dir_all(path).map_err(failed)?;
        let lock = File::create(path.join(LOCK)).map_err(failed)?;
        match lock.try_lock() {
            Ok(()) => Ok(Folder { path: path.to_owned(), _lock: lock }),
            Err(TryLockError::WouldBlock) => Err(OpenError::InUse { file: path.to_owned() }),
            Err(TryLockError::Error(error)) => Err(failed(error)),
        }
    }

    /// Who lives here; `None` in a folder without a life.
    ///
    /// # Errors
    /// Data without an owner is damage.
    pub fn identity(&self) -> Result<Option<Identity>, OpenError> {
        let file = self.path.join(IDENTITY);
        match fs::read(&file) {
            Ok(bytes) => {
                let identity = unseal(&bytes).map_err(|e| Damaged { file, what: e.to_string() })?;
                Ok(Some(identity))
            }
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(OpenError::Io { file, error: e }),
            Err(_) if self.is_empty()? => Ok(None),
            Err(_) => Err(Damaged { file, what: "missing beside other data".into() }.into()),
        }
    }

    pub fn identify(&self, identity: &Identity) -> Result<(), OpenError> {
        let bytes = seal(identity);
        let written = bytes.and_then(|bytes| machine::replace(&self.path, IDENTITY, &bytes));
        written.map_err(|error| OpenError::Io { file: self.path.join(IDENTITY), error })
    }

    fn contents(&self) -> Result<Vec<PathBuf>, OpenError> {
        let read = || -> io::Result<Vec<PathBuf>> {
            let paths = fs::read_dir(&self.path)?.map(|entry| entry.map(|e| e.path()));
            let paths = paths.collect::<io::Result<Vec<_>>>()?;
            let aside = |path: &PathBuf| {
                let name = path.file_name().unwrap_or_default().to_string_lossy();
                name == LOCK || name.starts_with("damaged-") || name.ends_with(".new")
            };
            Ok(paths.into_iter().filter(|path| !aside(path)).collect())
        };
        read().map_err(|error| OpenError::Io { file: self.path.clone(), error })
    }

    pub fn is_empty(&self) -> Result<bool, OpenError> {
        Ok(self.contents()?.is_empty())
    }

    /// Moves what is here into a folder beside it, for whoever wants to look into the damage.
    pub fn set_aside(&self) -> Result<PathBuf, OpenError> {
        let aside = (0..).map(|n| self.path.join(format!("damaged-{n}"))).find(|path| !path.exists());
        let aside = aside.unwrap_or_default();
        let failed = |error| OpenError::Io { file: aside.clone(), error };
        fs::create_dir(&aside).map_err(failed)?;
        for path in self.contents()? {
            if let Some(name) = path.file_name() {
                fs::rename(&path, aside.join(name)).map_err(failed)?;
            }
        }
        Ok(aside)
    }
}

/// Why a change was not acknowledged.
#[derive(Debug, thiserror::Error)]
pub enum Unacknowledged {
    /// The change surely has not happened; the leader, if known, can be asked.
    #[error("{why}")]
    NotRun { why: String, leader: Option<Member> },
    /// It may have, or may yet.
    #[error("{0}")]
    Unknown(String),
}

/// Why no list is answered now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NotReady {
    Stopping,
    /// No word of a majority for too long.
    Stale,
}

impl NotReady {
    pub fn words(&self) -> &'static str {
        match self {
            NotReady::Stopping => "stopping",
            NotReady::Stale => "no news of a majority: what is known here may be old",
        }
    }
}

/// When a commit was told by the leader, and which.
type Word = (Instant, u64);

/// How sure this replica may be of what it knows.
#[derive(Default)]
struct Freshness {
    /// What the leader had committed when it called, until applied here.
    awaited: VecDeque<Word>,
    /// When all that was committed then was last known here.
    fresh: Option<Instant>,
}

/// Figures that only count up.
#[derive(Default)]
pub struct Counts {
    pub changes: AtomicU64,
    pub refused: AtomicU64,
    pub unknown: AtomicU64,
    pub renewals: AtomicU64,
    pub lists: AtomicU64,
    pub lists_refused: AtomicU64,
    pub watching: AtomicU64,
    pub expired: AtomicU64,
    pub duty_calls: AtomicU64,
    pub duties_lapsed: AtomicU64,
    pub elections: AtomicU64,
}

pub fn add(count: &AtomicU64) {
    count.fetch_add(1, Ordering::Relaxed);
}

/// A running replica.
pub struct Replica {
    pub name: String,
    pub id: u64,
    pub settings: Settings,
    pub raft: Raft,
    pub view: View,
    pub links: Arc<Links>,
    pub counts: Counts,
    log: Log,
    freshness: Mutex<Freshness>,
    /// Of the term in which this replica leads.
    leases: Mutex<Option<(u64, Leases, Signs)>>,
    /// One confirmation of the leader after the other serves all that came before it.
    confirming: tokio::sync::Mutex<Confirmed>,
    due: Mutex<Due>,
    began: Instant,
    not_ready: watch::Sender<Option<NotReady>>,
    /// One change of the replicas at a time.
    pub members: tokio::sync::Mutex<()>,
    /// Changes that may be out at once.
    changing: tokio::sync::Semaphore,
    /// Renewals of duties that may wait for news here.
    pub waiting: tokio::sync::Semaphore,
}

/// Of the operators' connections, half are left for calls that don't wait.
const MOST_WAITING: usize = 512;

/// When the last confirmation began, and how it came out. Also a failure is shared: those that wait must not each
/// wait for one of their own.
#[derive(Default)]
struct Confirmed(Option<(Instant, Result<(), String>)>);

/// Changes out at once at one leader; more are refused.
const MOST_CHANGING: usize = 1024;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Replica {
    /// Opens the folder's data and starts the protocol.
    ///
    /// # Errors
    /// Damage is told from what only prevents the start now.
    pub async fn open(
        folder: &Folder,
        identity: &Identity,
        settings: Settings,
        by_name: HashMap<String, SocketAddr>,
    ) -> Result<Arc<Replica>, OpenError> {
        let path = folder.path.clone();
        let opened = tokio::task::spawn_blocking(move || {
            Ok::<_, OpenError>((Log::open(&path)?, Machine::open(&path)?))
        });
        let failed =
            |what: String| OpenError::Io { file: folder.path.clone(), error: io::Error::other(what) };
        let (log, (machine, view)) = opened.await.map_err(|e| failed(e.to_string()))??;
        let beat = settings.heartbeat_ms;
        let config = openraft::Config {
            cluster_name: "registry".into(),
            heartbeat_interval: beat,
            election_timeout_min: beat * 14 / 10,
            election_timeout_max: beat * 24 / 10,
            install_snapshot_timeout: (beat * 8).max(2000),
            snapshot_policy: SnapshotPolicy::LogsSinceLast(settings.snapshot_every),
            max_in_snapshot_log_to_keep: settings.keep_entries,
            purge_batch_size: 256,
            snapshot_max_chunk_size: 1 << 20,
            ..openraft::Config::default()
        };
        let config = config.validate().map_err(|e| failed(e.to_string()))?;
        let links = Links::new(by_name);
        let maker = Maker(Arc::clone(&links));
        let raft = Raft::new(identity.id, Arc::new(config), maker, log.clone(), machine).await;
        let raft = raft.map_err(|e| failed(e.to_string()))?;
        let replica = Arc::new(Replica {
            name: identity.name.clone(),
            id: identity.id,
            settings,
            raft,
            view,
            links,
            counts: Counts::default(),
            log,
            freshness: Mutex::default(),
            leases: Mutex::default(),
            confirming: tokio::sync::Mutex::default(),
            due: Mutex::default(),
            began: Instant::now(),
            not_ready: watch::Sender::new(Some(NotReady::Stale)),
            members: tokio::sync::Mutex::default(),
            changing: tokio::sync::Semaphore::new(MOST_CHANGING),
            waiting: tokio::sync::Semaphore::new(MOST_WAITING),
        });
        tokio::spawn(Arc::clone(&replica).tend());
        Ok(replica)
    }

    /// The log holds something: the replica is part of a service.
    pub fn is_begun(&self) -> bool {
        self.log.is_begun()
    }

    pub fn log_failed(&self) -> Option<String> {
        self.log.failed()
    }

    /// Begins a service of these replicas.
    ///
    /// # Errors
    /// The protocol's words where it refuses.
    pub async fn begin(&self, members: BTreeMap<u64, Member>) -> Result<(), String> {
        self.raft.initialize(members).await.map_err(|e| e.to_string())
    }

    pub fn stop(&self) {
        self.not_ready.send_replace(Some(NotReady::Stopping));
    }

    /// Why it answers no lists, for as long as that is so.
    pub fn not_ready(&self) -> watch::Receiver<Option<NotReady>> {
        self.not_ready.subscribe()
    }

    /// Waits until it answers lists for the first time.
    pub async fn ready(&self) {
        // The sender is at hand, so that there is no error.
        let _ = self.not_ready.subscribe().wait_for(Option::is_none).await;
    }

    fn now(&self) -> Duration {
        self.began.elapsed()
    }

    // ---- Freshness ------------------------------------------------------------------------------------

    /// The leader has called: what it had committed then is known here once it is applied.
    pub fn heard(&self, committed: u64) {
        let mut freshness = lock(&self.freshness);
        if freshness.awaited.len() < MOST_AWAITED {
            freshness.awaited.push_back((Instant::now(), committed));
        }
    }

    /// What is known here is no older than `stale_ms`. Asked before each list: a process that was stopped must not
    /// answer from before.
    pub fn fresh(&self) -> bool {
        let stale = Duration::from_millis(self.settings.stale_ms);
        if self.alone() {
            // Nobody else can change anything: what was fresh stays so, also when nothing can be written any more.
            let was = || self.log_failed().is_some() && self.not_ready.borrow().is_none();
            return (self.leads() && self.led_commits()) || was();
        }
        if self.leads() {
            return self.quorum_age().is_some_and(|age| age < stale) && self.led_commits();
        }
        let applied = self.view.applied();
        let mut freshness = lock(&self.freshness);
        while let Some((at, _)) = freshness.awaited.front().filter(|(_, commit)| *commit <= applied).copied()
        {
            freshness.awaited.pop_front();
            freshness.fresh = Some(at);
        }
        freshness.fresh.is_some_and(|at| at.elapsed() < stale)
    }

    pub fn leads(&self) -> bool {
        self.raft.metrics().borrow().state == ServerState::Leader
    }

    /// A new leader knows all that was acknowledged before once an entry of its own term is applied.
    fn led_commits(&self) -> bool {
        let metrics = self.raft.metrics();
        let metrics = metrics.borrow();
        metrics.last_applied.is_some_and(|id| id.leader_id.term == metrics.current_term)
    }

    fn alone(&self) -> bool {
        let metrics = self.raft.metrics();
        let metrics = metrics.borrow();
        let mut voters = metrics.membership_config.voter_ids();
        voters.next() == Some(self.id) && voters.next().is_none()
    }

    /// How long ago a majority last answered, at the leader.
    pub fn quorum_age(&self) -> Option<Duration> {
        let metrics = self.raft.metrics();
        let metrics = metrics.borrow();
        if metrics.membership_config.voter_ids().count() == 1 {
            return Some(Duration::ZERO);
        }
        // The figure is as old as the last change of any: who has answered since tells more.
        let voters: Vec<u64> = metrics.membership_config.voter_ids().collect();
        drop(metrics);
        let within = |time| {
            let others = voters.iter().filter(|id| **id != self.id && self.links.answered_within(**id, time));
            (others.count() + 1) * 2 > voters.len()
        };
        let stale = self.settings.stale_ms;
        [stale / 8, stale / 4, stale / 2, stale]
            .map(Duration::from_millis)
            .into_iter()
            .find(|time| within(*time))
    }

    // ---- Tending --------------------------------------------------------------------------------------

    /// Looks after freshness, leases and the leader's voice for as long as the process runs.
    async fn tend(self: Arc<Self>) {
        let beat = Duration::from_millis(self.settings.heartbeat_ms);
        let mut led = 0;
        let mut unheard_since: Option<Instant> = None;
        loop {
            tokio::time::sleep(LOOK).await;
            let fresh = self.fresh();
            self.not_ready.send_if_modified(|now| {
                let next = match now {
                    Some(NotReady::Stopping) => return false,
                    _ => (!fresh).then_some(NotReady::Stale),
                };
                let changed = *now != next;
                if changed {
                    match &next {
                        Some(why) => tracing::warn!("answers no lists: {}", why.words()),
                        None => tracing::info!("answers lists, version {}", self.view.version()),
                    }
                }
                *now = next;
                changed
            });
            if !self.leads() {
                *lock(&self.leases) = None;
                *lock(&self.due) = Due::default();
                unheard_since = None;
                continue;
            }
            let term = self.raft.metrics().borrow().current_term;
            if led != term {
                led = term;
                add(&self.counts.elections);
                tracing::info!("leads from term {term} on; every lease begins anew");
            }
            let heard = self.quorum_age().is_some_and(|age| age < beat * 6);
            if heard {
                unheard_since = None;
                self.expire(term);
                self.lapse();
            } else if unheard_since.get_or_insert_with(Instant::now).elapsed() > beat * 6
                && !self.links.hushed()
            {
                tracing::warn!("no majority answers this leader: it falls silent so that others may lead");
                self.links.hush(beat * 10);
                unheard_since = None;
            }
        }
    }

    /// Runs a look at the leases of this leader's term.
    pub fn leases<T>(&self, look: impl FnOnce(&mut Leases, &Catalogue, Duration) -> T) -> Option<T> {
        self.in_term(|leases, _| self.view.look(|list| look(leases, list, self.now())))
    }

    /// The same at the duties, and at who was heard.
    pub fn signs<T>(&self, look: impl FnOnce(&mut Signs, &Duties, Duration) -> T) -> Option<T> {
        self.in_term(|_, signs| self.view.duties(|duties| look(signs, duties, self.now())))
    }

    fn in_term<T>(&self, look: impl FnOnce(&mut Leases, &mut Signs) -> T) -> Option<T> {
        if !self.leads() || !self.led_commits() {
            return None;
        }
        let term = self.raft.metrics().borrow().current_term;
        let mut leases = lock(&self.leases);
        if leases.as_ref().is_none_or(|(of, ..)| *of != term) {
            *leases = Some((term, Leases::begin(self.settings.expiry_share), Signs::begin(self.now())));
        }
        let (_, leases, signs) = leases.as_mut()?;
        Some(look(leases, signs))
    }

    /// A majority has taken this replica for its leader since the call began: nobody else can have begun to count
    /// leases before it.
    ///
    /// # Errors
    /// It may lead no more.
    pub async fn confirm_lead(&self) -> Result<(), Unacknowledged> {
        let asked = Instant::now();
        let mut last = self.confirming.lock().await;
        if last.0.as_ref().is_none_or(|(began, _)| *began < asked) {
            let began = Instant::now();
            let time = Duration::from_millis(self.settings.heartbeat_ms * 4);
            let confirmed = match tokio::time::timeout(time, self.raft.ensure_linearizable()).await {
                Ok(Ok(_)) => Ok(()),
                Ok(Err(e)) => Err(format!("no majority confirms: {e}")),
                Err(_) => Err("no majority confirms in time".to_owned()),
            };
            last.0 = Some((began, confirmed));
        }
        let confirmed = last.0.as_ref().map_or(Ok(()), |(_, confirmed)| confirmed.clone());
        confirmed.map_err(|why| Unacknowledged::NotRun { why, leader: None })
    }

    /// Proposes what silence at duties comes to.
    fn lapse(self: &Arc<Self>) {
        let at_ms = unix().as_millis() as u64;
        let looked = self.signs(|signs, duties, now| (signs.look(duties, now), signs.settles(duties, now)));
        let Some((gone, settles)) = looked else { return };
        if settles {
            let replica = Arc::clone(self);
            tokio::spawn(async move {
                match replica.change(Command::Duty(DutyCommand::Settle { at_ms })).await {
                    Ok(_) => tracing::info!("duties are granted again after the restore"),
                    Err(e) => tracing::warn!("duties stay ungranted after the restore: {e}"),
                }
            });
        }
        if gone.is_empty() {
            return;
        }
        let replica = Arc::clone(self);
        tokio::spawn(async move {
            let command = DutyCommand::Lapse { gone: gone.clone(), at_ms };
            match replica.change(Command::Duty(command)).await {
                Ok(_) => replica.say_lapsed(&gone),
                // Whom it named may be renewed again.
                Err(Unacknowledged::NotRun { .. }) => {
                    replica.signs(|signs, _, _| signs.not_proposed(&gone));
                }
                Err(e @ Unacknowledged::Unknown(_)) => tracing::warn!("lapse of duties: {e}"),
            }
        });
    }

    fn say_lapsed(&self, gone: &[Gone]) {
        for one in gone {
            add(&self.counts.duties_lapsed);
            let (name, id) = (&one.name, &one.who.id);
            if one.fence > 0 {
                let next = self.view.duties(|duties| duties.show(name)).and_then(|duty| duty.holder);
                let next = next.as_deref().unwrap_or("nobody");
                tracing::warn!(
                    "duty {name}: {id} was silent for its lease (fence {}); held by {next}",
                    one.fence
                );
            } else {
                tracing::info!("duty {name}: {id} was silent for its lease, and waits no more");
            }
        }
    }

    pub fn due(&self) -> Due {
        lock(&self.due).clone()
    }

    fn expire(self: &Arc<Self>, term: u64) {
        let Some(due) = self.leases(|leases, list, now| leases.look(list, now)) else { return };
        let held = std::mem::replace(&mut *lock(&self.due), due.clone()).held;
        if due.held > 0 && held == 0 {
            tracing::error!(
                "EXPIRY STOPPED: {} entries are silent, {} of them due, more than the {} that may go within one \
                 lease. Are agents cut off? `shaletrail-fleet registry confirm` lets them go",
                due.silent,
                due.held,
                due.most
            );
        } else if due.held == 0 && held > 0 {
            tracing::warn!("expiry goes on");
        }
        if due.expire.is_empty() {
            return;
        }
        // Not waited for here: what else is looked at must not stand still with it.
        let replica = Arc::clone(self);
        tokio::spawn(async move {
            match replica.change(Command::Expire { silent: due.expire }).await {
                Ok(Outcome::Expired { ids, version }) => {
                    replica.counts.expired.fetch_add(ids.len() as u64, Ordering::Relaxed);
                    tracing::warn!("expired at version {version}: {}", ids.join(" "));
                }
                Ok(_) => {}
                Err(e) => tracing::warn!("expiry in term {term}: {e}"),
            }
        });
    }

    // ---- Changes --------------------------------------------------------------------------------------

    pub fn leader(&self) -> Option<Member> {
        let metrics = self.raft.metrics();
        let metrics = metrics.borrow();
        let leader = metrics.current_leader.filter(|id| *id != self.id)?;
        metrics.membership_config.membership().get_node(&leader).cloned()
    }

    /// Whether a change can be put here at all.
    ///
    /// # Errors
    /// It surely has not happened.
    pub fn may_change(&self) -> Result<(), Unacknowledged> {
        let not_run = |why: String, leader| Err(Unacknowledged::NotRun { why, leader });
        if let Some(what) = self.log_failed() {
            return not_run(format!("the log can't be written: {what}"), None);
        }
        if !self.leads() {
            let leader = self.leader();
            let why = if leader.is_some() { "another replica leads" } else { "no replica leads now" };
            return not_run(why.into(), leader);
        }
        // A leader that nobody hears would take changes that may never come to anything.
        if self.quorum_age().is_none_or(|age| age >= Duration::from_millis(self.settings.heartbeat_ms * 6)) {
            return not_run("cut off from a majority".into(), None);
        }
        Ok(())
    }

    /// Puts a command into the log and waits until it holds.
    ///
    /// # Errors
    /// Tells what surely has not happened from what may have.
    pub async fn change(&self, command: Command) -> Result<Outcome, Unacknowledged> {
        self.may_change()?;
        let not_run = |why: &str| Unacknowledged::NotRun { why: why.into(), leader: None };
        let _place = self.changing.try_acquire().map_err(|_| not_run("too many changes at once"))?;
        let time = Duration::from_millis(self.settings.change_ms);
        match tokio::time::timeout(time, self.raft.client_write(command)).await {
            Ok(Ok(written)) => Ok(written.data),
            // Also what a new leader cut from the log here, which another replica may still bring back.
            Ok(Err(RaftError::APIError(ClientWriteError::ForwardToLeader(_)))) => {
                Err(Unacknowledged::Unknown("leadership was lost meanwhile".into()))
            }
            Ok(Err(e)) => Err(Unacknowledged::Unknown(self.log_failed().unwrap_or_else(|| e.to_string()))),
            Err(_) => {
                Err(Unacknowledged::Unknown(format!("no majority agreed within {} ms", time.as_millis())))
            }
        }
    }

    // ---- Members --------------------------------------------------------------------------------------

    fn voters(&self) -> BTreeMap<u64, Member> {
        let metrics = self.raft.metrics();
        let metrics = metrics.borrow();
        let config = &metrics.membership_config;
        let voters: BTreeSet<u64> = config.voter_ids().collect();
        config.nodes().filter(|(id, _)| voters.contains(id)).map(|(id, node)| (*id, node.clone())).collect()
    }

    /// Removes whoever has this name.
    ///
    /// # Errors
    /// Refused where those that stay would not be a majority that answers.
    pub async fn remove(&self, name: &str) -> Result<(), Unacknowledged> {
        let refused = |why: String| Unacknowledged::NotRun { why, leader: None };
        let voters = self.voters();
        let all: Vec<u64> = {
            let metrics = self.raft.metrics();
            let metrics = metrics.borrow();
            metrics.membership_config.nodes().filter(|(_, n)| n.name == name).map(|(id, _)| *id).collect()
        };
        let gone: BTreeSet<u64> = all.iter().copied().filter(|id| voters.contains_key(id)).collect();
        let stay: Vec<u64> = voters.keys().copied().filter(|id| !gone.contains(id)).collect();
        let recent = Duration::from_millis(self.settings.heartbeat_ms * 8);
        let answer = |id: &&u64| **id == self.id || self.links.answered_within(**id, recent);
        if !gone.is_empty() && stay.iter().filter(answer).count() * 2 <= stay.len() {
            let why = format!("without {name} no majority of the others would answer");
            return Err(refused(why));
        }
        let unknown = |e: &dyn std::fmt::Display| Unacknowledged::Unknown(e.to_string());
        if !gone.is_empty() {
            let change = ChangeMembers::RemoveVoters(gone);
            self.raft.change_membership(change, false).await.map_err(|e| unknown(&e))?;
        }
        let learners: BTreeSet<u64> = all.into_iter().filter(|id| !voters.contains_key(id)).collect();
        if !learners.is_empty() {
            let change = ChangeMembers::RemoveNodes(learners);
            self.raft.change_membership(change, false).await.map_err(|e| unknown(&e))?;
        }
        Ok(())
    }

    /// Lets a replica that has its number and waits take part, once it has caught up.
    ///
    /// # Errors
    /// May be asked for again until it is a voter.
    pub async fn promote(&self, id: u64, member: Member) -> Result<(), Unacknowledged> {
        if self.voters().contains_key(&id) {
            return Ok(());
        }
        let unknown = |e: &dyn std::fmt::Display| Unacknowledged::Unknown(e.to_string());
        self.raft.add_learner(id, member, true).await.map_err(|e| unknown(&e))?;
        let change = ChangeMembers::AddVoterIds(BTreeSet::from([id]));
        self.raft.change_membership(change, false).await.map_err(|e| unknown(&e))?;
        Ok(())
    }

    /// This replica is known to be a voter.
    pub fn votes(&self) -> bool {
        self.voters().contains_key(&self.id)
    }

    pub fn status(&self) -> Status {
        let metrics = self.raft.metrics();
        let metrics = metrics.borrow();
        let config = &metrics.membership_config;
        let voters: BTreeSet<u64> = config.voter_ids().collect();
        let index = |id: Option<LogId>| id.map_or(0, |id| id.index);
        let last = metrics.last_log_index.unwrap_or(0);
        let leader = metrics.current_leader.and_then(|id| config.membership().get_node(&id));
        let behind = |id: &u64| {
            let matched = metrics.replication.as_ref()?.get(id)?;
            Some(last - index(*matched).min(last))
        };
        let replicas = config.nodes().map(|(id, node)| Told {
            id: *id,
            name: node.name.clone(),
            replica: node.replica.clone(),
            voter: voters.contains(id),
            behind: behind(id),
        });
        let replicas = replicas.collect();
        let role = format!("{:?}", metrics.state).to_lowercase();
        let (version, entries) = self.view.look(|list| (list.version(), list.len()));
        Status {
            name: self.name.clone(),
            version,
            entries,
            role,
            leader: leader.map(|node| node.name.clone()),
            term: metrics.current_term,
            last_log: last,
            applied: index(metrics.last_applied),
            snapshot: index(metrics.snapshot),
            not_ready: self.not_ready.borrow().as_ref().map(|why| why.words().to_owned()),
            expiry_held: self.due().held,
            replicas,
        }
    }
}

// ---- Backups ------------------------------------------------------------------------------------------

/// What a backup holds.
#[derive(Serialize, Deserialize)]
struct Backup {
    format: u32,
    made_ms: u64,
    list: Kept,
    /// Format 1 has none.
    #[serde(default)]
    duties: Duties,
}

/// The newest, and the oldest that is read. A reader from before duties must refuse a backup that has them: it would
/// let their fencing numbers go back.
const BACKUP_FORMAT: u32 = 2;
const OLDEST_BACKUP: u32 = 1;
/// Versions that a restored list leaves out at the least: more than were ever told since the backup.
const LEAP: u64 = 1 << 32;
/// Versions left for each second of Unix time: a later restore begins beyond an earlier one's.
const PER_SECOND: u64 = 1 << 20;

/// The list as a backup.
///
/// # Errors
/// Only if it can't be written as JSON.
pub fn backup(view: &View) -> io::Result<Vec<u8>> {
    let (list, duties) = view.both(|list, duties| (list.keep(), duties.clone()));
    seal(&Backup { format: BACKUP_FORMAT, made_ms: unix().as_millis() as u64, list, duties })
}

/// Makes a data folder for one replica from a backup. Its list begins beyond every version ever told; `beyond` is
/// one that the operator knows to have been told. Returns that version.
///
/// # Errors
/// The folder must be empty, and the backup as it was made.
pub fn restore(
    folder: &Folder,
    name: &str,
    replica: &str,
    backup: &Path,
    beyond: u64,
) -> Result<u64, OpenError> {
    let io = |file: &Path| {
        let file = file.to_owned();
        move |error| OpenError::Io { file, error }
    };
    if !folder.is_empty()? {
        return Err(io(&folder.path)(io::Error::other(
            "an empty folder expected: a restore replaces nothing",
        )));
    }
    let bytes = fs::read(backup).map_err(io(backup))?;
    let damaged = |what: String| Damaged { file: backup.to_owned(), what };
    let read: Backup = unseal(&bytes).map_err(|e| damaged(e.to_string()))?;
    if !(OLDEST_BACKUP..=BACKUP_FORMAT).contains(&read.format) {
        let what = format!("format {OLDEST_BACKUP} to {BACKUP_FORMAT} expected, got {}", read.format);
        return Err(damaged(what).into());
    }
    let list = Catalogue::kept(read.list);
    let version = (list.version() + LEAP).max(unix().as_secs() * PER_SECOND).max(beyond + 1);
    let list = list.restored(version);
    let duties = read.duties.restored(version, LEAP);
    let id = LogId::new(openraft::CommittedLeaderId::new(1, 1), 1);
    let members = BTreeMap::from([(1, Member { name: name.to_owned(), replica: replica.to_owned() })]);
    let membership = openraft::Membership::new(vec![BTreeSet::from([1])], members);
    let meta = SnapshotMeta {
        last_log_id: Some(id),
        last_membership: StoredMembership::new(Some(id), membership),
        snapshot_id: format!("restored-{version}"),
    };
    let whole = seal(&Whole { meta, kept: list.keep(), duties });
    let written = whole.and_then(|whole| machine::replace(&folder.path, machine::FILE, &whole));
    written.map_err(io(&folder.path))?;
    folder.identify(&Identity { id: 1, name: name.to_owned(), joining: false })?;
    Ok(version)
}
