//! Client of one duty: waits in the queue, renews the lease, and stops in time when the lease ends. Runs the
//! logic of `lease` with real calls and a real clock.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use hyper::{Method, StatusCode};
use shaletrail_registry_protocol::duty::{
    check_lease, Acquire, Candidate, CandidateStatus, Checkpoint, Duty, Fence, HandoverReason, Release,
    Renew, StoredCheckpoint, MAX_EXACT_INTEGER, MAX_HOLD,
};
use shaletrail_registry_protocol::{check_id, Invalid, MAX_REQUEST_BYTES};
use tokio::time::sleep;

use crate::client::{duty_path, ChangeError, RegistryClient};
use crate::clock::boot;
use crate::lease::{LeaseEvent, LeaseState, Time};

/// A renewal of the holder waits at the service for an event for this fraction of the lease, and its timeout
/// is longer by the second fraction. If such a call fails, the lease leaves time for two more.
const HOLD_DIVISOR: u32 = 5;
const CALL_MARGIN_DIVISOR: u32 = 8;
/// Shortest time that a call has beyond its wait at the service.
const MIN_CALL_MARGIN: Duration = Duration::from_millis(100);
/// Longest base of the random pause between two attempts after a failure. For short leases the base is a
/// twentieth of the lease.
const MAX_BASE_PAUSE: Duration = Duration::from_millis(200);
/// Interval at which the clock is read while waiting for a deadline, so that a machine that was suspended
/// does not wait past it.
const CLOCK_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Why a process can't queue for a duty, or can't write the duty's checkpoint.
#[derive(Debug, thiserror::Error)]
pub enum DutyError {
    #[error("{0}")]
    Invalid(#[from] Invalid),
    #[error("{duty}: {why}")]
    Refused { duty: String, why: String },
    /// The lease has ended by this process's own clock; nothing was sent.
    #[error("{0}: the duty is no longer held")]
    NotHeld(String),
    #[error("{duty}: {error}")]
    Change { duty: String, error: ChangeError },
}

/// How the holding of a duty ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseEnd {
    /// An operator asked the holder to stop.
    Asked,
    /// The registry answered that this process no longer holds the duty.
    Lost,
    /// No renewal was answered in time: the lease ended by this process's own clock.
    Expired,
}

impl LeaseEnd {
    /// A description for the log.
    pub fn description(self) -> &'static str {
        match self {
            LeaseEnd::Asked => "stopped on an operator's request; releasing the duty",
            LeaseEnd::Lost => "no longer the holder according to the registry; stopped",
            LeaseEnd::Expired => "no renewal was answered within the lease; stopped",
        }
    }
}

/// A process's candidacy for one duty, from queueing to release.
pub struct DutyClient {
    registry: RegistryClient,
    name: String,
    who: Candidate,
    lease_state: LeaseState,
    /// Whether an acquire call was sent under the current incarnation, answered or not.
    acquire_sent: bool,
    in_queue: bool,
    /// State of the random generator for pauses.
    random_state: u64,
    release_requested: bool,
    /// Endpoints still to be tried in the search for the leader, and when the next search may start.
    leaders_to_try: usize,
    next_leader_search: Time,
    /// Until when this process may act as holder, in milliseconds of the boot-time clock; 0 if it holds
    /// nothing.
    until: Arc<AtomicU64>,
}

impl DutyClient {
    /// `incarnation` distinguishes this candidacy from those of earlier processes, whose work may still run; each
    /// process must draw it at random.
    ///
    /// # Errors
    /// Names the argument that is invalid.
    pub fn new(
        endpoints: Vec<SocketAddr>,
        name: &str,
        id: &str,
        incarnation: u64,
        lease_s: f64,
    ) -> Result<DutyClient, DutyError> {
        check_id(name).map_err(|Invalid(what)| Invalid(format!("duty: {what}")))?;
        let who = Candidate { id: id.to_owned(), incarnation: incarnation % MAX_EXACT_INTEGER };
        who.check()?;
        let lease = check_lease(lease_s)?;
        Ok(DutyClient {
            registry: RegistryClient::new(endpoints),
            name: name.to_owned(),
            lease_state: LeaseState::new(lease),
            acquire_sent: false,
            in_queue: false,
            random_state: who.incarnation | 1,
            who,
            release_requested: false,
            leaders_to_try: 0,
            next_leader_search: Time::ZERO,
            until: Arc::default(),
        })
    }

    /// The duty's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The registry's endpoints, in the order in which they are tried.
    pub fn endpoints(&self) -> &[SocketAddr] {
        self.registry.endpoints()
    }

    /// The fencing number, if this process may act as holder now.
    pub fn holds(&self) -> Option<u64> {
        self.lease_state.holds(boot())
    }

    /// When the holder must begin to stop, and when the command that it runs must be killed, on the boot-time
    /// clock.
    pub fn deadlines(&self) -> Option<(Time, Time)> {
        self.lease_state.deadlines()
    }

    /// The fence that changes made under this lease must carry.
    pub fn fence(&self) -> Option<Fence> {
        self.holds().map(|fence| Fence { duty: self.name.clone(), fence })
    }

    fn pause(&mut self) -> Duration {
        // Marsaglia's xorshift. It only has to spread the retries of different processes.
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        let base = (self.lease_state.lease() / 20).min(MAX_BASE_PAUSE);
        base / 4 + base.mul_f64((self.random_state % 1024) as f64 / 1024.0)
    }

    /// Sends one acquire or renewal, which is answered at an event or after `hold`.
    async fn heartbeat(&mut self, hold: Duration) -> Result<LeaseEvent, ChangeError> {
        let (began, in_queue) = (boot(), self.in_queue);
        let event = self.send_heartbeat(hold).await;
        self.publish_deadline();
        // Only the leader lets a renewal wait. Another replica answers at once, so the wait is made up here
        // to keep the rate of calls.
        let wait_left = hold.saturating_sub(boot().saturating_sub(began));
        if in_queue && self.in_queue && matches!(event, Ok(LeaseEvent::None)) && wait_left > hold / 2 {
            sleep(wait_left).await;
        }
        event
    }

    /// Only the leader lets renewals wait, so this client searches the endpoints for it, at most once per
    /// lease. It thus finds a new leader soon, and if the leader can't be reached from here, that costs one
    /// call per lease.
    fn search_leader(&mut self, direct: bool) {
        let now = boot();
        if now >= self.next_leader_search {
            self.leaders_to_try = self.endpoints().len() - 1;
            self.next_leader_search = now + self.lease_state.lease();
        }
        if !direct && self.leaders_to_try > 0 {
            self.leaders_to_try -= 1;
            self.registry.use_next_endpoint();
        }
    }

    fn publish_deadline(&self) {
        let until = self.holds().and(self.deadlines()).map_or(0, |(until, _)| until.as_millis() as u64);
        self.until.store(until, Ordering::Release);
    }

    async fn send_heartbeat(&mut self, hold: Duration) -> Result<LeaseEvent, ChangeError> {
        let sent = boot();
        let lease = self.lease_state.lease();
        let time = hold + (lease / CALL_MARGIN_DIVISOR).max(MIN_CALL_MARGIN);
        let who = self.who.clone();
        let standing: Result<CandidateStatus, ChangeError> = if self.in_queue {
            let holds = self.lease_state.holds(sent).is_some();
            let request = Renew {
                who,
                hold_ms: hold.as_millis() as u64,
                holds,
                release_requested: self.release_requested,
            };
            let body = serde_json::to_vec(&request)?.into();
            self.registry.send_once(Method::POST, &duty_path(&self.name, "renew"), body, time).await
        } else {
            self.acquire_sent = true;
            let request = Acquire { who, lease_s: lease.as_secs_f64() };
            let body = serde_json::to_vec(&request)?.into();
            self.registry.send_once(Method::POST, &duty_path(&self.name, "acquire"), body, time).await
        };
        match standing {
            Ok(standing) => {
                self.in_queue = true;
                self.release_requested = standing.release_requested;
                self.search_leader(standing.direct);
                Ok(self.lease_state.answer_received(sent, Some(&standing), boot()))
            }
            Err(ChangeError::Refused { status: StatusCode::NOT_FOUND, .. }) => {
                self.in_queue = false;
                Ok(self.lease_state.answer_received(sent, None, boot()))
            }
            Err(e) => Err(e),
        }
    }

    /// Waits in the queue until the duty is held, and returns the fencing number. `say` logs a failure once
    /// while it stays the same.
    ///
    /// # Errors
    /// The registry refused the candidate.
    pub async fn acquire(&mut self, mut say: impl FnMut(String)) -> Result<u64, DutyError> {
        let mut last_logged = String::new();
        let mut hold = Duration::ZERO;
        loop {
            match self.heartbeat(hold).await {
                // The duty was granted, but this process was suspended until the lease had ended.
                Ok(LeaseEvent::Lost) => {
                    self.release(HandoverReason::Lapsed).await;
                    hold = Duration::ZERO;
                }
                Ok(_) => {
                    if let Some(fence) = self.holds() {
                        return Ok(fence);
                    }
                    hold = (self.lease_state.lease() / 4).min(MAX_HOLD);
                    if !last_logged.is_empty() {
                        say(format!("{}: in the queue again", self.name));
                        last_logged.clear();
                    }
                }
                Err(ChangeError::Refused { why, .. }) => {
                    return Err(DutyError::Refused { duty: self.name.clone(), why });
                }
                Err(e) => {
                    hold = Duration::ZERO;
                    let what = e.to_string();
                    if last_logged != what {
                        say(format!("{}: {what}", self.name));
                        last_logged = what;
                    }
                    sleep(self.pause()).await;
                }
            }
        }
    }

    /// Renews the lease until it ends. `renewed` is called with its new deadlines. The future is cancel safe.
    pub async fn keep_renewing(&mut self, mut renewed: impl FnMut(Time, Time)) -> LeaseEnd {
        let mut hold = self.lease_state.lease() / HOLD_DIVISOR;
        loop {
            let Some((until, kill)) = self.deadlines() else { return LeaseEnd::Lost };
            renewed(until, kill);
            let result = tokio::select! {
                result = self.heartbeat(hold.min(MAX_HOLD)) => result,
                () = wait_until(until) => return LeaseEnd::Expired,
            };
            match result {
                Ok(LeaseEvent::StopRequested) => return LeaseEnd::Asked,
                Ok(LeaseEvent::Lost) => {
                    return if boot() >= until { LeaseEnd::Expired } else { LeaseEnd::Lost }
                }
                Ok(LeaseEvent::None | LeaseEvent::Acquired) => hold = self.lease_state.lease() / HOLD_DIVISOR,
                Err(_) => {
                    hold = Duration::ZERO;
                    let pause = self.pause();
                    tokio::select! {
                        () = sleep(pause) => {}
                        () = wait_until(until) => return LeaseEnd::Expired,
                    }
                }
            }
        }
    }

    /// Leaves the queue or gives the duty up. Everything that ran under the lease must have stopped. It is
    /// retried for half a lease only, because the end of the lease has the same effect. The next candidacy
    /// has a new incarnation.
    pub async fn release(&mut self, why: HandoverReason) {
        self.until.store(0, Ordering::Release);
        let request = Release { who: self.who.clone(), why };
        let (path, lease) = (duty_path(&self.name, "release"), self.lease_state.lease());
        if self.acquire_sent {
            let _ = self.registry.send::<Duty>(Method::POST, &path, &request, lease / 2).await;
        }
        self.who.incarnation = (self.who.incarnation + 1) % MAX_EXACT_INTEGER;
        (self.acquire_sent, self.in_queue, self.release_requested) = (false, false, false);
        self.lease_state = LeaseState::new(lease);
        // Handles of the previous lease keep the old deadline, which is now 0: the lease is over.
        self.until = Arc::default();
    }

    /// A handle for the work that is done while this client renews the lease. `None` if the duty is not held.
    pub fn held_duty(&self) -> Option<HeldDuty> {
        let fence = self.fence()?;
        let mut registry = RegistryClient::new(self.endpoints().to_vec());
        registry.set_fence(Some(&fence));
        Some(HeldDuty { fence, lease: self.lease_state.lease(), until: Arc::clone(&self.until), registry })
    }
}

/// A held duty, as the work that is done under it sees it.
pub struct HeldDuty {
    pub fence: Fence,
    lease: Duration,
    until: Arc<AtomicU64>,
    /// Client whose changes carry the fence.
    pub registry: RegistryClient,
}

impl HeldDuty {
    /// Whether this process may still act as holder, by its own clock.
    pub fn holds(&self) -> bool {
        boot().as_millis() < u128::from(self.until.load(Ordering::Acquire))
    }

    fn failed(&self, error: ChangeError) -> DutyError {
        DutyError::Change { duty: self.fence.duty.clone(), error }
    }

    /// Reads the duty's checkpoint.
    ///
    /// # Errors
    /// The failure of the last endpoint.
    pub async fn checkpoint(&mut self) -> Result<StoredCheckpoint, DutyError> {
        let path = duty_path(&self.fence.duty, "checkpoint");
        self.registry.read(&path, MAX_REQUEST_BYTES).await.map_err(|e| self.failed(e))
    }

    /// Replaces version `expect` of the duty's checkpoint. The call is idempotent.
    ///
    /// # Errors
    /// The duty is no longer held, or `expect` is not the current version.
    pub async fn write_checkpoint(&mut self, expect: u64, data: &str) -> Result<StoredCheckpoint, DutyError> {
        if !self.holds() {
            return Err(DutyError::NotHeld(self.fence.duty.clone()));
        }
        let request = Checkpoint { fence: self.fence.fence, expect, data: data.to_owned() };
        let path = duty_path(&self.fence.duty, "checkpoint");
        // The request's body contains the fence, so no fence headers are sent.
        let mut registry = RegistryClient::new(self.registry.endpoints().to_vec());
        let checkpoint = registry.send(Method::PUT, &path, &request, self.lease).await;
        checkpoint.map_err(|error| match error {
            ChangeError::Refused { why, .. } => DutyError::Refused { duty: self.fence.duty.clone(), why },
            error => self.failed(error),
        })
    }
}

/// Runs `work` whenever the duty is held, until `stop` completes. If the lease ends first, the future of
/// `work` is dropped; `work` starts again when the duty is held again.
///
/// # Errors
/// The registry refused the candidate.
pub async fn run_while_held(
    client: &mut DutyClient,
    stop: impl Future<Output = ()>,
    mut say: impl FnMut(String),
    mut work: impl AsyncFnMut(HeldDuty),
) -> Result<(), DutyError> {
    tokio::pin!(stop);
    loop {
        let acquired = tokio::select! {
            acquired = client.acquire(&mut say) => Some(acquired?),
            () = &mut stop => None,
        };
        let Some(held) = acquired.and_then(|_| client.held_duty()) else {
            client.release(HandoverReason::Released).await;
            if acquired.is_none() {
                return Ok(());
            }
            continue;
        };
        say(format!("{}: held with fencing number {}", held.fence.duty, held.fence.fence));
        let ended = tokio::select! {
            ended = client.keep_renewing(|_, _| {}) => Some(ended),
            () = work(held) => None,
            () = &mut stop => {
                client.release(HandoverReason::Released).await;
                return Ok(());
            }
        };
        say(format!("{}: {}", client.name(), ended.map_or("done", LeaseEnd::description)));
        client
            .release(match ended {
                Some(LeaseEnd::Asked) => HandoverReason::Asked,
                Some(_) => HandoverReason::Lapsed,
                None => HandoverReason::Released,
            })
            .await;
    }
}

/// Waits until the boot-time clock reaches `until`.
async fn wait_until(until: Time) {
    loop {
        let left = until.saturating_sub(boot());
        if left.is_zero() {
            return;
        }
        sleep(left.min(CLOCK_CHECK_INTERVAL)).await;
    }
}
