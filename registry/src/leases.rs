//! Leases of entries, without I/O: kept by the leader alone, in memory. Renewals never reach the log; only an
//! expired lease is proposed, as one command. Time is passed in as a value of the host's monotonic clock.

use std::collections::HashMap;
use std::time::Duration;

use shaletrail_registry_protocol::Stamp;

use crate::catalogue::{Catalogue, InstanceRecord};

/// An entry that was not renewed for this part of its lease has missed at least one renewal, because agents
/// renew after each third of a lease.
const SILENT_LEASE_SHARE: f64 = 2.0 / 3.0;

/// A time on the host's monotonic clock.
pub type MonotonicTime = Duration;

/// The result of a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RenewalOutcome {
    Done,
    Unknown,
    /// A newer process is listed under this id.
    Stale,
}

/// What is to be done about expired leases now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExpiryCheck {
    /// Entries whose expiry is to be proposed, each with the version at which it was found silent.
    pub expire: Vec<(String, u64)>,
    /// The number of expired leases whose expiry is stopped, because too many entries are silent at once.
    pub withheld: usize,
    /// The ids of those entries.
    pub withheld_ids: Vec<String>,
    /// Entries that are silent for most of a lease, including the expired ones.
    pub silent: usize,
    /// The most entries that may be silent before expiry stops.
    pub silent_limit: usize,
}

struct Lease {
    renewed: MonotonicTime,
    /// The entry's version at the last check: a registration changes it and counts as a renewal.
    version: u64,
}

/// The leases of all entries, at the leader.
///
/// Invariants: no entry expires sooner than one full lease after the last renewal *recorded at this leader*;
/// no entry expires while more than the configured share of the list is silent, unless an operator confirms
/// it; the last entry of the list never expires without a confirmation.
pub struct Leases {
    /// The part of the list that may become silent within one lease.
    max_silent_share: f64,
    leases: HashMap<String, Lease>,
    /// The times of recent expiries, each with the entry's lease and kept for that long.
    recently_expired: Vec<(MonotonicTime, Duration)>,
    /// The number of expiries that an operator has confirmed.
    confirmed: usize,
}

impl Leases {
    /// Starts a new term of leadership: each listed entry gets a full lease.
    pub fn new(max_silent_share: f64) -> Self {
        Leases { max_silent_share, leases: HashMap::new(), recently_expired: Vec::new(), confirmed: 0 }
    }

    /// Renews the entry's lease at `now`. A set stamp must be the listed one; otherwise nothing is renewed.
    pub fn renew(&mut self, id: &str, stamp: Stamp, list: &Catalogue, now: MonotonicTime) -> RenewalOutcome {
        let Some(record) = list.get(id) else { return RenewalOutcome::Unknown };
        if !stamp.is_unset() && stamp < record.stamp {
            return RenewalOutcome::Stale;
        }
        // A newer process than the listed one has to register first.
        if stamp > record.stamp {
            return RenewalOutcome::Unknown;
        }
        let lease = Lease { renewed: now, version: record.version };
        match self.leases.get_mut(id) {
            Some(old) => *old = lease,
            None => {
                self.leases.insert(id.to_owned(), lease);
            }
        }
        RenewalOutcome::Done
    }

    /// Lets this many entries expire although expiry is stopped: an operator has checked that their servers
    /// are gone.
    pub fn confirm(&mut self, count: usize) {
        self.confirmed = count;
    }

    /// Checks all leases. Called several times within one lease.
    pub fn check(&mut self, list: &Catalogue, now: MonotonicTime) -> ExpiryCheck {
        self.leases.retain(|id, _| list.get(id).is_some());
        self.recently_expired.retain(|(at, lease)| now.saturating_sub(*at) < *lease);
        let (mut expired, mut silent) = (Vec::new(), 0);
        for record in list.entries() {
            let Some(lease) = record.lease else { continue };
            let silence = now.saturating_sub(self.last_renewal(record, now));
            silent += usize::from(silence >= lease.mul_f64(SILENT_LEASE_SHARE));
            if silence >= lease {
                expired.push((record.entry.id.clone(), record.version, lease, silence));
            }
        }
        // The longest silent first, and by id where equal, so that the order is deterministic.
        expired.sort_by(|a, b| b.3.cmp(&a.3).then_with(|| a.0.cmp(&b.0)));
        // One entry may always expire while others remain: a short list must get rid of a dead server too.
        let total = list.len() + self.recently_expired.len();
        let silent_limit =
            ((total as f64 * self.max_silent_share) as usize).max(1).min(list.len().max(1) - 1);
        let mut allowed = expired.len();
        if silent + self.recently_expired.len() > silent_limit {
            allowed = self.confirmed.min(allowed);
        }
        self.confirmed -= allowed.min(self.confirmed);
        if expired.is_empty() {
            // The confirmation was meant for the leases that were expired then.
            self.confirmed = 0;
        }
        let withheld = expired.len() - allowed;
        let withheld_ids = expired.split_off(allowed).into_iter().map(|(id, ..)| id).collect();
        let mut expire = Vec::with_capacity(allowed);
        for (id, version, lease, _) in expired {
            self.recently_expired.push((now, lease));
            // If the proposal fails, it is repeated after one more lease.
            self.leases.insert(id.clone(), Lease { renewed: now, version });
            expire.push((id, version));
        }
        ExpiryCheck { expire, withheld, withheld_ids, silent, silent_limit }
    }

    fn last_renewal(&mut self, record: &InstanceRecord, now: MonotonicTime) -> MonotonicTime {
        let version = record.version;
        // A new or changed entry counts as renewed now.
        let renewed_now = Lease { renewed: now, version };
        match self.leases.get_mut(&record.entry.id) {
            Some(lease) if lease.version == version => return lease.renewed,
            Some(lease) => *lease = renewed_now,
            None => _ = self.leases.insert(record.entry.id.clone(), renewed_now),
        }
        now
    }
}
