//! The time limits and ratios of the operators' rules (keys `bounds.…`).

use std::time::Duration;

use super::error::SettingsError;
use super::lines::{SettingsLines, BOOLEAN, MILLISECOND, SECOND};

/// The time limits and ratios of the operators' rules, to which the system's own timeouts are tuned. The fields have
/// the names of their keys. Durations are over 0.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// How far the list of nodes that operators and servers go by may lag behind the machines that are there.
    pub seed_lag: Duration,
    /// The earliest time after a server's end at which its address may be given to another server.
    pub address_reuse: Duration,
    /// How long a machine must have been free of faults before it counts as having contact with the others.
    pub contact: Duration,
    /// The time within which valid calls of the operator have to be acknowledged.
    pub ack_timeout: Duration,
    /// How long a machine still counts as lost after its return, so that it can catch up.
    pub sync: Duration,
    /// The longest time from an acknowledged `draining` of a server to the last request that is sent to it.
    pub drain: Duration,
    /// The time between SIGTERM and SIGKILL: the limit of a graceful shutdown.
    pub grace: Duration,
    /// The longest time from the acknowledgement of a configuration until every edge applies it.
    pub convergence: Duration,
    /// After a version was seen applied anywhere, no node may apply an older one for longer than this.
    pub downgrade: Duration,
    /// Retries allowed as a fraction of a service's requests, 0 or more.
    pub retry_ratio: f64,
    /// The sliding window over which retries are counted.
    pub retry_window: Duration,
    /// Retries allowed in a window in addition to those of `retry_ratio`, 0 or more.
    pub retry_slack: f64,
    /// The longest time from the return of lost machines until requests are served again.
    pub recovery: Duration,
    /// The longest delay with which an event of a streamed response is forwarded. Key: `bounds.pass_ms`.
    pub stream_delay: Duration,
    /// Whether model servers reject an order whose fencing token is lower than one that they have seen.
    pub fencing: bool,
    /// The least time between the orders of two lease holders to one server.
    pub lease: Duration,
    /// The sliding window over which loads from the weight store are counted.
    pub origin_window: Duration,
    /// The factor by which loads within a window may exceed the weight store's rate, 0 or more.
    pub origin_overshoot: f64,
}

impl Bounds {
    pub(super) fn parse(lines: &SettingsLines) -> Result<Self, SettingsError> {
        Ok(Bounds {
            seed_lag: lines.duration("bounds.seedLagS", SECOND, 3.0)?,
            address_reuse: lines.duration("bounds.addressReuseS", SECOND, 2.0)?,
            contact: lines.duration("bounds.contactMs", MILLISECOND, 3000.0)?,
            ack_timeout: lines.duration("bounds.ackTimeoutMs", MILLISECOND, 4000.0)?,
            sync: lines.duration("bounds.syncS", SECOND, 4.0)?,
            drain: lines.duration("bounds.drainMs", MILLISECOND, 2000.0)?,
            grace: lines.duration("bounds.graceS", SECOND, 8.0)?,
            convergence: lines.duration("bounds.convergenceMs", MILLISECOND, 2000.0)?,
            downgrade: lines.duration("bounds.downgradeMs", MILLISECOND, 250.0)?,
            retry_ratio: lines.amount("bounds.retryRatio", 0.1)?,
            retry_window: lines.duration("bounds.retryWindowS", SECOND, 10.0)?,
            retry_slack: lines.amount("bounds.retrySlack", 20.0)?,
            recovery: lines.duration("bounds.recoveryS", SECOND, 12.0)?,
            stream_delay: lines.duration("bounds.pass_ms", MILLISECOND, 120.0)?,
            fencing: lines.or_default("bounds.fencing", BOOLEAN, false)?,
            lease: lines.duration("bounds.leaseMs", MILLISECOND, 3000.0)?,
            origin_window: lines.duration("bounds.originWindowS", SECOND, 5.0)?,
            origin_overshoot: lines.amount("bounds.originOvershoot", 1.0)?,
        })
    }
}
