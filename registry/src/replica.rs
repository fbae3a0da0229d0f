//! One replica: its data folder, its membership in the group of replicas, and whether its state is current.

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
use shaletrail_registry_protocol::{Replica as ReplicaInfo, Status};
use tokio::sync::watch;

use crate::catalogue::{Catalogue, CatalogueSnapshot, Command, Outcome};
use crate::duties::{Duties, DutyCommand, DutyLeases, LapsedCandidate};
use crate::leases::{ExpiryCheck, Leases};
use crate::log::{decode_record, encode_record, Damaged, Log, OpenError};
use crate::raft_network::{LinkFactory, PeerLinks};
use crate::state_machine::{self, RegistryStateMachine, SnapshotContent, StateView};
use crate::types::{LogId, Member, Raft, SnapshotMeta, StoredMembership};

const IDENTITY_FILE: &str = "replica";
const LOCK_FILE: &str = "lock";
/// How often leases, freshness and the leader's contact with a majority are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Commit indexes reported by the leader that are not applied here yet. When the limit is reached, reports
/// are skipped until some are applied.
const MAX_PENDING_COMMITS: usize = 256;

/// Settings of a replica. Times are in whole milliseconds.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The leader's heartbeat interval, and the limit for one message with log entries: slower links can't
    /// carry the replication. A new leader is elected after 3.8 to 4.8 intervals.
    pub heartbeat_ms: u64,
    /// Without contact with a majority for this long, no lists are answered.
    pub stale_ms: u64,
    /// The longest wait for a change to be acknowledged.
    pub change_ms: u64,
    /// Log entries between two snapshots, and entries kept for replicas that are slightly behind.
    pub snapshot_every: u64,
    pub keep_entries: u64,
    /// The part of the list that may become silent within one lease before expiry stops.
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

/// The identity stored in a data folder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The replica's Raft node id. A rebuilt replica gets a new one, because it does not know which votes and
    /// entries the old one acknowledged.
    pub id: u64,
    pub name: String,
    /// A running service assigned the id, and the replica is not known to be a voter yet.
    pub joining: bool,
}

/// A data folder that this process has locked.
pub struct DataFolder {
    pub path: PathBuf,
    _lock: File,
}

impl DataFolder {
    /// Creates the folder if needed, and locks it.
    ///
    /// # Errors
    /// Names the folder and the reason.
    pub fn lock(path: &Path) -> Result<DataFolder, OpenError> {
        let failed = |error| OpenError::Io { file: path.to_owned(), error };
        fs::create_dir_all(path).map_err(failed)?;
        let lock = File::create(path.join(LOCK_FILE)).map_err(failed)?;
        match lock.try_lock() {
            Ok(()) => Ok(DataFolder { path: path.to_owned(), _lock: lock }),
            Err(TryLockError::WouldBlock) => Err(OpenError::InUse { file: path.to_owned() }),
            Err(TryLockError::Error(error)) => Err(failed(error)),
        }
    }

    /// The stored identity; `None` in an empty folder.
    ///
    /// # Errors
    /// Data without an identity is damage.
    pub fn identity(&self) -> Result<Option<Identity>, OpenError> {
        let file = self.path.join(IDENTITY_FILE);
        match fs::read(&file) {
            Ok(bytes) => {
                let identity = decode_record(&bytes).map_err(|e| Damaged { file, reason: e.to_string() })?;
                Ok(Some(identity))
            }
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(OpenError::Io { file, error: e }),
            Err(_) if self.is_empty()? => Ok(None),
            Err(_) => Err(Damaged { file, reason: "missing beside other data".into() }.into()),
        }
    }

    /// Replaces the identity file by one with this identity.
    pub fn write_identity(&self, identity: &Identity) -> Result<(), OpenError> {
        let bytes = encode_record(identity);
        let written = bytes.and_then(|bytes| state_machine::replace_file(&self.path, IDENTITY_FILE, &bytes));
        written.map_err(|error| OpenError::Io { file: self.path.join(IDENTITY_FILE), error })
    }

    fn contents(&self) -> Result<Vec<PathBuf>, OpenError> {
        let read = || -> io::Result<Vec<PathBuf>> {
            let paths = fs::read_dir(&self.path)?.map(|entry| entry.map(|e| e.path()));
            let paths = paths.collect::<io::Result<Vec<_>>>()?;
            let ignored = |path: &PathBuf| {
                let name = path.file_name().unwrap_or_default().to_string_lossy();
                name == LOCK_FILE || name.starts_with("damaged-") || name.ends_with(".new")
            };
            Ok(paths.into_iter().filter(|path| !ignored(path)).collect())
        };
        read().map_err(|error| OpenError::Io { file: self.path.clone(), error })
    }

    /// Whether the folder is empty, apart from the lock, quarantined data and unfinished `.new` files.
    pub fn is_empty(&self) -> Result<bool, OpenError> {
        Ok(self.contents()?.is_empty())
    }

    /// Moves the folder's contents into a subfolder, so that the damage can be examined.
    pub fn quarantine(&self) -> Result<PathBuf, OpenError> {
        let quarantined = (0..).map(|n| self.path.join(format!("damaged-{n}"))).find(|path| !path.exists());
        let quarantined = quarantined.unwrap_or_default();
        let failed = |error| OpenError::Io { file: quarantined.clone(), error };
        fs::create_dir(&quarantined).map_err(failed)?;
        for path in self.contents()? {
            if let Some(name) = path.file_name() {
                fs::rename(&path, quarantined.join(name)).map_err(failed)?;
            }
        }
        Ok(quarantined)
    }
}

/// Why a change was not acknowledged.
#[derive(Debug, thiserror::Error)]
pub enum ChangeError {
    /// The change was certainly not executed. The leader, if known, can be asked instead.
    #[error("{why}")]
    NotExecuted { why: String, leader: Option<Member> },
    /// The change may have been executed, or may still be.
    #[error("{0}")]
    Unknown(String),
}

/// Why no list is answered now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NotReady {
    Stopping,
    /// No contact with a majority for too long.
    Stale,
}

impl NotReady {
    /// The reason in words, for the body of the refusal.
    pub fn message(&self) -> &'static str {
        match self {
            NotReady::Stopping => "stopping",
            NotReady::Stale => "no news of a majority: what is known here may be old",
        }
    }
}

/// When the leader reported a commit index, and the index.
type ReportedCommit = (Instant, u64);

/// How current this replica's state is.
#[derive(Default)]
struct Freshness {
    /// Commit indexes reported by the leader that are not applied here yet.
    pending_commits: VecDeque<ReportedCommit>,
    /// This replica has applied everything that was committed at this time.
    current_at: Option<Instant>,
}

/// Counters for the metrics.
#[derive(Default)]
pub struct Counters {
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

/// Adds one to a counter. The ordering is relaxed, because counters order no other memory accesses.
pub fn increment(count: &AtomicU64) {
    count.fetch_add(1, Ordering::Relaxed);
}

/// A running replica.
pub struct Replica {
    pub name: String,
    pub id: u64,
    pub settings: Settings,
    pub raft: Raft,
    pub view: StateView,
    pub links: Arc<PeerLinks>,
    pub counters: Counters,
    log: Log,
    freshness: Mutex<Freshness>,
    /// The leases of the term in which this replica leads, with that term.
    leases: Mutex<Option<(u64, Leases, DutyLeases)>>,
    /// Confirmations of leadership run one after the other. Each serves all calls that came before it began.
    leadership_check: tokio::sync::Mutex<LeadershipCheck>,
    expiry_check: Mutex<ExpiryCheck>,
    started: Instant,
    not_ready: watch::Sender<Option<NotReady>>,
    /// Held during a membership change, so that there is one at a time.
    pub membership_change: tokio::sync::Mutex<()>,
    /// Limits the changes in flight.
    change_permits: tokio::sync::Semaphore,
    /// Limits the renewals of duties that wait for a change of status.
    pub renewal_wait_permits: tokio::sync::Semaphore,
}

/// Half as many as the operators' address has connections: the other half stays free for requests that don't
/// wait.
const MAX_WAITING_RENEWALS: usize = 512;

/// When the last confirmation began, and its result. A failure is shared too, so that waiting calls don't
/// each run into a time-out of their own.
#[derive(Default)]
struct LeadershipCheck(Option<(Instant, Result<(), String>)>);

/// Changes in flight at one leader; further ones are refused.
const MAX_CHANGES_IN_FLIGHT: usize = 1024;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Replica {
    /// Opens the folder's data and starts openraft.
    ///
    /// # Errors
    /// Distinguishes damage from a failure that only prevents the start now.
    pub async fn open(
        folder: &DataFolder,
        identity: &Identity,
        settings: Settings,
        addr_overrides: HashMap<String, SocketAddr>,
    ) -> Result<Arc<Replica>, OpenError> {
        let path = folder.path.clone();
        let opened = tokio::task::spawn_blocking(move || {
            Ok::<_, OpenError>((Log::open(&path)?, RegistryStateMachine::open(&path)?))
        });
        let failed =
            |reason: String| OpenError::Io { file: folder.path.clone(), error: io::Error::other(reason) };
        let (log, (state_machine, view)) = opened.await.map_err(|e| failed(e.to_string()))??;
        let heartbeat = settings.heartbeat_ms;
        let config = openraft::Config {
            cluster_name: "registry".into(),
            heartbeat_interval: heartbeat,
            election_timeout_min: heartbeat * 14 / 10,
            election_timeout_max: heartbeat * 24 / 10,
            install_snapshot_timeout: (heartbeat * 8).max(2000),
            snapshot_policy: SnapshotPolicy::LogsSinceLast(settings.snapshot_every),
            max_in_snapshot_log_to_keep: settings.keep_entries,
            purge_batch_size: 256,
            snapshot_max_chunk_size: 1 << 20,
            ..openraft::Config::default()
        };
        let config = config.validate().map_err(|e| failed(e.to_string()))?;
        let links = PeerLinks::new(addr_overrides);
        let link_factory = LinkFactory(Arc::clone(&links));
        let raft = Raft::new(identity.id, Arc::new(config), link_factory, log.clone(), state_machine).await;
        let raft = raft.map_err(|e| failed(e.to_string()))?;
        let replica = Arc::new(Replica {
            name: identity.name.clone(),
            id: identity.id,
            settings,
            raft,
            view,
            links,
            counters: Counters::default(),
            log,
            freshness: Mutex::default(),
            leases: Mutex::default(),
            leadership_check: tokio::sync::Mutex::default(),
            expiry_check: Mutex::default(),
            started: Instant::now(),
            not_ready: watch::Sender::new(Some(NotReady::Stale)),
            membership_change: tokio::sync::Mutex::default(),
            change_permits: tokio::sync::Semaphore::new(MAX_CHANGES_IN_FLIGHT),
            renewal_wait_permits: tokio::sync::Semaphore::new(MAX_WAITING_RENEWALS),
        });
        tokio::spawn(Arc::clone(&replica).maintain());
        Ok(replica)
    }

    /// Whether the log has ever held entries, so that the replica is part of a service.
    pub fn has_log(&self) -> bool {
        self.log.has_held_entries()
    }

    /// Why the log can't be written any more; `None` while it works.
    pub fn log_failed(&self) -> Option<String> {
        self.log.failed()
    }

    /// Forms a new service of these replicas.
    ///
    /// # Errors
    /// The reason openraft gives for refusing.
    pub async fn initialize(&self, members: BTreeMap<u64, Member>) -> Result<(), String> {
        self.raft.initialize(members).await.map_err(|e| e.to_string())
    }

    /// Marks the replica as stopping, so that it answers no more lists. The Raft node keeps running.
    pub fn stop(&self) {
        self.not_ready.send_replace(Some(NotReady::Stopping));
    }

    /// Why the replica answers no lists now; `None` while it does.
    pub fn not_ready(&self) -> watch::Receiver<Option<NotReady>> {
        self.not_ready.subscribe()
    }

    /// Waits until the replica answers lists for the first time.
    pub async fn ready(&self) {
        // `self` owns the sender, so this can't fail.
        let _ = self.not_ready.subscribe().wait_for(Option::is_none).await;
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    // ---- Freshness ------------------------------------------------------------------------------------

    /// Records a message from the leader. Everything that it had committed by then is known here once that
    /// index is applied.
    pub fn record_leader_contact(&self, committed: u64) {
        let mut freshness = lock(&self.freshness);
        if freshness.pending_commits.len() < MAX_PENDING_COMMITS {
            freshness.pending_commits.push_back((Instant::now(), committed));
        }
    }

    /// Whether the state is no older than `stale_ms`. Checked before each list: a process that was paused
    /// must not answer with state from before the pause.
    pub fn is_current(&self) -> bool {
        let stale = Duration::from_millis(self.settings.stale_ms);
        if self.is_only_voter() {
            // No other replica can change anything, so state that was current stays current, even when the
            // log can no longer be written.
            let was_current = || self.log_failed().is_some() && self.not_ready.borrow().is_none();
            return (self.is_leader() && self.has_committed_in_term()) || was_current();
        }
        if self.is_leader() {
            return self.quorum_age().is_some_and(|age| age < stale) && self.has_committed_in_term();
        }
        let applied = self.view.applied();
        let mut freshness = lock(&self.freshness);
        while let Some((at, _)) =
            freshness.pending_commits.front().filter(|(_, commit)| *commit <= applied).copied()
        {
            freshness.pending_commits.pop_front();
            freshness.current_at = Some(at);
        }
        freshness.current_at.is_some_and(|at| at.elapsed() < stale)
    }

    /// Whether openraft reports this replica as the leader. It may have been deposed without knowing it yet.
    pub fn is_leader(&self) -> bool {
        self.raft.metrics().borrow().state == ServerState::Leader
    }

    /// A new leader knows all acknowledged changes once an entry of its own term is applied.
    fn has_committed_in_term(&self) -> bool {
        let metrics = self.raft.metrics();
        let metrics = metrics.borrow();
        metrics.last_applied.is_some_and(|id| id.leader_id.term == metrics.current_term)
    }

    fn is_only_voter(&self) -> bool {
        let metrics = self.raft.metrics();
        let metrics = metrics.borrow();
        let mut voters = metrics.membership_config.voter_ids();
        voters.next() == Some(self.id) && voters.next().is_none()
    }

    /// An upper bound of the time since a majority last answered this leader; `None` if it is above
    /// `stale_ms`.
    ///
    /// 0 for a replica that is the only voter.
    pub fn quorum_age(&self) -> Option<Duration> {
        let metrics = self.raft.metrics();
        let metrics = metrics.borrow();
        if metrics.membership_config.voter_ids().count() == 1 {
            return Some(Duration::ZERO);
        }
        // openraft's own figure only changes with its metrics. The time of the last answer from each peer is
        // more precise.
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

    // ---- Maintenance ---------------------------------------------------------------------------------

    /// Checks freshness, leases and the leader's contact with a majority for as long as the process runs.
    async fn maintain(self: Arc<Self>) {
        let heartbeat = Duration::from_millis(self.settings.heartbeat_ms);
        let mut last_led_term = 0;
        let mut no_majority_since: Option<Instant> = None;
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let current = self.is_current();
            self.not_ready.send_if_modified(|now| {
                let next = match now {
                    Some(NotReady::Stopping) => return false,
                    _ => (!current).then_some(NotReady::Stale),
                };
                let changed = *now != next;
                if changed {
                    match &next {
                        Some(why) => tracing::warn!("answers no lists: {}", why.message()),
                        None => tracing::info!("answering lists at version {}", self.view.version()),
                    }
                }
                *now = next;
                changed
            });
            if !self.is_leader() {
                *lock(&self.leases) = None;
                *lock(&self.expiry_check) = ExpiryCheck::default();
                no_majority_since = None;
                continue;
            }
            let term = self.raft.metrics().borrow().current_term;
            if last_led_term != term {
                last_led_term = term;
                increment(&self.counters.elections);
                tracing::info!("became leader in term {term}; all leases restart");
            }
            let majority_answers = self.quorum_age().is_some_and(|age| age < heartbeat * 6);
            if majority_answers {
                no_majority_since = None;
                self.propose_expiry(term);
                self.propose_lapses();
            } else if no_majority_since.get_or_insert_with(Instant::now).elapsed() > heartbeat * 6
                && !self.links.is_muted()
            {
                tracing::warn!(
                    "no majority answers this leader: it falls silent, so that another replica can be elected"
                );
                self.links.mute(heartbeat * 10);
                no_majority_since = None;
            }
        }
    }

    /// Gives access to the leases of the current term; `None` unless this replica leads.
    pub fn with_leases<T>(&self, access: impl FnOnce(&mut Leases, &Catalogue, Duration) -> T) -> Option<T> {
        self.with_term_leases(|leases, _| self.view.with_catalogue(|list| access(leases, list, self.now())))
    }

    /// Gives access to the duties and their leases in the current term; `None` unless this replica leads.
    pub fn with_duty_leases<T>(
        &self,
        access: impl FnOnce(&mut DutyLeases, &Duties, Duration) -> T,
    ) -> Option<T> {
        self.with_term_leases(|_, duty_leases| {
            self.view.with_duties(|duties| access(duty_leases, duties, self.now()))
        })
    }

    fn with_term_leases<T>(&self, access: impl FnOnce(&mut Leases, &mut DutyLeases) -> T) -> Option<T> {
        if !self.is_leader() || !self.has_committed_in_term() {
            return None;
        }
        let term = self.raft.metrics().borrow().current_term;
        let mut leases = lock(&self.leases);
        if leases.as_ref().is_none_or(|(of, ..)| *of != term) {
            *leases = Some((term, Leases::new(self.settings.expiry_share), DutyLeases::new(self.now())));
        }
        let (_, leases, duty_leases) = leases.as_mut()?;
        Some(access(leases, duty_leases))
    }

    /// Confirms that a majority has accepted this replica as the leader since this call began. So no other
    /// replica can have started to count leases before it.
    ///
    /// # Errors
    /// The replica may no longer be the leader.
    pub async fn confirm_leadership(&self) -> Result<(), ChangeError> {
        let called_at = Instant::now();
        let mut last = self.leadership_check.lock().await;
        if last.0.as_ref().is_none_or(|(began, _)| *began < called_at) {
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
        confirmed.map_err(|why| ChangeError::NotExecuted { why, leader: None })
    }

    /// Proposes the expiry of duty leases, and the end of the grace period after a restore.
    fn propose_lapses(self: &Arc<Self>) {
        let at_ms = unix().as_millis() as u64;
        let checked = self.with_duty_leases(|leases, duties, now| {
            (leases.take_expired(duties, now), leases.grace_period_over(duties, now))
        });
        let Some((lapsed, grace_period_over)) = checked else { return };
        if grace_period_over {
            let replica = Arc::clone(self);
            tokio::spawn(async move {
                match replica.propose(Command::Duty(DutyCommand::EndGracePeriod { at_ms })).await {
                    Ok(_) => tracing::info!("grace period after the restore ended: duties are granted again"),
                    Err(e) => {
                        tracing::warn!("grace period after the restore not ended, duties stay ungranted: {e}")
                    }
                }
            });
        }
        if lapsed.is_empty() {
            return;
        }
        let replica = Arc::clone(self);
        tokio::spawn(async move {
            let command = DutyCommand::Lapse { lapsed: lapsed.clone(), at_ms };
            match replica.propose(Command::Duty(command)).await {
                Ok(_) => replica.log_lapsed(&lapsed),
                // The candidates may renew again.
                Err(ChangeError::NotExecuted { .. }) => {
                    replica.with_duty_leases(|leases, _, _| leases.proposal_failed(&lapsed));
                }
                Err(e @ ChangeError::Unknown(_)) => tracing::warn!("expiry of duty leases: {e}"),
            }
        });
    }

    fn log_lapsed(&self, lapsed: &[LapsedCandidate]) {
        for candidate in lapsed {
            increment(&self.counters.duties_lapsed);
            let (name, id) = (&candidate.name, &candidate.who.id);
            if candidate.fence > 0 {
                let next = self.view.with_duties(|duties| duties.describe(name)).and_then(|duty| duty.holder);
                let next = next.as_deref().unwrap_or("nobody");
                tracing::warn!(
                    "duty {name}: {id} was silent for its lease (fence {}); held by {next}",
                    candidate.fence
                );
            } else {
                tracing::info!("duty {name}: {id} was silent for its lease; removed from the queue");
            }
        }
    }

    /// The result of the last check of the instance leases.
    pub fn expiry_check(&self) -> ExpiryCheck {
        lock(&self.expiry_check).clone()
    }

    fn propose_expiry(self: &Arc<Self>, term: u64) {
        let Some(check) = self.with_leases(|leases, list, now| leases.check(list, now)) else { return };
        let withheld_before = std::mem::replace(&mut *lock(&self.expiry_check), check.clone()).withheld;
        if check.withheld > 0 && withheld_before == 0 {
            tracing::error!(
                "EXPIRY STOPPED: {} entries are silent, {} of them with expired leases; at most {} may \
                 expire within one lease. Check for a network partition; \
                 `shaletrail-fleet registry confirm` lets them expire",
                check.silent,
                check.withheld,
                check.silent_limit
            );
        } else if check.withheld == 0 && withheld_before > 0 {
            tracing::warn!("expiry resumed");
        }
        if check.expire.is_empty() {
            return;
        }
        // Runs in a task of its own, so that the other checks are not delayed.
        let replica = Arc::clone(self);
        tokio::spawn(async move {
            match replica.propose(Command::Expire { silent: check.expire }).await {
                Ok(Outcome::Expired { ids, version }) => {
                    replica.counters.expired.fetch_add(ids.len() as u64, Ordering::Relaxed);
                    tracing::warn!("expired at version {version}: {}", ids.join(" "));
                }
                Ok(_) => {}
                Err(e) => tracing::warn!("expiry in term {term}: {e}"),
            }
        });
    }

    // ---- Changes --------------------------------------------------------------------------------------

    /// The leader, if it is known and is another replica; `None` if this replica leads.
    pub fn leader(&self) -> Option<Member> {
        let metrics = self.raft.metrics();
        let metrics = metrics.borrow();
        let leader = metrics.current_leader.filter(|id| *id != self.id)?;
        metrics.membership_config.membership().get_node(&leader).cloned()
    }

    /// Checks whether a change can be proposed on this replica at all.
    ///
    /// # Errors
    /// The change was certainly not executed.
    pub fn check_can_change(&self) -> Result<(), ChangeError> {
        let not_executed = |why: String, leader| Err(ChangeError::NotExecuted { why, leader });
        if let Some(reason) = self.log_failed() {
            return not_executed(format!("the log can't be written: {reason}"), None);
        }
        if !self.is_leader() {
            let leader = self.leader();
            let why = if leader.is_some() { "another replica leads" } else { "no replica leads now" };
            return not_executed(why.into(), leader);
        }
        // A leader without contact with a majority would accept changes that may never be committed.
        if self.quorum_age().is_none_or(|age| age >= Duration::from_millis(self.settings.heartbeat_ms * 6)) {
            return not_executed("cut off from a majority".into(), None);
        }
        Ok(())
    }

    /// Commits a command and waits until it is applied.
    ///
    /// # Errors
    /// Distinguishes a change that was certainly not executed from one that may have been.
    pub async fn propose(&self, command: Command) -> Result<Outcome, ChangeError> {
        self.check_can_change()?;
        let not_executed = |why: &str| ChangeError::NotExecuted { why: why.into(), leader: None };
        let _permit =
            self.change_permits.try_acquire().map_err(|_| not_executed("too many changes at once"))?;
        let time = Duration::from_millis(self.settings.change_ms);
        match tokio::time::timeout(time, self.raft.client_write(command)).await {
            Ok(Ok(written)) => Ok(written.data),
            // This also covers an entry that a new leader removed from the log here: another replica may
            // still commit it.
            Ok(Err(RaftError::APIError(ClientWriteError::ForwardToLeader(_)))) => {
                Err(ChangeError::Unknown("leadership was lost meanwhile".into()))
            }
            Ok(Err(e)) => Err(ChangeError::Unknown(self.log_failed().unwrap_or_else(|| e.to_string()))),
            Err(_) => Err(ChangeError::Unknown(format!("no majority agreed within {} ms", time.as_millis()))),
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

    /// Removes the replica of this name.
    ///
    /// # Errors
    /// Refused if no majority of the remaining replicas answers.
    pub async fn remove_member(&self, name: &str) -> Result<(), ChangeError> {
        let refused = |why: String| ChangeError::NotExecuted { why, leader: None };
        let voters = self.voters();
        let all: Vec<u64> = {
            let metrics = self.raft.metrics();
            let metrics = metrics.borrow();
            metrics.membership_config.nodes().filter(|(_, n)| n.name == name).map(|(id, _)| *id).collect()
        };
        let removed: BTreeSet<u64> = all.iter().copied().filter(|id| voters.contains_key(id)).collect();
        let remaining: Vec<u64> = voters.keys().copied().filter(|id| !removed.contains(id)).collect();
        let answer_window = Duration::from_millis(self.settings.heartbeat_ms * 8);
        let answer = |id: &&u64| **id == self.id || self.links.answered_within(**id, answer_window);
        if !removed.is_empty() && remaining.iter().filter(answer).count() * 2 <= remaining.len() {
            let why = format!("without {name} no majority of the others would answer");
            return Err(refused(why));
        }
        let unknown = |e: &dyn std::fmt::Display| ChangeError::Unknown(e.to_string());
        if !removed.is_empty() {
            let change = ChangeMembers::RemoveVoters(removed);
            self.raft.change_membership(change, false).await.map_err(|e| unknown(&e))?;
        }
        let learners: BTreeSet<u64> = all.into_iter().filter(|id| !voters.contains_key(id)).collect();
        if !learners.is_empty() {
            let change = ChangeMembers::RemoveNodes(learners);
            self.raft.change_membership(change, false).await.map_err(|e| unknown(&e))?;
        }
        Ok(())
    }

    /// Makes a replica that has an id a voter, once it has caught up.
    ///
    /// # Errors
    /// The call may be repeated until the replica is a voter.
    pub async fn promote(&self, id: u64, member: Member) -> Result<(), ChangeError> {
        if self.voters().contains_key(&id) {
            return Ok(());
        }
        let unknown = |e: &dyn std::fmt::Display| ChangeError::Unknown(e.to_string());
        self.raft.add_learner(id, member, true).await.map_err(|e| unknown(&e))?;
        let change = ChangeMembers::AddVoterIds(BTreeSet::from([id]));
        self.raft.change_membership(change, false).await.map_err(|e| unknown(&e))?;
        Ok(())
    }

    /// Whether this replica is known to be a voter.
    pub fn is_voter(&self) -> bool {
        self.voters().contains_key(&self.id)
    }

    /// The replica's current status, with its Raft metrics and members, for operators.
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
        let replicas = config.nodes().map(|(id, node)| ReplicaInfo {
            id: *id,
            name: node.name.clone(),
            replica: node.replica.clone(),
            voter: voters.contains(id),
            behind: behind(id),
        });
        let replicas = replicas.collect();
        let role = format!("{:?}", metrics.state).to_lowercase();
        let (version, entries) = self.view.with_catalogue(|list| (list.version(), list.len()));
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
            not_ready: self.not_ready.borrow().as_ref().map(|why| why.message().to_owned()),
            expiry_held: self.expiry_check().withheld,
            replicas,
        }
    }
}

// ---- Backups ------------------------------------------------------------------------------------------

/// The contents of a backup.
#[derive(Serialize, Deserialize)]
struct Backup {
    format: u32,
    #[serde(rename = "made_ms")]
    created_ms: u64,
    list: CatalogueSnapshot,
    /// Missing in format 1.
    #[serde(default)]
    duties: Duties,
}

/// The newest format, and the oldest that can be read. Programs from before duties existed must refuse a
/// backup with duties: they would let fencing numbers decrease.
const BACKUP_FORMAT: u32 = 2;
const OLDEST_BACKUP: u32 = 1;
/// The least number of versions that a restored list skips: more than were ever reported since the backup.
const RESTORE_VERSION_SKIP: u64 = 1 << 32;
/// Versions reserved for each second of Unix time, so that a later restore starts above an earlier one.
const VERSIONS_PER_SECOND: u64 = 1 << 20;

/// The list and the duties as a backup.
///
/// # Errors
/// They can't be encoded as JSON.
pub fn backup(view: &StateView) -> io::Result<Vec<u8>> {
    let (list, duties) = view.with_catalogue_and_duties(|list, duties| (list.snapshot(), duties.clone()));
    encode_record(&Backup { format: BACKUP_FORMAT, created_ms: unix().as_millis() as u64, list, duties })
}

/// Creates a data folder for one replica from a backup. Its list starts above every version ever reported;
/// `beyond` is a version that the operator knows to have been reported. Returns the new version.
///
/// # Errors
/// The folder is not empty, or the backup is damaged.
pub fn restore(
    folder: &DataFolder,
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
    let damaged = |reason: String| Damaged { file: backup.to_owned(), reason };
    let read: Backup = decode_record(&bytes).map_err(|e| damaged(e.to_string()))?;
    if !(OLDEST_BACKUP..=BACKUP_FORMAT).contains(&read.format) {
        let reason = format!("format {OLDEST_BACKUP} to {BACKUP_FORMAT} expected, got {}", read.format);
        return Err(damaged(reason).into());
    }
    let list = Catalogue::from_snapshot(read.list);
    let version =
        (list.version() + RESTORE_VERSION_SKIP).max(unix().as_secs() * VERSIONS_PER_SECOND).max(beyond + 1);
    let list = list.restored(version);
    let duties = read.duties.restored(version, RESTORE_VERSION_SKIP);
    let id = LogId::new(openraft::CommittedLeaderId::new(1, 1), 1);
    let members = BTreeMap::from([(1, Member { name: name.to_owned(), replica: replica.to_owned() })]);
    let membership = openraft::Membership::new(vec![BTreeSet::from([1])], members);
    let meta = SnapshotMeta {
        last_log_id: Some(id),
        last_membership: StoredMembership::new(Some(id), membership),
        snapshot_id: format!("restored-{version}"),
    };
    let content = encode_record(&SnapshotContent { meta, catalogue: list.snapshot(), duties });
    let written = content.and_then(|content| {
        state_machine::replace_file(&folder.path, state_machine::SNAPSHOT_FILE, &content)
    });
    written.map_err(io(&folder.path))?;
    folder.write_identity(&Identity { id: 1, name: name.to_owned(), joining: false })?;
    Ok(version)
}
