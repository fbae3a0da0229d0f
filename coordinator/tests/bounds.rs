//! Limits of different crates that must be consistent with each other.

use shaletrail_configuration::MAX_CONFIGURATION_BYTES;
use shaletrail_storage::Options;

/// Upper bound in bytes for the parts of a configuration snapshot other than its text: accepted changes, recently
/// changed items and voters.
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
