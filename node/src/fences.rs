//! Fencing numbers of the operator API: the newest number seen for each duty. They are kept in a file, so
//! that an outdated holder is also refused by the next process of the node, and by the other one while two
//! run.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use serde_json::{json, Value};
use shaletrail_registry_client::fences::{FenceRefusal, FenceTable};
use shaletrail_registry_protocol::duty::Fence;

const FILE: &str = "duty-fences.json";
const LOCK: &str = "duty-fences.lock";

/// Why a request with a fencing number is refused.
#[derive(Debug)]
pub enum FenceError {
    Refused(FenceRefusal),
    /// The number could not be stored, so a later process would accept an older one.
    NotStored(io::Error),
}

/// The newest fencing number of each duty, in memory and, if a state directory is configured, in a file.
pub struct Fences {
    /// `None` if no state directory is configured; then the numbers are lost when the process ends.
    dir: Option<PathBuf>,
    table: RefCell<FenceTable>,
}

/// 64-bit FNV-1a hash, which detects a damaged file.
fn checksum(text: &str) -> String {
    let hash = text.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    format!("{hash:016x}")
}

fn parse(text: &str) -> Option<BTreeMap<String, u64>> {
    let json: Value = serde_json::from_str(text).ok()?;
    let seen: BTreeMap<String, u64> = serde_json::from_value(json["seen"].clone()).ok()?;
    let intact = json["sum"].as_str() == Some(&checksum(&serde_json::to_string(&seen).ok()?));
    intact.then_some(seen)
}

impl Fences {
    /// `dir` is the state directory, if one is configured. The file is read when a number is checked.
    pub fn new(dir: Option<&Path>) -> Self {
        Fences { dir: dir.map(Path::to_owned), table: RefCell::default() }
    }

    /// Admits a change if its number is not older than any number that a process of this node has seen.
    ///
    /// # Errors
    /// The change must not be made: its number is outdated, the table is full, or the number could not be
    /// stored.
    pub fn admit(&self, fence: &Fence) -> Result<(), FenceError> {
        let Some(dir) = &self.dir else {
            return self.table.borrow_mut().admit(fence).map(drop).map_err(FenceError::Refused);
        };
        // The lock makes the two processes read and write one after the other. It is released when the file
        // is closed.
        let lock = File::create(dir.join(LOCK)).map_err(FenceError::NotStored)?;
        lock.lock().map_err(FenceError::NotStored)?;
        let mut seen = self.table.borrow().seen().clone();
        for (duty, number) in self.stored(dir) {
            let newest = seen.entry(duty).or_default();
            *newest = number.max(*newest);
        }
        // Numbers that the other process has seen are kept in memory, even if the file is lost later.
        let mut table = self.table.borrow_mut();
        *table = FenceTable::from_numbers(seen);
        if table.admit(fence).map_err(FenceError::Refused)? {
            store(dir, table.seen()).map_err(FenceError::NotStored)?;
        }
        Ok(())
    }

    fn stored(&self, dir: &Path) -> BTreeMap<String, u64> {
        let file = dir.join(FILE);
        match std::fs::read_to_string(&file) {
            Ok(text) => parse(&text).unwrap_or_else(|| {
                eprintln!("{}: damaged file of fencing numbers ignored", file.display());
                BTreeMap::new()
            }),
            // No number has been stored yet.
            Err(_) => BTreeMap::new(),
        }
    }
}

fn store(dir: &Path, seen: &BTreeMap<String, u64>) -> io::Result<()> {
    let text = serde_json::to_string(seen)?;
    let new = dir.join(FILE).with_extension(format!("{}.new", std::process::id()));
    let mut file = File::create(&new)?;
    file.write_all(json!({"seen": seen, "sum": checksum(&text)}).to_string().as_bytes())?;
    file.sync_all()?;
    std::fs::rename(new, dir.join(FILE))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fence(fence: u64) -> Fence {
        Fence { duty: "release".into(), fence }
    }

    #[test]
    fn every_process_refuses_an_outdated_holder_and_ignores_a_damaged_file() {
        let dir = std::env::temp_dir().join(format!("shaletrail-node-fences-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let (one, two) = (Fences::new(Some(&dir)), Fences::new(Some(&dir)));
        let old = |fences: &Fences, number| {
            matches!(fences.admit(&fence(number)), Err(FenceError::Refused(FenceRefusal::Outdated { .. })))
        };
        assert!(one.admit(&fence(5)).is_ok() && one.admit(&fence(5)).is_ok());
        assert!(old(&two, 4) && two.admit(&fence(7)).is_ok());
        assert!(old(&one, 5) && old(&Fences::new(Some(&dir)), 6));
        for damaged in ["", "{", "{\"seen\":{\"release\":1},\"sum\":\"0\"}", "{\"seen\":[]}"] {
            std::fs::write(dir.join(FILE), damaged).unwrap();
            assert!(old(&one, 6), "the process remembers the numbers that it has seen: {damaged}");
        }
        assert!(one.admit(&fence(8)).is_ok() && old(&two, 7), "the next number replaces the damaged file");
        std::fs::remove_dir_all(&dir).unwrap();
        assert!(matches!(one.admit(&fence(9)), Err(FenceError::NotStored(_))));
    }
}
