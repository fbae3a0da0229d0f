//! The log lines of state changes. Operators and their alerts match these messages and keys, which are also listed in
//! `docs/operations.md`.

use std::fmt;
use std::sync::{Arc, Mutex};

use shaletrail_coordinator::core::voters::tolerance::LossAssessment;
use shaletrail_coordinator::driver::coordinator_driver::log::log_state_change;
use shaletrail_coordinator::interface::StateChange;
use shaletrail_protocol::NodeId;
use slog::{o, Drain, Key, Logger, Never, OwnedKVList, Record, Serializer, KV};

/// Five voters that withstand all losses that their settings name.
const WITHSTANDS: LossAssessment =
    LossAssessment { voters: 5, minority: 2, lost_with_hosts: 2, lost_with_zones: 1, lost_with_regions: 0 };

/// Captures each line as its level, message and key-value pairs.
#[derive(Default)]
struct LogCapture(Mutex<Vec<String>>);

impl Drain for LogCapture {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record, _: &OwnedKVList) -> Result<(), Never> {
        let mut line = LineWriter(format!("{} {}", record.level(), record.msg()));
        record.kv().serialize(record, &mut line).expect("a line is written");
        self.0.lock().expect("no test panics with the lock").push(line.0);
        Ok(())
    }
}

struct LineWriter(String);

impl Serializer for LineWriter {
    fn emit_arguments(&mut self, key: Key, value: &fmt::Arguments) -> slog::Result {
        fmt::Write::write_fmt(&mut self.0, format_args!(" {key}={value}"))?;
        Ok(())
    }
}

fn line_of(change: &StateChange) -> String {
    let capture = Arc::new(LogCapture::default());
    log_state_change(&Logger::root(Arc::clone(&capture).fuse(), o!()), change);
    let lines = capture.0.lock().expect("no test panics with the lock");
    assert_eq!(lines.len(), 1, "{lines:?}");
    lines[0].clone()
}

#[test]
fn state_changes_keep_their_log_lines() {
    let lines = [
        (StateChange::BecameLeader { shard: 1, term: 2 }, "INFO became leader of shard term=2 shard=1"),
        (StateChange::LostLeadership { shard: 1, term: 2 }, "INFO lost leadership of shard term=2 shard=1"),
        (StateChange::ConfigurationApplied { version: 3 }, "INFO configuration applied version=3"),
        (
            StateChange::VotersChanging {
                shard: 1,
                target_voters: vec![NodeId(0x0a01_0002), NodeId(0x0a01_0003)],
            },
            "INFO changing voters of shard target_voters=10.1.0.2,10.1.0.3 shard=1",
        ),
        (
            StateChange::OrderLeaseAcquired { shard: 1, fencing_token: 4 },
            "INFO acquired order lease of shard fencing_token=4 shard=1",
        ),
        (
            StateChange::FaultToleranceChanged { shard: 1, assessment: WITHSTANDS },
            "INFO voters of shard withstand the tolerated losses voters=5 minority=2 lost_with_hosts=2 \
             lost_with_zones=1 lost_with_regions=0 shard=1",
        ),
        (
            StateChange::FaultToleranceChanged {
                shard: 1,
                assessment: LossAssessment { lost_with_zones: 3, ..WITHSTANDS },
            },
            "WARN voters of shard do not withstand the tolerated losses voters=5 minority=2 lost_with_hosts=2 \
             lost_with_zones=3 lost_with_regions=0 shard=1",
        ),
        (StateChange::QuorumContactChanged(false), "WARN quorum contact changed has_contact=false"),
        (StateChange::UnreadableRecords { shard: 1 }, "WARN records of shard are unreadable shard=1"),
        (
            StateChange::UnreadableSnapshot { shard: 1 },
            "WARN snapshot of shard is unreadable, shard is halted until the next start shard=1",
        ),
    ];
    for (change, line) in lines {
        assert_eq!(line_of(&change), line);
    }
}
