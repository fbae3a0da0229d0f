//! Requests and answers about duties: tasks that at most one process performs at a time. Source:
//! `docs/duties.md`.

use std::ops::RangeInclusive;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{check_id, Invalid};

/// Path of the duties at the operators' address.
pub const DUTIES_PATH: &str = "/registry/duties";
/// Shortest and longest lease of a duty, in seconds. After a restore no duty is granted until the longest
/// lease has passed.
pub const LEASE_S: RangeInclusive<f64> = 0.5..=30.0;
/// The longest time for which a renewal waits for a change of the candidate's status.
pub const MAX_HOLD: Duration = Duration::from_secs(3);
/// The largest checkpoint, in bytes.
pub const MAX_CHECKPOINT_BYTES: usize = 16 << 10;
/// The most duties that may exist, and the most candidates that may wait for one of them. Further ones are
/// refused.
pub const MAX_DUTIES: usize = 2048;
/// The most candidates that may wait for one duty.
pub const MAX_WAITERS: usize = 1000;
/// Incarnations, fencing numbers and versions stay below this value, so that every JSON reader represents
/// them exactly.
pub const MAX_EXACT_INTEGER: u64 = 1 << 53;
/// Request headers that name the duty for which a change is made, and the fencing number under which it is
/// made.
pub const DUTY_HEADER: &str = "x-duty";
/// Request header with the fencing number under which the change is made.
pub const FENCE_HEADER: &str = "x-fence";

/// A process in the queue for a duty: a name that operators know, and the incarnation of the process. A
/// restarted process is a new incarnation, because work that the previous one started may still be running.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Candidate {
    pub id: String,
    #[serde(rename = "life")]
    pub incarnation: u64,
}

impl Candidate {
    /// # Errors
    /// Names the invalid field.
    pub fn check(&self) -> Result<(), Invalid> {
        check_id(&self.id)?;
        if self.incarnation >= MAX_EXACT_INTEGER {
            return Err(Invalid(format!("life: a whole number below {MAX_EXACT_INTEGER} expected")));
        }
        Ok(())
    }
}

/// `POST …/NAME/acquire`: joins the queue. Repeating it only returns the current status.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Acquire {
    pub who: Candidate,
    pub lease_s: f64,
}

impl Acquire {
    /// Returns the lease.
    ///
    /// # Errors
    /// Names the field that is out of bounds.
    pub fn check(&self) -> Result<Duration, Invalid> {
        self.who.check()?;
        check_lease(self.lease_s)
    }
}

/// # Errors
/// States the allowed range of leases.
pub fn check_lease(lease_s: f64) -> Result<Duration, Invalid> {
    if !LEASE_S.contains(&lease_s) {
        let (least, most) = (LEASE_S.start(), LEASE_S.end());
        return Err(Invalid(format!("lease_s: {least} to {most} seconds expected, got {lease_s}")));
    }
    Ok(Duration::from_secs_f64(lease_s))
}

/// `POST …/NAME/renew`: a heartbeat. It is answered as soon as the candidate's status differs from the one
/// that it knows, or after `hold_ms`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Renew {
    pub who: Candidate,
    pub hold_ms: u64,
    /// What the candidate knows: whether it holds the duty, and whether it was asked to release it.
    #[serde(default)]
    pub holds: bool,
    #[serde(default, rename = "give_way")]
    pub release_requested: bool,
}

/// A candidate's place in the queue for a duty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CandidateStatus {
    pub holds: bool,
    /// The holder's fencing number; 0 for a waiting candidate.
    pub fence: u64,
    /// The candidate is asked to stop its work and to release the duty.
    #[serde(rename = "give_way")]
    pub release_requested: bool,
    /// Candidates in front of this one, including the holder.
    #[serde(rename = "before")]
    pub candidates_ahead: usize,
    pub checkpoint_version: u64,
    /// The answer came from the leader itself. Only the leader lets renewals wait: forwarded ones are
    /// answered at once, because they share the connections between replicas.
    #[serde(default)]
    pub direct: bool,
}

/// `POST …/NAME/release`: leaves the queue. A holder has stopped its work before it sends this.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Release {
    pub who: Candidate,
    pub why: HandoverReason,
}

/// Why a duty changed hands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HandoverReason {
    /// Nobody held it.
    Free,
    /// The holder had finished.
    Released,
    /// The holder was asked to release it.
    Asked,
    /// The holder's command failed too often.
    Failed,
    /// The holder's lease expired without a renewal.
    Lapsed,
}

/// `POST …/NAME/transfer`: asks the holder with this fencing number to stop, in favour of the named candidate
/// or of the next in the queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Transfer {
    /// The fencing number that the caller has seen. A delayed request has no effect on the next holder.
    pub fence: u64,
    #[serde(default)]
    pub to: Option<String>,
}

/// `PUT …/NAME/checkpoint`: stores the state from which the next holder continues.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Checkpoint {
    pub fence: u64,
    /// The version that this one replaces; 0 where there is none.
    pub expect: u64,
    pub data: String,
}

/// The answer to `PUT …/NAME/checkpoint` and `GET …/NAME/checkpoint`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredCheckpoint {
    pub version: u64,
    /// The fencing number under which it was written.
    pub fence: u64,
    pub data: String,
}

/// The last time that a duty changed hands.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Handover {
    pub from: Option<String>,
    pub to: Option<String>,
    pub why: HandoverReason,
    /// Unix time by the leader's clock, for display only: no decision depends on it.
    pub at_ms: u64,
}

/// `GET …/NAME`: one duty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duty {
    pub name: String,
    pub holder: Option<String>,
    /// The fencing number of the holder, or of the last holder if there is none now.
    pub fence: u64,
    /// When the holder obtained the duty: Unix time by the leader's clock, 0 if there is no holder.
    pub since_ms: u64,
    pub lease_ms: u64,
    /// Ids of the waiting candidates, in the order of the queue.
    pub waiters: Vec<String>,
    /// The holder is asked to stop its work and to release the duty.
    #[serde(rename = "give_way")]
    pub release_requested: bool,
    pub checkpoint_version: u64,
    pub last: Option<Handover>,
}

/// `GET /registry/duties`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duties {
    pub duties: Vec<Duty>,
    /// No duty is granted yet, because the service was restored from a backup.
    #[serde(rename = "quiet")]
    pub grants_paused: bool,
}

/// The duty and the fencing number under which a change is made. The change is rejected once another holder
/// has the duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fence {
    pub duty: String,
    pub fence: u64,
}

impl Fence {
    /// Reads the two headers of a request; `None` if neither is present.
    ///
    /// # Errors
    /// Only one of the headers is present, or a value is invalid: a fenced change must not be executed as an
    /// unfenced one.
    pub fn from_headers(duty: Option<&str>, fence: Option<&str>) -> Result<Option<Fence>, Invalid> {
        match (duty, fence) {
            (None, None) => Ok(None),
            (Some(duty), Some(fence)) => {
                check_id(duty).map_err(|e| Invalid(format!("{DUTY_HEADER}: {e}")))?;
                let number = fence.parse().ok().filter(|n| (1..MAX_EXACT_INTEGER).contains(n));
                let number = number.ok_or_else(|| {
                    Invalid(format!("{FENCE_HEADER}: a fencing number expected, got `{fence}`"))
                })?;
                Ok(Some(Fence { duty: duty.to_owned(), fence: number }))
            }
            _ => Err(Invalid(format!("{DUTY_HEADER} and {FENCE_HEADER}: both expected, or none"))),
        }
    }
}
