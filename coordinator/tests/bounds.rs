//! Bounds of different crates that must fit together.

use shaletrail_configuration::MAX_CONFIGURATION_BYTES;
use shaletrail_storage::Options;

/// What a snapshot of the configuration holds beside its text, in bytes: changes taken, items changed of late, voters.
const BESIDE_THE_TEXT: usize = 2 << 20;

#[test]
fn given_the_longest_configuration_when_its_snapshot_is_written_then_the_journal_takes_it() {
    // given
    let journal = Options::default();

    // when
    let snapshot = MAX_CONFIGURATION_BYTES + BESIDE_THE_TEXT;

    // then
    assert!(snapshot <= journal.max_record_bytes);
}
