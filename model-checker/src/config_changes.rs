//! The configuration changes that operators propose in the scenarios.

use std::sync::OnceLock;

use shaletrail_configuration::{Change, ChangeKind};

/// Index of a change in [`CHANGES`].
pub(crate) type ChangeId = usize;

pub(crate) const CHANGE_COUNT: usize = CHANGES.len();

/// The first change. Proposing it again models the retry of an operator whose response was lost.
pub(crate) const FIRST: ChangeId = 0;
/// Another operator's change that creates the same version as [`FIRST`].
pub(crate) const CONFLICTING: ChangeId = 1;
/// A change on the same base version as [`FIRST`] that skips a version.
pub(crate) const SKIPPING: ChangeId = 2;
/// A change based on the version that [`FIRST`] or [`CONFLICTING`] creates.
pub(crate) const SUCCESSOR: ChangeId = 3;

/// Base version and JSON body of each change.
const CHANGES: [(u64, &str); 4] = [
    (0, r#"{"version":1,"limits":{},"services":[{"name":"first"}],"routes":[]}"#),
    (0, r#"{"version":1,"limits":{},"services":[{"name":"second"}],"routes":[]}"#),
    (0, r#"{"version":2,"limits":{},"services":[{"name":"third"}],"routes":[]}"#),
    (1, r#"{"version":2,"limits":{},"services":[{"name":"fourth"}],"routes":[]}"#),
];

fn parsed_changes() -> &'static [Change] {
    static PARSED: OnceLock<Vec<Change>> = OnceLock::new();
    PARSED.get_or_init(|| {
        let parse = |(base, body): &(u64, &str)| Change::parse(ChangeKind::Replace, *base, body.as_bytes());
        CHANGES.iter().map(|change| parse(change).expect("the changes are valid")).collect()
    })
}

pub(crate) fn get(id: ChangeId) -> &'static Change {
    &parsed_changes()[id]
}

/// The id of an encoded change; `None` if it is not in [`CHANGES`].
pub(crate) fn find(command: &[u8]) -> Option<ChangeId> {
    let change = Change::decode(command).ok()?;
    let encoded = change.encode();
    parsed_changes().iter().position(|known| known.encode() == encoded)
}
