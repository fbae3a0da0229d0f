//! The pure cores of duties. [`Duties`] is what the replicas agree on: who holds, who waits, which fencing number;
//! changed by commands in the log's order, without a clock. [`Signs`] is the leader's own: who was heard when. What
//! silence comes to is one command; signs of life never reach the log.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use shaletrail_registry_protocol::duty::{
    Candidate, Duty as Told, HandOver, Kept, Standing, Why, LEASE_S, LONGEST_CHECKPOINT, MOST_DUTIES,
    MOST_WAITERS,
};

use crate::leases::Time;

/// One entry of the log about duties. Names stay and fields are only added. `at_ms` is a label for operators.
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
        why: Why,
        at_ms: u64,
    },
    /// These were silent for their lease. A holder is named with its fencing number, a waiter with 0.
    Lapse {
        gone: Vec<Gone>,
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
    /// Whoever held without being known from the backup has stopped by now.
    Settle {
        at_ms: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Gone {
    pub name: String,
    pub who: Candidate,
    pub fence: u64,
}

/// What a command came to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DutyOutcome {
    Done,
    Kept(Kept),
    Refused(DutyRefused),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum DutyRefused {
    #[error("no such duty")]
    Unknown,
    #[error("{0} is not in line for it")]
    NotInLine(String),
    #[error("fencing number {fence} is not the holder's: {}", held(*.current))]
    Fenced { fence: u64, current: Option<u64> },
    #[error("checkpoint version {expect} is not the last: that is {current}")]
    Version { expect: u64, current: u64 },
    #[error("a checkpoint of at most {LONGEST_CHECKPOINT} bytes expected, got {0}")]
    TooLong(usize),
    #[error("held or waited for: release it first")]
    InUse,
    #[error("{MOST_DUTIES} duties, the most there may be")]
    TooManyDuties,
    #[error("{MOST_WAITERS} candidates wait, the most that may")]
    TooManyWaiters,
}

fn held(current: Option<u64>) -> String {
    current.map_or("nobody holds it".to_owned(), |fence| format!("that is {fence}"))
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Place {
    who: Candidate,
    lease: Duration,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Duty {
    holder: Option<Place>,
    /// Of the last grant.
    fence: u64,
    since_ms: u64,
    waiters: Vec<Place>,
    give_way: bool,
    checkpoint: u64,
    written_under: u64,
    data: String,
    last: Option<HandOver>,
}

/// All duties. Its invariants: every grant has a fencing number above all earlier ones, of whatever duty; a duty has
/// one holder at the most; a candidate stands in one place of a duty; only the holder's fencing number writes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Duties {
    /// The last fencing number given.
    fence: u64,
    /// Restored and not settled: nothing is granted.
    quiet: bool,
    duties: BTreeMap<String, Duty>,
}

impl Duty {
    fn place(&self, who: &Candidate) -> Option<usize> {
        if self.holder.as_ref().is_some_and(|holder| holder.who == *who) {
            return Some(0);
        }
        let at = self.waiters.iter().position(|place| place.who == *who)?;
        Some(at + usize::from(self.holder.is_some()))
    }

    /// Takes the holder away.
    fn vacate(&mut self) -> Option<String> {
        self.give_way = false;
        self.since_ms = 0;
        self.holder.take().map(|place| place.who.id)
    }
}

impl Duties {
    /// The one way in which duties change.
    pub fn apply(&mut self, command: DutyCommand) -> DutyOutcome {
        let done = match command {
            DutyCommand::Acquire { name, who, lease, at_ms } => self.acquire(name, who, lease, at_ms),
            DutyCommand::Release { name, who, why, at_ms } => self.release(&name, &who, why, at_ms),
            DutyCommand::Lapse { gone, at_ms } => {
                self.lapse(&gone, at_ms);
                Ok(DutyOutcome::Done)
            }
            DutyCommand::Transfer { name, fence, to } => self.transfer(&name, fence, to),
            DutyCommand::Checkpoint { name, fence, expect, data } => {
                self.checkpoint(&name, fence, expect, data)
            }
            DutyCommand::Remove { name } => self.remove(&name),
            DutyCommand::Settle { at_ms } => {
                self.quiet = false;
                let names: Vec<String> = self.duties.keys().cloned().collect();
                for name in names {
                    self.grant(&name, None, Why::Free, at_ms);
                }
                Ok(DutyOutcome::Done)
            }
        };
        done.unwrap_or_else(DutyOutcome::Refused)
    }

    fn find(&mut self, name: &str) -> Result<&mut Duty, DutyRefused> {
        self.duties.get_mut(name).ok_or(DutyRefused::Unknown)
    }

    fn acquire(
        &mut self,
        name: String,
        who: Candidate,
        lease: Duration,
        at_ms: u64,
    ) -> Result<DutyOutcome, DutyRefused> {
        if !self.duties.contains_key(&name) && self.duties.len() >= MOST_DUTIES {
            return Err(DutyRefused::TooManyDuties);
        }
        let duty = self.duties.entry(name.clone()).or_default();
        if duty.place(&who).is_none() {
            if duty.waiters.len() >= MOST_WAITERS {
                return Err(DutyRefused::TooManyWaiters);
            }
            duty.waiters.push(Place { who, lease });
            self.grant(&name, None, Why::Free, at_ms);
        }
        Ok(DutyOutcome::Done)
    }

    /// Gives a duty that nobody holds to the first in line.
    fn grant(&mut self, name: &str, from: Option<String>, why: Why, at_ms: u64) {
        let Some(duty) = self.duties.get_mut(name) else { return };
        if duty.holder.is_some() {
            return;
        }
        let next = (!self.quiet && !duty.waiters.is_empty()).then(|| duty.waiters.remove(0));
        let to = next.as_ref().map(|place| place.who.id.clone());
        if from.is_some() || to.is_some() {
            duty.last = Some(HandOver { from, to, why, at_ms });
        }
        if let Some(place) = next {
            self.fence += 1;
            assert!(self.fence > duty.fence, "fencing numbers only grow");
            (duty.holder, duty.fence, duty.since_ms) = (Some(place), self.fence, at_ms);
        }
    }

    /// Whoever is not in line has left it already.
    fn release(
        &mut self,
        name: &str,
        who: &Candidate,
        why: Why,
        at_ms: u64,
    ) -> Result<DutyOutcome, DutyRefused> {
        let duty = self.find(name)?;
        duty.waiters.retain(|place| place.who != *who);
        if duty.holder.as_ref().is_some_and(|holder| holder.who == *who) {
            let from = duty.vacate();
            self.grant(name, from, why, at_ms);
        }
        Ok(DutyOutcome::Done)
    }

    /// Waiters first: a duty does not pass to one that is known to be gone.
    fn lapse(&mut self, gone: &[Gone], at_ms: u64) {
        for one in gone.iter().filter(|one| one.fence == 0) {
            if let Some(duty) = self.duties.get_mut(&one.name) {
                duty.waiters.retain(|place| place.who != one.who);
            }
        }
        for one in gone.iter().filter(|one| one.fence > 0) {
            let Some(duty) = self.duties.get_mut(&one.name) else { continue };
            let holds = duty.holder.as_ref().is_some_and(|holder| holder.who == one.who);
            if holds && duty.fence == one.fence {
                let from = duty.vacate();
                self.grant(&one.name, from, Why::Lapsed, at_ms);
            }
        }
    }

    fn transfer(&mut self, name: &str, fence: u64, to: Option<String>) -> Result<DutyOutcome, DutyRefused> {
        self.guard(name, fence)?;
        let duty = self.find(name)?;
        if let Some(id) = to {
            if duty.holder.as_ref().is_some_and(|holder| holder.who.id == id) {
                return Ok(DutyOutcome::Done);
            }
            let at = duty.waiters.iter().position(|place| place.who.id == id);
            let first = duty.waiters.remove(at.ok_or(DutyRefused::NotInLine(id))?);
            duty.waiters.insert(0, first);
        }
        duty.give_way = true;
        Ok(DutyOutcome::Done)
    }

    fn checkpoint(
        &mut self,
        name: &str,
        fence: u64,
        expect: u64,
        data: String,
    ) -> Result<DutyOutcome, DutyRefused> {
        if data.len() > LONGEST_CHECKPOINT {
            return Err(DutyRefused::TooLong(data.len()));
        }
        self.guard(name, fence)?;
        let duty = self.find(name)?;
        let repeat = duty.checkpoint == expect + 1 && duty.written_under == fence && duty.data == data;
        if !repeat {
            if duty.checkpoint != expect {
                return Err(DutyRefused::Version { expect, current: duty.checkpoint });
            }
            duty.checkpoint += 1;
            (duty.written_under, duty.data) = (fence, data);
        }
        Ok(DutyOutcome::Kept(duty.kept()))
    }

    fn remove(&mut self, name: &str) -> Result<DutyOutcome, DutyRefused> {
        if self.duties.get(name).is_some_and(|duty| duty.holder.is_some() || !duty.waiters.is_empty()) {
            return Err(DutyRefused::InUse);
        }
        self.duties.remove(name);
        Ok(DutyOutcome::Done)
    }

    /// Whether a change under this fencing number is the holder's.
    ///
    /// # Errors
    /// An old holder's, or nobody's.
    pub fn guard(&self, name: &str, fence: u64) -> Result<(), DutyRefused> {
        let duty = self.duties.get(name).ok_or(DutyRefused::Unknown)?;
        let current = duty.holder.as_ref().map(|_| duty.fence);
        if current == Some(fence) {
            return Ok(());
        }
        Err(DutyRefused::Fenced { fence, current })
    }

    /// How a candidate stands; none where it is not in line.
    pub fn standing(&self, name: &str, who: &Candidate) -> Option<Standing> {
        let duty = self.duties.get(name)?;
        let before = duty.place(who)?;
        let holds = duty.holder.as_ref().is_some_and(|holder| holder.who == *who);
        Some(Standing {
            holds,
            fence: if holds { duty.fence } else { 0 },
            give_way: holds && duty.give_way,
            before,
            checkpoint_version: duty.checkpoint,
            direct: false,
        })
    }

    pub fn kept(&self, name: &str) -> Option<Kept> {
        self.duties.get(name).map(Duty::kept)
    }

    pub fn show(&self, name: &str) -> Option<Told> {
        let duty = self.duties.get(name)?;
        Some(Told {
            name: name.to_owned(),
            holder: duty.holder.as_ref().map(|place| place.who.id.clone()),
            fence: duty.fence,
            since_ms: duty.since_ms,
            lease_ms: duty.holder.as_ref().map_or(0, |place| place.lease.as_millis() as u64),
            waiters: duty.waiters.iter().map(|place| place.who.id.clone()).collect(),
            give_way: duty.give_way,
            checkpoint_version: duty.checkpoint,
            last: duty.last.clone(),
        })
    }

    pub fn names(&self) -> impl Iterator<Item = &String> {
        self.duties.keys()
    }

    pub fn len(&self) -> usize {
        self.duties.len()
    }

    pub fn is_empty(&self) -> bool {
        self.duties.is_empty()
    }

    pub fn is_quiet(&self) -> bool {
        self.quiet
    }

    /// Everybody in line, with the fencing number of those who hold.
    fn line(&self) -> impl Iterator<Item = (&String, &Place, u64)> {
        self.duties.iter().flat_map(|(name, duty)| {
            let holder = duty.holder.iter().map(move |place| (name, place, duty.fence));
            holder.chain(duty.waiters.iter().map(move |place| (name, place, 0)))
        })
    }

    /// Those of a backup go on with fencing numbers beyond every one that was given, and nothing is granted until
    /// holders that the backup does not know have surely stopped.
    pub fn restored(mut self, fence: u64, leap: u64) -> Self {
        self.fence = fence.max(self.fence + leap);
        self.quiet = true;
        self
    }
}

impl Duty {
    fn kept(&self) -> Kept {
        Kept { version: self.checkpoint, fence: self.written_under, data: self.data.clone() }
    }
}

/// What a sign of life came to at this leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    Noted,
    /// It is not in line.
    Unknown,
    /// Its lapse is proposed, and may be agreed on at any time: what it is told must not prolong its belief.
    Lapsing,
}

/// When this leader heard from whom. Invariant: nobody is proposed to lapse sooner than a full lease after the last
/// sign that was noted here, and no sign is noted of whom a proposed lapse may still take.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Signs {
    began: Time,
    heard: BTreeMap<(String, Candidate), Time>,
    lapsing: BTreeSet<Gone>,
}

impl Signs {
    /// From now on this process leads: whoever is in line has a full lease.
    pub fn begin(now: Time) -> Self {
        Signs { began: now, heard: BTreeMap::new(), lapsing: BTreeSet::new() }
    }

    pub fn sign(&mut self, name: &str, who: &Candidate, duties: &Duties, now: Time) -> Sign {
        if duties.standing(name, who).is_none() {
            return Sign::Unknown;
        }
        if self.lapsing.iter().any(|gone| gone.name == name && gone.who == *who) {
            return Sign::Lapsing;
        }
        self.heard.insert((name.to_owned(), who.clone()), now);
        Sign::Noted
    }

    /// Who is to be proposed as lapsed. Calls come some times a lease.
    pub fn look(&mut self, duties: &Duties, now: Time) -> Vec<Gone> {
        // Agreed on, or overtaken: a candidate that lapsed as a waiter may hold since.
        self.lapsing.retain(|gone| {
            let standing = duties.standing(&gone.name, &gone.who);
            standing.is_some_and(|standing| standing.fence == gone.fence)
        });
        let (mut gone, mut heard) = (Vec::new(), BTreeMap::new());
        for (name, place, fence) in duties.line() {
            let key = (name.clone(), place.who.clone());
            // Not seen before: heard now. Who is in line no more is left behind.
            let at = self.heard.get(&key).copied().unwrap_or(now);
            if now.saturating_sub(at) >= place.lease {
                gone.push(Gone { name: name.clone(), who: place.who.clone(), fence });
            }
            heard.insert(key, at);
        }
        self.heard = heard;
        gone.retain(|one| self.lapsing.insert(one.clone()));
        gone
    }

    /// The proposal surely came to nothing.
    pub fn not_proposed(&mut self, gone: &[Gone]) {
        for one in gone {
            self.lapsing.remove(one);
        }
    }

    /// The longest lease has passed since this leader began: after a restore nobody unknown holds any more.
    pub fn settles(&self, duties: &Duties, now: Time) -> bool {
        duties.is_quiet() && now.saturating_sub(self.began) >= Duration::from_secs_f64(*LEASE_S.end())
    }
}
