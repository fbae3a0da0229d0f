//! Changes by time: announced terminations, heartbeat time-outs, and the removal of old entries.

use shaletrail_protocol::internal::Presence;
use shaletrail_protocol::Millis;

use super::options::Options;
use super::server_entry::{LifecycleStage, ServerEntry};
use super::server_table::MergeOutcome;
use super::Directory;

/// The change that is due for one server because of the time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expiry {
    /// Nothing is due.
    None,
    /// The server has reached the termination time that it announced.
    Terminated,
    /// The server has had no contact for the heartbeat time-out.
    TimedOut,
    /// The server has been timed out, or a tombstone, for the retention time, so that its entry is dropped.
    Forgotten,
}

impl Expiry {
    /// The change that is due for `entry`. If `may_time_out` is false, missing heartbeats are ignored, as this
    /// coordinator may have been unable to receive them.
    fn of(entry: &ServerEntry, now: Millis, options: &Options, may_time_out: bool) -> Self {
        let since_contact = now.saturating_sub(entry.last_contact);
        let is_terminated = entry.terminates_at.is_some_and(|terminates_at| terminates_at <= now);
        if entry.stage() != LifecycleStage::Removed && is_terminated {
            Expiry::Terminated
        } else if entry.stage() != LifecycleStage::Active {
            let since = entry.presence_since.max(entry.last_contact);
            Expiry::forgotten_if(now.saturating_sub(since) >= options.tombstone_retention_ms)
        } else if may_time_out && entry.is_timed_out() {
            Expiry::forgotten_if(now.saturating_sub(entry.presence_since) >= options.timed_out_retention_ms)
        } else if may_time_out && since_contact >= options.heartbeat_timeout_ms {
            Expiry::TimedOut
        } else {
            Expiry::None
        }
    }

    fn forgotten_if(is_old: bool) -> Self {
        if is_old {
            Expiry::Forgotten
        } else {
            Expiry::None
        }
    }
}

impl Directory {
    /// Applies the changes that are due to all servers.
    ///
    /// A terminated server gets a new version, so that acknowledgements of earlier versions do not count for its
    /// removal. Nothing is pushed to peers, as each coordinator makes the same change by its own clock.
    pub(super) fn expire_servers(&mut self, now: Millis) {
        let may_time_out = self.quorum_contact.has_lasted(now, self.options.heartbeat_timeout_ms);
        let mut changed = Vec::new();
        let mut forgotten = Vec::new();
        for (key, entry) in self.table.iter_mut() {
            match Expiry::of(entry, now, &self.options, may_time_out) {
                Expiry::None => {}
                Expiry::Terminated => {
                    entry.set_presence(now, Presence::Removed);
                    changed.push((key, MergeOutcome::StageAdvanced));
                }
                Expiry::TimedOut => {
                    entry.set_presence(now, Presence::TimedOut);
                    changed.push((key, MergeOutcome::Changed));
                }
                Expiry::Forgotten => forgotten.push(key),
            }
        }
        for (key, outcome) in changed {
            self.publish_change(key);
            if outcome == MergeOutcome::StageAdvanced {
                self.advance_version(key, outcome);
            }
        }
        forgotten.into_iter().for_each(|key| self.forget(key));
    }
}
