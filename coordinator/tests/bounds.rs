//! Bounds of different crates that must fit together.

use shaletrail_configuration::MAX_CONFIGURATION_BYTES;
use shaletrail_storage::Options;

/// What a snapshot of the configuration holds beside its text, in bytes: accepted changes, items that were changed
/// recently, voters.
const SNAPSHOT_OVERHEAD_BYTES: usize = 2 << 20;

#[test]
fn journal_accepts_largest_configuration() {
    // given
    let journal = Options::default();

    // when
    let snapshot = MAX_CONFIGURATION_BYTES + SNAPSHOT_OVERHEAD_BYTES;

    // then
    assert!(snapshot <= journal.max_record_bytes);
}
