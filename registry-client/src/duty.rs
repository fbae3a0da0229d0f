//! Holding a duty: a place in line, signs of life, and the end of a tenure in time. Gives `tenure` sockets and a clock.

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

use crate::changes::{duty_path, ChangeError, Changes};
use crate::clock::boot;
use crate::tenure::{News, Tenure, Time};

/// A holder lets its renewals wait for news so long, and gives each call so much more: two more tries are left in a
/// lease after one that brought nothing.
const HOLD_PART: u32 = 5;
const CALL_PART: u32 = 8;
/// Least time for a call.
const LEAST_CALL: Duration = Duration::from_millis(100);
/// Most time between two tries after trouble; a lease's hundredth below it.
const LONGEST_PAUSE: Duration = Duration::from_millis(200);
/// How often the clock is looked at while time passes: a machine that was suspended must not wait on.
const LOOK: Duration = Duration::from_millis(50);

/// Why a duty can't be stood in line for, or its data not be written.
#[derive(Debug, thiserror::Error)]
pub enum DutyError {
    #[error("{0}")]
    Wrong(#[from] Invalid),
    #[error("{duty}: {why}")]
    Refused { duty: String, why: String },
    /// The own clock says that the tenure is over; nothing was put.
    #[error("{0}: not held any more")]
    Over(String),
    #[error("{duty}: {error}")]
    Change { duty: String, error: ChangeError },
}

/// How a tenure ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// An operator asks for it.
    Asked,
    /// The registry says that it is over.
    Lost,
    /// No answer in time: the own clock says so.
    Clock,
}

impl Ended {
    pub fn words(self) -> &'static str {
        match self {
            Ended::Asked => "stopped on request, and handed over",
            Ended::Lost => "the registry has passed it on; stopped",
            Ended::Clock => "no answer within the lease; stopped",
        }
    }
}

/// A place in the line for one duty.
pub struct Seat {
    changes: Changes,
    name: String,
    who: Candidate,
    tenure: Tenure,
    /// An acquire was put in this life, whether or not an answer came.
    asked: bool,
    joined: bool,
    /// Draws pauses.
    chance: u64,
    release_requested: bool,
    /// Endpoints still to be tried for the leader, and when that begins anew.
    seek: usize,
    seek_again: Time,
    /// The end of what this process may believe, in milliseconds of the boot-time clock; 0 where it holds nothing.
    until: Arc<AtomicU64>,
}

impl Seat {
    /// `incarnation` is drawn anew for each process: what an earlier one started may still run.
    ///
    /// # Errors
    /// Names what is out of bounds.
    pub fn new(
        endpoints: Vec<SocketAddr>,
        name: &str,
        id: &str,
        incarnation: u64,
        lease_s: f64,
    ) -> Result<Seat, DutyError> {
        check_id(name).map_err(|Invalid(what)| Invalid(format!("duty: {what}")))?;
        let who = Candidate { id: id.to_owned(), incarnation: incarnation % MAX_EXACT_INTEGER };
        who.check()?;
        let lease = check_lease(lease_s)?;
        Ok(Seat {
            changes: Changes::new(endpoints),
            name: name.to_owned(),
            tenure: Tenure::new(lease),
            asked: false,
            joined: false,
            chance: who.incarnation | 1,
            who,
            release_requested: false,
            seek: 0,
            seek_again: Time::ZERO,
            until: Arc::default(),
        })
    }

    pub fn name(&self) -> &str {
        &self.name
    }

    pub fn endpoints(&self) -> &[SocketAddr] {
        self.changes.endpoints()
    }

    /// The fencing number, for as long as this process may act.
    pub fn holds(&self) -> Option<u64> {
        self.tenure.holds(boot())
    }

    /// When it has to have begun to stop, and when what it runs is to be killed, on the boot-time clock.
    pub fn ends(&self) -> Option<(Time, Time)> {
        self.tenure.ends()
    }

    /// What every change of this tenure carries.
    pub fn fence(&self) -> Option<Fence> {
        self.holds().map(|fence| Fence { duty: self.name.clone(), fence })
    }

    fn pause(&mut self) -> Duration {
        // Marsaglia's xorshift: spread is all that is wanted of it.
        self.chance ^= self.chance << 13;
        self.chance ^= self.chance >> 7;
        self.chance ^= self.chance << 17;
        let most = (self.tenure.lease() / 20).min(LONGEST_PAUSE);
        most / 4 + most.mul_f64((self.chance % 1024) as f64 / 1024.0)
    }

    /// One sign of life, answered at news or after `hold`.
    async fn sign(&mut self, hold: Duration) -> Result<News, ChangeError> {
        let (began, joined) = (boot(), self.joined);
        let news = self.put_sign(hold).await;
        self.show_until();
        // Not let wait there, it waits here: what it asks for is the same as often.
        let early = hold.saturating_sub(boot().saturating_sub(began));
        if joined && self.joined && matches!(news, Ok(News::None)) && early > hold / 2 {
            sleep(early).await;
        }
        news
    }

    /// Only the leader lets renewals wait; it is looked for among the endpoints, once each lease: after a succession
    /// soon, and where it is cut off from here at the cost of one call.
    fn seek(&mut self, direct: bool) {
        let now = boot();
        if now >= self.seek_again {
            self.seek = self.endpoints().len() - 1;
            self.seek_again = now + self.tenure.lease();
        }
        if !direct && self.seek > 0 {
            self.seek -= 1;
            self.changes.move_on();
        }
    }

    fn show_until(&self) {
        let until = self.holds().and(self.ends()).map_or(0, |(until, _)| until.as_millis() as u64);
        self.until.store(until, Ordering::Release);
    }

    async fn put_sign(&mut self, hold: Duration) -> Result<News, ChangeError> {
        let sent = boot();
        let lease = self.tenure.lease();
        let time = hold + (lease / CALL_PART).max(LEAST_CALL);
        let who = self.who.clone();
        let standing: Result<CandidateStatus, ChangeError> = if self.joined {
            let holds = self.tenure.holds(sent).is_some();
            let question = Renew {
                who,
                hold_ms: hold.as_millis() as u64,
                holds,
                release_requested: self.release_requested,
            };
            let body = serde_json::to_vec(&question)?.into();
            self.changes.once(Method::POST, &duty_path(&self.name, "renew"), body, time).await
        } else {
            self.asked = true;
            let question = Acquire { who, lease_s: lease.as_secs_f64() };
            let body = serde_json::to_vec(&question)?.into();
            self.changes.once(Method::POST, &duty_path(&self.name, "acquire"), body, time).await
        };
        match standing {
            Ok(standing) => {
                self.joined = true;
                self.release_requested = standing.release_requested;
                self.seek(standing.direct);
                Ok(self.tenure.told(sent, Some(&standing), boot()))
            }
            Err(ChangeError::Refused { status: StatusCode::NOT_FOUND, .. }) => {
                self.joined = false;
                Ok(self.tenure.told(sent, None, boot()))
            }
            Err(e) => Err(e),
        }
    }

    /// Waits in line until the duty is held. `say` is told of trouble once for each kind.
    ///
    /// # Errors
    /// Where the registry refuses the candidate.
    pub async fn win(&mut self, mut say: impl FnMut(String)) -> Result<u64, DutyError> {
        let mut said = String::new();
        let mut hold = Duration::ZERO;
        loop {
            match self.sign(hold).await {
                // Won, and stood still until that was over before it could act on it.
                Ok(News::Lost) => {
                    self.release(HandoverReason::Lapsed).await;
                    hold = Duration::ZERO;
                }
                Ok(_) => {
                    if let Some(fence) = self.holds() {
                        return Ok(fence);
                    }
                    hold = (self.tenure.lease() / 4).min(MAX_HOLD);
                    if !said.is_empty() {
                        say(format!("{}: in line again", self.name));
                        said.clear();
                    }
                }
                Err(ChangeError::Refused { why, .. }) => {
                    return Err(DutyError::Refused { duty: self.name.clone(), why });
                }
                Err(e) => {
                    hold = Duration::ZERO;
                    let what = e.to_string();
                    if said != what {
                        say(format!("{}: {what}", self.name));
                        said = what;
                    }
                    sleep(self.pause()).await;
                }
            }
        }
    }

    /// Renews until the tenure ends; `renewed` is told its new ends. May be dropped and called again.
    pub async fn keep(&mut self, mut renewed: impl FnMut(Time, Time)) -> Ended {
        let mut hold = self.tenure.lease() / HOLD_PART;
        loop {
            let Some((until, kill)) = self.ends() else { return Ended::Lost };
            renewed(until, kill);
            let told = tokio::select! {
                told = self.sign(hold.min(MAX_HOLD)) => told,
                () = passed(until) => return Ended::Clock,
            };
            match told {
                Ok(News::GiveWay) => return Ended::Asked,
                Ok(News::Lost) => return if boot() >= until { Ended::Clock } else { Ended::Lost },
                Ok(News::None | News::Won) => hold = self.tenure.lease() / HOLD_PART,
                Err(_) => {
                    hold = Duration::ZERO;
                    let pause = self.pause();
                    tokio::select! {
                        () = sleep(pause) => {}
                        () = passed(until) => return Ended::Clock,
                    }
                }
            }
        }
    }

    /// Out of the line; whatever ran under the tenure has stopped. Tried for as long as it is of use: the lease does
    /// the same. The next candidacy is another life.
    pub async fn release(&mut self, why: HandoverReason) {
        self.until.store(0, Ordering::Release);
        let question = Release { who: self.who.clone(), why };
        let (path, lease) = (duty_path(&self.name, "release"), self.tenure.lease());
        if self.asked {
            let _ = self.changes.put::<Duty>(Method::POST, &path, &question, lease / 2).await;
        }
        self.who.incarnation = (self.who.incarnation + 1) % MAX_EXACT_INTEGER;
        (self.asked, self.joined, self.release_requested) = (false, false, false);
        self.tenure = Tenure::new(lease);
        // Handles of the last tenure keep what they have: that it is over.
        self.until = Arc::default();
    }

    /// What a holder's work goes by, beside the renewals.
    pub fn held(&self) -> Option<Held> {
        let fence = self.fence()?;
        let mut changes = Changes::new(self.endpoints().to_vec());
        changes.under(Some(&fence));
        Some(Held { fence, lease: self.tenure.lease(), until: Arc::clone(&self.until), changes })
    }
}

/// A tenure as the work that is done in it sees it.
pub struct Held {
    pub fence: Fence,
    lease: Duration,
    until: Arc<AtomicU64>,
    /// Its changes carry the fence.
    pub changes: Changes,
}

impl Held {
    /// Whether this process may still act, by its own clock.
    pub fn holds(&self) -> bool {
        boot().as_millis() < u128::from(self.until.load(Ordering::Acquire))
    }

    fn failed(&self, error: ChangeError) -> DutyError {
        DutyError::Change { duty: self.fence.duty.clone(), error }
    }

    /// What the last holder left.
    ///
    /// # Errors
    /// The last endpoint's trouble.
    pub async fn left(&mut self) -> Result<StoredCheckpoint, DutyError> {
        let path = duty_path(&self.fence.duty, "checkpoint");
        self.changes.read(&path, MAX_REQUEST_BYTES).await.map_err(|e| self.failed(e))
    }

    /// Leaves this in place of the version `expect`. May be put twice.
    ///
    /// # Errors
    /// An old holder, or another version than the last.
    pub async fn leave(&mut self, expect: u64, data: &str) -> Result<StoredCheckpoint, DutyError> {
        if !self.holds() {
            return Err(DutyError::Over(self.fence.duty.clone()));
        }
        let question = Checkpoint { fence: self.fence.fence, expect, data: data.to_owned() };
        let path = duty_path(&self.fence.duty, "checkpoint");
        // The call itself names its fence, and is no change of the list.
        let mut changes = Changes::new(self.changes.endpoints().to_vec());
        let kept = changes.put(Method::PUT, &path, &question, self.lease).await;
        kept.map_err(|error| match error {
            ChangeError::Refused { why, .. } => DutyError::Refused { duty: self.fence.duty.clone(), why },
            error => self.failed(error),
        })
    }
}

/// Does some work whenever the duty is held, until `stop`. Work that the tenure ends under is dropped where it waits; it is
/// begun anew under the next one.
///
/// # Errors
/// Where the registry refuses the candidate.
pub async fn serve(
    seat: &mut Seat,
    stop: impl Future<Output = ()>,
    mut say: impl FnMut(String),
    mut work: impl AsyncFnMut(Held),
) -> Result<(), DutyError> {
    tokio::pin!(stop);
    loop {
        let won = tokio::select! {
            won = seat.win(&mut say) => Some(won?),
            () = &mut stop => None,
        };
        let Some(held) = won.and_then(|_| seat.held()) else {
            seat.release(HandoverReason::Released).await;
            if won.is_none() {
                return Ok(());
            }
            continue;
        };
        say(format!("{}: held under fence {}", held.fence.duty, held.fence.fence));
        let ended = tokio::select! {
            ended = seat.keep(|_, _| {}) => Some(ended),
            () = work(held) => None,
            () = &mut stop => {
                seat.release(HandoverReason::Released).await;
                return Ok(());
            }
        };
        say(format!("{}: {}", seat.name(), ended.map_or("done", Ended::words)));
        seat.release(match ended {
            Some(Ended::Asked) => HandoverReason::Asked,
            Some(_) => HandoverReason::Lapsed,
            None => HandoverReason::Released,
        })
        .await;
    }
}

/// Until the boot-time clock shows this.
async fn passed(until: Time) {
    loop {
        let left = until.saturating_sub(boot());
        if left.is_zero() {
            return;
        }
        sleep(left.min(LOOK)).await;
    }
}
