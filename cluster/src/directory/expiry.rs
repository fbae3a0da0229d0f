//! Expiry by time: announced terminations, heartbeat time-outs and old tombstones.

use shaletrail_protocol::internal::Presence;
use shaletrail_protocol::Millis;

use super::options::Options;
use super::server_entry::{LifecycleStage, ServerEntry};
use super::server_table::MergeOutcome;
use super::Directory;

/// What the time does to one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expiry {
    /// Nothing yet.
    None,
    /// The termination that the server announced has come.
    Terminated,
    /// Heartbeats are missing.
    TimedOut,
    /// The server has been timed out or a tombstone for long enough to be forgotten.
    Forgotten,
}

impl Expiry {
    /// Without `may_time_out` a missing heartbeat proves nothing, as this coordinator could not have received it.
    fn of(entry: &ServerEntry, now: Millis, options: &Options, may_time_out: bool) -> Self {
        let since_contact = now.saturating_sub(entry.last_contact);
        let is_terminated = entry.terminates_at.is_some_and(|terminates_at| terminates_at <= now);
        if entry.stage() != LifecycleStage::Removed && is_terminated {
            Expiry::Terminated
        } else if entry.stage() != LifecycleStage::Active {
            let since = entry.presence_since.max(entry.last_contact);
            Expiry::forgotten_if(now.saturating_sub(since) >= options.tombstone_retention_ms)
        } else if may_time_out && entry.is_timed_out() {
            Expiry::forgotten_if(now.saturating_sub(entry.presence_since) >= options.remove_timed_out_ms)
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
    /// Applies the expiry to all servers.
    ///
    /// A termination gets a new version, so that acknowledgements of earlier versions do not count for it. Nothing is
    /// pushed, as each coordinator comes to the same conclusion by its own clock.
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
