//! The time limits and ratios that the operator requires the system to meet (keys `bounds.…`).

use std::time::Duration;

use super::error::SettingsError;
use super::lines::{SettingsLines, BOOLEAN, MILLISECOND, SECOND};

/// The time limits and ratios that the operator requires the system to meet. The system's own timeouts are chosen to
/// meet them. Each field has the name of its key, unless its comment says otherwise. Durations are greater than 0.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// The maximum delay with which the list of nodes that operators and servers use reflects the actual machines.
    pub seed_lag: Duration,
    /// The minimum time after a server has ended until its address may be assigned to another server.
    pub address_reuse: Duration,
    /// How long a machine must have been free of faults before it counts as in contact with the others.
    pub contact: Duration,
    /// The maximum time until a valid call of the operator is acknowledged.
    pub ack_timeout: Duration,
    /// How long a machine still counts as lost after it has returned, so that it can catch up.
    pub sync: Duration,
    /// The maximum time between the acknowledgement of a server's `draining` heartbeat and the last request that is
    /// sent to the server.
    pub drain: Duration,
    /// The time between SIGTERM and SIGKILL, within which a graceful shutdown has to be complete.
    pub grace: Duration,
    /// The maximum time from the acknowledgement of a configuration until every edge has applied it.
    pub convergence: Duration,
    /// How long a node may still apply an older version of the configuration after a newer one was observed on any
    /// node.
    pub downgrade: Duration,
    /// The permitted number of retries, as a fraction of a service's requests; 0 or more.
    pub retry_ratio: f64,
    /// The length of the sliding window over which retries are counted.
    pub retry_window: Duration,
    /// The number of retries permitted per window in addition to those of `retry_ratio`; 0 or more.
    pub retry_slack: f64,
    /// The maximum time from the return of lost machines until requests are served again.
    pub recovery: Duration,
    /// The maximum delay with which an event of a streamed response is forwarded. The key is `bounds.pass_ms`.
    pub stream_delay: Duration,
    /// Whether model servers reject an order whose fencing token is lower than one that they have already seen.
    pub fencing: bool,
    /// The minimum time between orders of two different lease holders to the same server.
    pub lease: Duration,
    /// The length of the sliding window over which loads from the weight store are counted.
    pub origin_window: Duration,
    /// The factor by which the loads in a window may exceed the rate of the weight store; 0 or more.
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
            retry_ratio: lines.non_negative_number("bounds.retryRatio", 0.1)?,
            retry_window: lines.duration("bounds.retryWindowS", SECOND, 10.0)?,
            retry_slack: lines.non_negative_number("bounds.retrySlack", 20.0)?,
            recovery: lines.duration("bounds.recoveryS", SECOND, 12.0)?,
            stream_delay: lines.duration("bounds.pass_ms", MILLISECOND, 120.0)?,
            fencing: lines.with_default("bounds.fencing", BOOLEAN, false)?,
            lease: lines.duration("bounds.leaseMs", MILLISECOND, 3000.0)?,
            origin_window: lines.duration("bounds.originWindowS", SECOND, 5.0)?,
            origin_overshoot: lines.non_negative_number("bounds.originOvershoot", 1.0)?,
        })
    }
}
