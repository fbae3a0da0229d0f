//! Assembles records from their fragments, and the journal's content from appends and checkpoints.

use crate::error::Corruption;
use crate::fragment::{FragmentHeader, RecordKind};
use crate::StoredRecord;

/// The first sequence number of a journal.
pub(super) const FIRST_SEQUENCE: u64 = 1;

/// A record of which fragments are still missing.
struct PartialRecord {
    kind: RecordKind,
    record: StoredRecord,
}

/// Takes fragments in sequence, from the beginning of the journal or of a checkpoint on.
pub(super) struct RecordAssembler {
    /// Whether all content is known: from the journal's beginning, or since a checkpoint ended.
    pub is_complete: bool,
    pub stored: Vec<StoredRecord>,
    /// Sequence number of the newest stored record's last fragment, or of the newest checkpoint's end marker.
    pub durable_sequence: u64,
    /// Sequence number of the newest checkpoint's end marker; 0 if there is none.
    pub checkpoint_end: u64,
    /// Records of a checkpoint that has not ended.
    pub open_checkpoint: Option<Vec<StoredRecord>>,
    partial: Option<PartialRecord>,
}

impl RecordAssembler {
    /// Starts with the fragment `first_sequence`.
    pub fn new(first_sequence: u64) -> Self {
        RecordAssembler {
            is_complete: first_sequence == FIRST_SEQUENCE,
            stored: Vec::new(),
            durable_sequence: first_sequence - 1,
            checkpoint_end: 0,
            open_checkpoint: None,
            partial: None,
        }
    }

    /// Adds the next fragment.
    ///
    /// # Errors
    /// It cannot follow those before it.
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
        match (kind, &mut self.open_checkpoint) {
            (RecordKind::Append, None) if self.is_complete => {
                self.stored.push(record);
                self.durable_sequence = sequence;
            }
            (RecordKind::CheckpointBegin, None) => self.open_checkpoint = Some(Vec::new()),
            (RecordKind::CheckpointLive, Some(live)) => live.push(record),
            (RecordKind::CheckpointEnd, Some(live)) => {
                self.stored = std::mem::take(live);
                self.open_checkpoint = None;
                self.is_complete = true;
                self.durable_sequence = sequence;
                self.checkpoint_end = sequence;
            }
            _ => return Err(Corruption::UnexpectedRecord),
        }
        Ok(())
    }
}
