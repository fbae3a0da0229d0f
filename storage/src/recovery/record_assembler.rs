//! Assembles fragments into records, and applies appends and checkpoints to the recovered content.

use crate::error::Corruption;
use crate::fragment::{FragmentHeader, RecordKind};
use crate::StoredRecord;

/// Sequence number of the first fragment of a journal.
pub(super) const FIRST_SEQUENCE: u64 = 1;

/// A record whose last fragment has not been read yet.
struct PartialRecord {
    kind: RecordKind,
    record: StoredRecord,
}

/// Receives fragments in sequence order, starting at the beginning of the journal or of a checkpoint.
pub(super) struct RecordAssembler {
    /// Whether `stored` holds the whole content: true if the fragments start at the beginning of the journal, and once
    /// a checkpoint has ended.
    pub is_complete: bool,
    pub stored: Vec<StoredRecord>,
    /// Sequence number of the last fragment of the newest stored record, or of the end marker of the newest checkpoint
    /// if that is later.
    pub durable_sequence: u64,
    /// Sequence number of the end marker of the newest checkpoint; 0 if there is none.
    pub checkpoint_end_sequence: u64,
    /// Records of a checkpoint whose end marker has not been read; `None` outside of a checkpoint.
    pub unfinished_checkpoint: Option<Vec<StoredRecord>>,
    partial: Option<PartialRecord>,
}

impl RecordAssembler {
    /// Creates an assembler whose first fragment is `first_sequence`.
    pub fn new(first_sequence: u64) -> Self {
        RecordAssembler {
            is_complete: first_sequence == FIRST_SEQUENCE,
            stored: Vec::new(),
            durable_sequence: first_sequence - 1,
            checkpoint_end_sequence: 0,
            unfinished_checkpoint: None,
            partial: None,
        }
    }

    /// Adds the next fragment.
    ///
    /// # Errors
    /// The fragment is not valid after the fragments before it.
    pub fn add(&mut self, header: &FragmentHeader, payload: &[u8]) -> Result<(), Corruption> {
        let mut partial = match (self.partial.take(), header.is_first) {
            (None, true) => PartialRecord {
                kind: header.kind,
                record: StoredRecord { stream: header.stream, bytes: Vec::new() },
            },
            (Some(partial), false)
                if partial.kind == header.kind && partial.record.stream == header.stream =>
            {
                partial
            }
            _ => return Err(Corruption::MismatchedFragments),
        };
        partial.record.bytes.extend_from_slice(payload);
        if header.is_last {
            return self.finish_record(partial, header.sequence);
        }
        self.partial = Some(partial);
        Ok(())
    }

    fn finish_record(&mut self, partial: PartialRecord, sequence: u64) -> Result<(), Corruption> {
        let PartialRecord { kind, record } = partial;
        match (kind, &mut self.unfinished_checkpoint) {
            (RecordKind::Append, None) if self.is_complete => {
                self.stored.push(record);
                self.durable_sequence = sequence;
            }
            (RecordKind::CheckpointBegin, None) => self.unfinished_checkpoint = Some(Vec::new()),
            (RecordKind::CheckpointLive, Some(live)) => live.push(record),
            (RecordKind::CheckpointEnd, Some(live)) => {
                self.stored = std::mem::take(live);
                self.unfinished_checkpoint = None;
                self.is_complete = true;
                self.durable_sequence = sequence;
                self.checkpoint_end_sequence = sequence;
            }
            _ => return Err(Corruption::UnexpectedRecord),
        }
        Ok(())
    }
}
