//! The changes of the configuration that operators of the scenarios propose.

use std::sync::OnceLock;

use shaletrail_configuration::{Change, ChangeKind};

/// A change, by its index in [`CHANGES`].
pub(crate) type ChangeId = usize;

/// How many changes there are.
pub(crate) const CHANGE_COUNT: usize = CHANGES.len();

/// The first change; proposed again, it is the retry of an operator whose response was lost.
pub(crate) const FIRST: ChangeId = 0;
/// Another operator's change that makes the same version as [`FIRST`].
pub(crate) const CONFLICTING: ChangeId = 1;
/// Another change on the same base version that makes a later version.
pub(crate) const SKIPPING: ChangeId = 2;
/// A change whose base is the version that [`FIRST`] or [`CONFLICTING`] makes.
pub(crate) const SUCCESSOR: ChangeId = 3;

/// Base versions and bodies of the changes.
const CHANGES: [(u64, &str); 4] = [
    (0, r#"{"version":1,"limits":{},"services":[{"name":"first"}],"routes":[]}"#),
    (0, r#"{"version":1,"limits":{},"services":[{"name":"second"}],"routes":[]}"#),
    (0, r#"{"version":2,"limits":{},"services":[{"name":"third"}],"routes":[]}"#),
    (1, r#"{"version":2,"limits":{},"services":[{"name":"fourth"}],"routes":[]}"#),
];

fn parsed() -> &'static [Change] {
    static PARSED: OnceLock<Vec<Change>> = OnceLock::new();
    PARSED.get_or_init(|| {
        let parse = |(base, body): &(u64, &str)| Change::parse(ChangeKind::Replace, *base, body.as_bytes());
        CHANGES.iter().map(|change| parse(change).expect("the changes are valid")).collect()
    })
}

/// The change of an id.
pub(crate) fn get(id: ChangeId) -> &'static Change {
    &parsed()[id]
}

/// The id of an encoded change; `None` if it is none of these.
pub(crate) fn find(command: &[u8]) -> Option<ChangeId> {
    let change = Change::decode(command).ok()?;
    let encoded = change.encode();
    parsed().iter().position(|known| known.encode() == encoded)
}
