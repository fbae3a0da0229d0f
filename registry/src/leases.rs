//! The pure core of leases: kept by the leader alone, in memory. Renewals never reach the log; what they come to
//! when they stay away does, as one command. Time is a value on one monotonic clock of the host's choice.

use std::collections::HashMap;
use std::time::Duration;

use shaletrail_registry_protocol::Stamp;

use crate::catalogue::{Catalogue, Held};

/// Who has not renewed for this part of a lease has missed at least one renewal: agents renew each third.
const SILENT: f64 = 2.0 / 3.0;

/// A time on the host's monotonic clock.
pub type Time = Duration;

/// What a renewal came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Renewal {
    Done,
    Unknown,
    /// A newer life of the id is listed.
    Stale,
}

/// What is to be done about leases now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Due {
    /// To be proposed as expired, each with the version at which it was seen.
    pub expire: Vec<(String, u64)>,
    /// Due, but too many are silent at once.
    pub held: usize,
    /// Who they are.
    pub stopped: Vec<String>,
    /// Silent for most of a lease, those included.
    pub silent: usize,
    /// So many may be silent before expiry stops.
    pub most: usize,
}

struct Lease {
    renewed: Time,
    /// The entry's version when it was last looked at: a registration renews.
    version: u64,
}

/// Invariants: nobody expires sooner than a full lease after the last sign of life *at this leader*; nobody
/// expires while more than the stated share of the list is silent, but by an operator's word; the last entry of
/// the list never does by itself.
pub struct Leases {
    /// The part of the list that may fall silent within one lease.
    share: f64,
    leases: HashMap<String, Lease>,
    /// When the last ones expired, for as long as one of the leases they had.
    lapsed: Vec<(Time, Duration)>,
    /// Let go by an operator.
    confirmed: usize,
}

impl Leases {
    /// From now on this process keeps the leases: whoever is listed has a full one.
    pub fn begin(share: f64) -> Self {
        Leases { share, leases: HashMap::new(), lapsed: Vec::new(), confirmed: 0 }
    }

    pub fn renew(&mut self, id: &str, stamp: Stamp, list: &Catalogue, now: Time) -> Renewal {
        let Some(held) = list.get(id) else { return Renewal::Unknown };
        if !stamp.is_none() && stamp < held.stamp {
            return Renewal::Stale;
        }
        // Registered as another life, this one is not known.
        if stamp > held.stamp {
            return Renewal::Unknown;
        }
        let lease = Lease { renewed: now, version: held.version };
        match self.leases.get_mut(id) {
            Some(old) => *old = lease,
            None => {
                self.leases.insert(id.to_owned(), lease);
            }
        }
        Renewal::Done
    }

    /// An operator has seen that so many are due, and lets them go.
    pub fn confirm(&mut self, most: usize) {
        self.confirmed = most;
    }

    /// Looks through all leases. Calls come some times a lease.
    pub fn look(&mut self, list: &Catalogue, now: Time) -> Due {
        self.leases.retain(|id, _| list.get(id).is_some());
        self.lapsed.retain(|(at, lease)| now.saturating_sub(*at) < *lease);
        let (mut due, mut silent) = (Vec::new(), 0);
        for held in list.entries() {
            let Some(lease) = held.lease else { continue };
            let quiet = now.saturating_sub(self.last_sign(held, now));
            silent += usize::from(quiet >= lease.mul_f64(SILENT));
            if quiet >= lease {
                due.push((held.entry.id.clone(), held.version, lease, quiet));
            }
        }
        // The longest silent first, by name where equal: the same each time.
        due.sort_by(|a, b| b.3.cmp(&a.3).then_with(|| a.0.cmp(&b.0)));
        // One may always go where there are more: a short list must get rid of a dead server too.
        let whole = list.len() + self.lapsed.len();
        let most = ((whole as f64 * self.share) as usize).max(1).min(list.len().max(1) - 1);
        let mut go = due.len();
        if silent + self.lapsed.len() > most {
            go = self.confirmed.min(go);
        }
        self.confirmed -= go.min(self.confirmed);
        if due.is_empty() {
            // The word was for those that were due then.
            self.confirmed = 0;
        }
        let held = due.len() - go;
        let stopped = due.split_off(go).into_iter().map(|(id, ..)| id).collect();
        let mut expire = Vec::with_capacity(go);
        for (id, version, lease, _) in due {
            self.lapsed.push((now, lease));
            // Proposed once a lease, should the proposal come to nothing.
            self.leases.insert(id.clone(), Lease { renewed: now, version });
            expire.push((id, version));
        }
        Due { expire, held, stopped, silent, most }
    }

    fn last_sign(&mut self, held: &Held, now: Time) -> Time {
        let version = held.version;
        // Not seen before, or changed since: a sign of life now.
        let first = Lease { renewed: now, version };
        match self.leases.get_mut(&held.entry.id) {
            Some(lease) if lease.version == version => return lease.renewed,
            Some(lease) => *lease = first,
            None => _ = self.leases.insert(held.entry.id.clone(), first),
        }
        now
    }
}
