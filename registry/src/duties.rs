//! Duties, as two cores without I/O. [`Duties`] is the replicated state: holders, waiting candidates and
//! fencing numbers, changed by commands in the order of the log and without a clock. [`DutyLeases`] is kept
//! by the leader alone: when it last heard from each candidate. Renewals never reach the log; only an expired
//! lease is proposed, as one command.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use shaletrail_registry_protocol::duty::{
    Candidate, CandidateStatus, Duty as DutyInfo, Handover, HandoverReason, StoredCheckpoint, LEASE_S,
    MAX_CHECKPOINT_BYTES, MAX_DUTIES, MAX_WAITERS,
};

use crate::leases::MonotonicTime;

/// One command about duties in the log. Serialized names must not change and fields are only added. `at_ms`
/// is shown to operators; no decision depends on it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum DutyCommand {
    Acquire {
        name: String,
        who: Candidate,
        lease: Duration,
        at_ms: u64,
    },
    Release {
        name: String,
        who: Candidate,
        why: HandoverReason,
        at_ms: u64,
    },
    /// Removes candidates whose leases expired. A holder is given with its fencing number, a waiting
    /// candidate with 0.
    Lapse {
        #[serde(rename = "gone")]
        lapsed: Vec<LapsedCandidate>,
        at_ms: u64,
    },
    Transfer {
        name: String,
        fence: u64,
        to: Option<String>,
    },
    Checkpoint {
        name: String,
        fence: u64,
        expect: u64,
        data: String,
    },
    Remove {
        name: String,
    },
    /// Resumes granting after a restore. By now every holder that the backup does not contain has stopped.
    #[serde(rename = "Settle")]
    EndGracePeriod {
        at_ms: u64,
    },
}

/// A candidate whose lease on the duty `name` expired. `fence` is 0 unless it held the duty.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LapsedCandidate {
    pub name: String,
    pub who: Candidate,
    pub fence: u64,
}

/// The result of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DutyOutcome {
    Done,
    Kept(StoredCheckpoint),
    Refused(DutyRejection),
}

/// Why a command on a duty was refused. The duty is unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum DutyRejection {
    #[error("no such duty")]
    Unknown,
    #[error("{0} is not in line for it")]
    NotInLine(String),
    #[error("fencing number {fence} is not the holder's: {}", describe_current(*.current))]
    Fenced { fence: u64, current: Option<u64> },
    #[error("checkpoint version {expect} is not the last: that is {current}")]
    Version { expect: u64, current: u64 },
    #[error("a checkpoint of at most {MAX_CHECKPOINT_BYTES} bytes expected, got {0}")]
    TooLong(usize),
    #[error("held or waited for: release it first")]
    InUse,
    #[error("{MAX_DUTIES} duties, the most there may be")]
    TooManyDuties,
    #[error("{MAX_WAITERS} candidates wait, the most that may")]
    TooManyWaiters,
}

fn describe_current(current: Option<u64>) -> String {
    current.map_or("nobody holds it".to_owned(), |fence| format!("that is {fence}"))
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Claim {
    who: Candidate,
    lease: Duration,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Duty {
    holder: Option<Claim>,
    /// The fencing number of the last grant.
    fence: u64,
    since_ms: u64,
    waiters: Vec<Claim>,
    #[serde(rename = "give_way")]
    release_requested: bool,
    #[serde(rename = "checkpoint")]
    checkpoint_version: u64,
    #[serde(rename = "written_under")]
    checkpoint_fence: u64,
    data: String,
    last: Option<Handover>,
}

/// All duties.
///
/// Invariants: each grant has a higher fencing number than every earlier grant of any duty; a duty has at
/// most one holder; a candidate occurs at most once in a duty; a write is accepted only under the holder's
/// fencing number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Duties {
    /// The last fencing number that was assigned.
    fence: u64,
    /// Set by a restore, until `EndGracePeriod`: no duty is granted.
    #[serde(rename = "quiet")]
    grants_paused: bool,
    duties: BTreeMap<String, Duty>,
}

impl Duty {
    fn position(&self, who: &Candidate) -> Option<usize> {
        if self.holder.as_ref().is_some_and(|holder| holder.who == *who) {
            return Some(0);
        }
        let at = self.waiters.iter().position(|claim| claim.who == *who)?;
        Some(at + usize::from(self.holder.is_some()))
    }

    /// Removes the holder and returns its id.
    fn remove_holder(&mut self) -> Option<String> {
        self.release_requested = false;
        self.since_ms = 0;
        self.holder.take().map(|claim| claim.who.id)
    }
}

impl Duties {
    /// Executes one command. This is the only way to change duties.
    pub fn apply(&mut self, command: DutyCommand) -> DutyOutcome {
        let result = match command {
            DutyCommand::Acquire { name, who, lease, at_ms } => self.acquire(name, who, lease, at_ms),
            DutyCommand::Release { name, who, why, at_ms } => self.release(&name, &who, why, at_ms),
            DutyCommand::Lapse { lapsed, at_ms } => {
                self.lapse(&lapsed, at_ms);
                Ok(DutyOutcome::Done)
            }
            DutyCommand::Transfer { name, fence, to } => self.transfer(&name, fence, to),
            DutyCommand::Checkpoint { name, fence, expect, data } => {
                self.write_checkpoint(&name, fence, expect, data)
            }
            DutyCommand::Remove { name } => self.remove(&name),
            DutyCommand::EndGracePeriod { at_ms } => {
                self.grants_paused = false;
                let names: Vec<String> = self.duties.keys().cloned().collect();
                for name in names {
                    self.grant(&name, None, HandoverReason::Free, at_ms);
                }
                Ok(DutyOutcome::Done)
            }
        };
        result.unwrap_or_else(DutyOutcome::Refused)
    }

    fn duty_mut(&mut self, name: &str) -> Result<&mut Duty, DutyRejection> {
        self.duties.get_mut(name).ok_or(DutyRejection::Unknown)
    }

    fn acquire(
        &mut self,
        name: String,
        who: Candidate,
        lease: Duration,
        at_ms: u64,
    ) -> Result<DutyOutcome, DutyRejection> {
        if !self.duties.contains_key(&name) && self.duties.len() >= MAX_DUTIES {
            return Err(DutyRejection::TooManyDuties);
        }
        let duty = self.duties.entry(name.clone()).or_default();
        if duty.position(&who).is_none() {
            if duty.waiters.len() >= MAX_WAITERS {
                return Err(DutyRejection::TooManyWaiters);
            }
            duty.waiters.push(Claim { who, lease });
            self.grant(&name, None, HandoverReason::Free, at_ms);
        }
        Ok(DutyOutcome::Done)
    }

    /// Grants a duty without a holder to the first candidate in the queue.
    fn grant(&mut self, name: &str, from: Option<String>, why: HandoverReason, at_ms: u64) {
        let Some(duty) = self.duties.get_mut(name) else { return };
        if duty.holder.is_some() {
            return;
        }
        let next = (!self.grants_paused && !duty.waiters.is_empty()).then(|| duty.waiters.remove(0));
        let to = next.as_ref().map(|claim| claim.who.id.clone());
        if from.is_some() || to.is_some() {
            duty.last = Some(Handover { from, to, why, at_ms });
        }
        if let Some(claim) = next {
            self.fence += 1;
            assert!(self.fence > duty.fence, "fencing numbers only grow");
            (duty.holder, duty.fence, duty.since_ms) = (Some(claim), self.fence, at_ms);
        }
    }

    /// Idempotent: a candidate that is not in the queue has left it already.
    fn release(
        &mut self,
        name: &str,
        who: &Candidate,
        why: HandoverReason,
        at_ms: u64,
    ) -> Result<DutyOutcome, DutyRejection> {
        let duty = self.duty_mut(name)?;
        duty.waiters.retain(|claim| claim.who != *who);
        if duty.holder.as_ref().is_some_and(|holder| holder.who == *who) {
            let from = duty.remove_holder();
            self.grant(name, from, why, at_ms);
        }
        Ok(DutyOutcome::Done)
    }

    /// Removes waiting candidates first, so that a duty does not pass to one that is known to be gone.
    fn lapse(&mut self, lapsed: &[LapsedCandidate], at_ms: u64) {
        for candidate in lapsed.iter().filter(|candidate| candidate.fence == 0) {
            if let Some(duty) = self.duties.get_mut(&candidate.name) {
                duty.waiters.retain(|claim| claim.who != candidate.who);
            }
        }
        for candidate in lapsed.iter().filter(|candidate| candidate.fence > 0) {
            let Some(duty) = self.duties.get_mut(&candidate.name) else { continue };
            let holds = duty.holder.as_ref().is_some_and(|holder| holder.who == candidate.who);
            if holds && duty.fence == candidate.fence {
                let from = duty.remove_holder();
                self.grant(&candidate.name, from, HandoverReason::Lapsed, at_ms);
            }
        }
    }

    fn transfer(&mut self, name: &str, fence: u64, to: Option<String>) -> Result<DutyOutcome, DutyRejection> {
        self.check_fence(name, fence)?;
        let duty = self.duty_mut(name)?;
        if let Some(id) = to {
            if duty.holder.as_ref().is_some_and(|holder| holder.who.id == id) {
                return Ok(DutyOutcome::Done);
            }
            let at = duty.waiters.iter().position(|claim| claim.who.id == id);
            let first = duty.waiters.remove(at.ok_or(DutyRejection::NotInLine(id))?);
            duty.waiters.insert(0, first);
        }
        duty.release_requested = true;
        Ok(DutyOutcome::Done)
    }

    fn write_checkpoint(
        &mut self,
        name: &str,
        fence: u64,
        expect: u64,
        data: String,
    ) -> Result<DutyOutcome, DutyRejection> {
        if data.len() > MAX_CHECKPOINT_BYTES {
            return Err(DutyRejection::TooLong(data.len()));
        }
        self.check_fence(name, fence)?;
        let duty = self.duty_mut(name)?;
        let repeat =
            duty.checkpoint_version == expect + 1 && duty.checkpoint_fence == fence && duty.data == data;
        if !repeat {
            if duty.checkpoint_version != expect {
                return Err(DutyRejection::Version { expect, current: duty.checkpoint_version });
            }
            duty.checkpoint_version += 1;
            (duty.checkpoint_fence, duty.data) = (fence, data);
        }
        Ok(DutyOutcome::Kept(duty.stored_checkpoint()))
    }

    fn remove(&mut self, name: &str) -> Result<DutyOutcome, DutyRejection> {
        if self.duties.get(name).is_some_and(|duty| duty.holder.is_some() || !duty.waiters.is_empty()) {
            return Err(DutyRejection::InUse);
        }
        self.duties.remove(name);
        Ok(DutyOutcome::Done)
    }

    /// Checks that a change under this fencing number is made by the current holder.
    ///
    /// # Errors
    /// The number is a former holder's, or nobody holds the duty.
    pub fn check_fence(&self, name: &str, fence: u64) -> Result<(), DutyRejection> {
        let duty = self.duties.get(name).ok_or(DutyRejection::Unknown)?;
        let current = duty.holder.as_ref().map(|_| duty.fence);
        if current == Some(fence) {
            return Ok(());
        }
        Err(DutyRejection::Fenced { fence, current })
    }

    /// The candidate's status; `None` if it is not in the queue.
    pub fn status(&self, name: &str, who: &Candidate) -> Option<CandidateStatus> {
        let duty = self.duties.get(name)?;
        let candidates_ahead = duty.position(who)?;
        let holds = duty.holder.as_ref().is_some_and(|holder| holder.who == *who);
        Some(CandidateStatus {
            holds,
            fence: if holds { duty.fence } else { 0 },
            release_requested: holds && duty.release_requested,
            candidates_ahead,
            checkpoint_version: duty.checkpoint_version,
            direct: false,
        })
    }

    /// The duty's stored checkpoint; `None` if there is no such duty.
    pub fn stored_checkpoint(&self, name: &str) -> Option<StoredCheckpoint> {
        self.duties.get(name).map(Duty::stored_checkpoint)
    }

    /// The duty as operators see it, with its holder and queue; `None` if there is no such duty.
    pub fn describe(&self, name: &str) -> Option<DutyInfo> {
        let duty = self.duties.get(name)?;
        Some(DutyInfo {
            name: name.to_owned(),
            holder: duty.holder.as_ref().map(|claim| claim.who.id.clone()),
            fence: duty.fence,
            since_ms: duty.since_ms,
            lease_ms: duty.holder.as_ref().map_or(0, |claim| claim.lease.as_millis() as u64),
            waiters: duty.waiters.iter().map(|claim| claim.who.id.clone()).collect(),
            release_requested: duty.release_requested,
            checkpoint_version: duty.checkpoint_version,
            last: duty.last.clone(),
        })
    }

    /// The names of all duties, in ascending order.
    pub fn names(&self) -> impl Iterator<Item = &String> {
        self.duties.keys()
    }

    /// The number of duties, including those that nobody holds.
    pub fn len(&self) -> usize {
        self.duties.len()
    }

    /// Whether there are no duties at all.
    pub fn is_empty(&self) -> bool {
        self.duties.is_empty()
    }

    /// Whether no duty is granted, because the grace period after a restore has not ended.
    pub fn are_grants_paused(&self) -> bool {
        self.grants_paused
    }

    /// Holders with their fencing numbers, and waiting candidates with 0.
    fn claims(&self) -> impl Iterator<Item = (&String, &Claim, u64)> {
        self.duties.iter().flat_map(|(name, duty)| {
            let holder = duty.holder.iter().map(move |claim| (name, claim, duty.fence));
            holder.chain(duty.waiters.iter().map(move |claim| (name, claim, 0)))
        })
    }

    /// Continues the duties of a backup with fencing numbers above every one that was ever assigned. Nothing
    /// is granted until all holders that the backup does not contain have stopped for certain.
    pub fn restored(mut self, fence: u64, min_skip: u64) -> Self {
        self.fence = fence.max(self.fence + min_skip);
        self.grants_paused = true;
        self
    }
}

impl Duty {
    fn stored_checkpoint(&self) -> StoredCheckpoint {
        StoredCheckpoint {
            version: self.checkpoint_version,
            fence: self.checkpoint_fence,
            data: self.data.clone(),
        }
    }
}

/// The result of a renewal at this leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyRenewal {
    Recorded,
    /// The candidate is not in the queue.
    Unknown,
    /// The leader has proposed the expiry of this lease, and it may be committed at any time. The answer must
    /// not let the candidate believe that it still holds the duty.
    Lapsing,
}

/// When this leader last heard from each candidate.
///
/// Invariants: the expiry of a lease is proposed no sooner than one full lease after the last renewal
/// recorded here; no renewal is recorded while a proposed expiry may still remove the candidate.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DutyLeases {
    started: MonotonicTime,
    last_heard: BTreeMap<(String, Candidate), MonotonicTime>,
    proposed: BTreeSet<LapsedCandidate>,
}

impl DutyLeases {
    /// Starts a new term of leadership: each candidate in the queue gets a full lease.
    pub fn new(now: MonotonicTime) -> Self {
        DutyLeases { started: now, last_heard: BTreeMap::new(), proposed: BTreeSet::new() }
    }

    /// Records `now` as last heard, if the candidate is in the queue and its expiry is not proposed.
    pub fn renew(&mut self, name: &str, who: &Candidate, duties: &Duties, now: MonotonicTime) -> DutyRenewal {
        if duties.status(name, who).is_none() {
            return DutyRenewal::Unknown;
        }
        if self.proposed.iter().any(|lapsed| lapsed.name == name && lapsed.who == *who) {
            return DutyRenewal::Lapsing;
        }
        self.last_heard.insert((name.to_owned(), who.clone()), now);
        DutyRenewal::Recorded
    }

    /// Returns the candidates whose expiry is to be proposed. Called several times within one lease.
    pub fn take_expired(&mut self, duties: &Duties, now: MonotonicTime) -> Vec<LapsedCandidate> {
        // Drop proposals that were committed, and those that no longer apply: a candidate proposed as waiting
        // may hold the duty since then.
        self.proposed.retain(|lapsed| {
            let status = duties.status(&lapsed.name, &lapsed.who);
            status.is_some_and(|status| status.fence == lapsed.fence)
        });
        let (mut lapsed, mut last_heard) = (Vec::new(), BTreeMap::new());
        for (name, claim, fence) in duties.claims() {
            let key = (name.clone(), claim.who.clone());
            // A new candidate counts as heard now. Candidates that left the queue are dropped.
            let at = self.last_heard.get(&key).copied().unwrap_or(now);
            if now.saturating_sub(at) >= claim.lease {
                lapsed.push(LapsedCandidate { name: name.clone(), who: claim.who.clone(), fence });
            }
            last_heard.insert(key, at);
        }
        self.last_heard = last_heard;
        lapsed.retain(|candidate| self.proposed.insert(candidate.clone()));
        lapsed
    }

    /// The proposal failed for certain, so the candidates may renew again.
    pub fn proposal_failed(&mut self, lapsed: &[LapsedCandidate]) {
        for candidate in lapsed {
            self.proposed.remove(candidate);
        }
    }

    /// Whether granting may resume after a restore. It may once the longest lease has passed since this
    /// leader began: no holder unknown to the backup can still be active then.
    pub fn grace_period_over(&self, duties: &Duties, now: MonotonicTime) -> bool {
        duties.are_grants_paused()
            && now.saturating_sub(self.started) >= Duration::from_secs_f64(*LEASE_S.end())
    }
}
