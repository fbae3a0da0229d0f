//! Calls about duties: work that one process holds at a time. Source: `docs/duties.md`.

use std::ops::RangeInclusive;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{check_id, Invalid};

/// Where duties are found, at the operators' address.
pub const DUTIES: &str = "/registry/duties";
/// Shortest and longest lease of a duty, in seconds. After a restore nothing is granted for the longest.
pub const LEASE_S: RangeInclusive<f64> = 0.5..=30.0;
/// Longest that a renewal waits for news.
pub const LONGEST_HOLD: Duration = Duration::from_secs(3);
/// Most bytes of a checkpoint.
pub const LONGEST_CHECKPOINT: usize = 16 << 10;
/// Duties at once, and candidates for one of them. More are refused.
pub const MOST_DUTIES: usize = 2048;
pub const MOST_WAITERS: usize = 1000;
/// Lives, fencing numbers and versions stay below this, so that every reader of JSON keeps them exact.
pub const MOST_EXACT: u64 = 1 << 53;
/// Which duty a change is made for, and under which fencing number.
pub const DUTY_HEADER: &str = "x-duty";
pub const FENCE_HEADER: &str = "x-fence";

/// Who stands in line: a name that operators know, and one of its lives. A process that begins anew is another
/// life, as what its last one started may still run.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Candidate {
    pub id: String,
    pub life: u64,
}

impl Candidate {
    /// # Errors
    /// Names the field.
    pub fn check(&self) -> Result<(), Invalid> {
        check_id(&self.id)?;
        if self.life >= MOST_EXACT {
            return Err(Invalid(format!("life: a whole number below {MOST_EXACT} expected")));
        }
        Ok(())
    }
}

/// `POST …/NAME/acquire`: into the line, or the standing of who is in it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Acquire {
    pub who: Candidate,
    pub lease_s: f64,
}

impl Acquire {
    /// The lease.
    ///
    /// # Errors
    /// Names the field that is out of bounds.
    pub fn check(&self) -> Result<Duration, Invalid> {
        self.who.check()?;
        check_lease(self.lease_s)
    }
}

/// # Errors
/// Says which leases may be.
pub fn check_lease(lease_s: f64) -> Result<Duration, Invalid> {
    if !LEASE_S.contains(&lease_s) {
        let (least, most) = (LEASE_S.start(), LEASE_S.end());
        return Err(Invalid(format!("lease_s: {least} to {most} seconds expected, got {lease_s}")));
    }
    Ok(Duration::from_secs_f64(lease_s))
}

/// `POST …/NAME/renew`: a sign of life. It is answered when the candidate's standing is no longer the one it knows,
/// or after `hold_ms`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Renew {
    pub who: Candidate,
    pub hold_ms: u64,
    /// What it knows.
    #[serde(default)]
    pub holds: bool,
    #[serde(default)]
    pub give_way: bool,
}

/// How a candidate stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    pub holds: bool,
    /// Its fencing number, where it holds.
    pub fence: u64,
    /// It is asked to stop and to release the duty.
    pub give_way: bool,
    /// Candidates before it, the holder among them.
    pub before: usize,
    pub checkpoint_version: u64,
    /// The answer came from the leader itself, which alone lets renewals wait. Passed on, they are answered at once: they
    /// share the replicas' own connections.
    #[serde(default)]
    pub direct: bool,
}

/// `POST …/NAME/release`: out of the line. Whoever held has stopped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Release {
    pub who: Candidate,
    pub why: Why,
}

/// Why a duty changed hands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Why {
    /// Nobody held it.
    Free,
    /// The holder was done.
    Released,
    /// The holder was asked to.
    Asked,
    /// The holder's command failed too often.
    Failed,
    /// The holder was silent for a lease.
    Lapsed,
}

/// `POST …/NAME/transfer`: asks the holder of this tenure to stop, for this candidate or the next in line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Transfer {
    /// The tenure that the caller has seen; the next one is not asked by a call that comes late.
    pub fence: u64,
    #[serde(default)]
    pub to: Option<String>,
}

/// `PUT …/NAME/checkpoint`: what the next holder goes on from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Checkpoint {
    pub fence: u64,
    /// The version that this one replaces; 0 where there is none.
    pub expect: u64,
    pub data: String,
}

/// Its answer, and `GET …/NAME/checkpoint`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    pub version: u64,
    /// Under which it was written.
    pub fence: u64,
    pub data: String,
}

/// The last time that a duty changed hands.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HandOver {
    pub from: Option<String>,
    pub to: Option<String>,
    pub why: Why,
    /// Unix time by the leader's clock; a label that nothing decides by.
    pub at_ms: u64,
}

/// `GET …/NAME`: one duty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duty {
    pub name: String,
    pub holder: Option<String>,
    /// Of the holder, or of the last one.
    pub fence: u64,
    /// When the holder got it: Unix time by the leader's clock, 0 where there is none.
    pub since_ms: u64,
    pub lease_ms: u64,
    /// In order.
    pub waiters: Vec<String>,
    /// The holder is asked to stop.
    pub give_way: bool,
    pub checkpoint_version: u64,
    pub last: Option<HandOver>,
}

/// `GET /registry/duties`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duties {
    pub duties: Vec<Duty>,
    /// Nothing is granted yet, as the service was restored from a backup.
    pub quiet: bool,
}

/// A change is made for a duty, under a fencing number.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fence {
    pub duty: String,
    pub fence: u64,
}

impl Fence {
    /// From the two headers of a call; none where neither is there.
    ///
    /// # Errors
    /// Half a fence is none: a guarded change must not pass as an unguarded one.
    pub fn read(duty: Option<&str>, fence: Option<&str>) -> Result<Option<Fence>, Invalid> {
        match (duty, fence) {
            (None, None) => Ok(None),
            (Some(duty), Some(fence)) => {
                check_id(duty).map_err(|e| Invalid(format!("{DUTY_HEADER}: {e}")))?;
                let number = fence.parse().ok().filter(|n| (1..MOST_EXACT).contains(n));
                let number = number.ok_or_else(|| {
                    Invalid(format!("{FENCE_HEADER}: a fencing number expected, got `{fence}`"))
                })?;
                Ok(Some(Fence { duty: duty.to_owned(), fence: number }))
            }
            _ => Err(Invalid(format!("{DUTY_HEADER} and {FENCE_HEADER}: both expected, or none"))),
        }
    }
}
