//! Fencing numbers at the operators' door: which duty's holder was here last. Kept in a file, so that an old holder is also
//! refused by the next process of the node, and by the other one while two run.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use serde_json::{json, Value};
use shaletrail_registry_client::fences::{Barred, Book};
use shaletrail_registry_protocol::duty::Fence;

const FILE: &str = "duty-fences.json";
const LOCK: &str = "duty-fences.lock";

/// Why a change under a fence is not made.
#[derive(Debug)]
pub enum Refused {
    Barred(Barred),
    /// Its number could not be kept: the next process would let an older one in.
    NotKept(io::Error),
}

pub struct Fences {
    /// `None` where the platform gives no folder: then the numbers end with the process.
    folder: Option<PathBuf>,
    book: RefCell<Book>,
}

/// FNV-1a, 64 bits: tells a file that is as it was written from one that is not.
fn sum(text: &str) -> String {
    let hash = text.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    format!("{hash:016x}")
}

fn read(text: &str) -> Option<BTreeMap<String, u64>> {
    let json: Value = serde_json::from_str(text).ok()?;
    let seen: BTreeMap<String, u64> = serde_json::from_value(json["seen"].clone()).ok()?;
    let whole = json["sum"].as_str() == Some(&sum(&serde_json::to_string(&seen).ok()?));
    whole.then_some(seen)
}

impl Fences {
    pub fn new(folder: Option<&Path>) -> Self {
        Fences { folder: folder.map(Path::to_owned), book: RefCell::default() }
    }

    /// Lets a change in whose number is no older than any seen here, by whichever process.
    ///
    /// # Errors
    /// The change must not be made.
    pub fn admit(&self, fence: &Fence) -> Result<(), Refused> {
        let Some(folder) = &self.folder else {
            return self.book.borrow_mut().admit(fence).map(drop).map_err(Refused::Barred);
        };
        // Two processes read and write one after the other. The lock ends with the file.
        let lock = File::create(folder.join(LOCK)).map_err(Refused::NotKept)?;
        lock.lock().map_err(Refused::NotKept)?;
        let mut seen = self.book.borrow().seen().clone();
        for (duty, number) in self.kept(folder) {
            let newest = seen.entry(duty).or_default();
            *newest = number.max(*newest);
        }
        // Also what the other process has seen is known here from now on, whatever becomes of the file.
        let mut book = self.book.borrow_mut();
        *book = Book::of(seen);
        if book.admit(fence).map_err(Refused::Barred)? {
            keep(folder, book.seen()).map_err(Refused::NotKept)?;
        }
        Ok(())
    }

    fn kept(&self, folder: &Path) -> BTreeMap<String, u64> {
        let file = folder.join(FILE);
        match std::fs::read_to_string(&file) {
            Ok(text) => read(&text).unwrap_or_else(|| {
                eprintln!("{}: damaged, and left aside", file.display());
                BTreeMap::new()
            }),
            // None yet.
            Err(_) => BTreeMap::new(),
        }
    }
}

fn keep(folder: &Path, seen: &BTreeMap<String, u64>) -> io::Result<()> {
    let text = serde_json::to_string(seen)?;
    let new = folder.join(FILE).with_extension(format!("{}.new", std::process::id()));
    let mut writing = File::create(&new)?;
    writing.write_all(json!({"seen": seen, "sum": sum(&text)}).to_string().as_bytes())?;
    writing.sync_all()?;
    std::fs::rename(new, folder.join(FILE))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fence(fence: u64) -> Fence {
        Fence { duty: "release".into(), fence }
    }

    #[test]
    fn two_processes_and_the_next_one_refuse_an_old_holder_and_damage_is_left_aside() {
        let folder = std::env::temp_dir().join(format!("shaletrail-node-fences-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let (one, two) = (Fences::new(Some(&folder)), Fences::new(Some(&folder)));
        let old = |fences: &Fences, number| {
            matches!(fences.admit(&fence(number)), Err(Refused::Barred(Barred::Old { .. })))
        };
        assert!(one.admit(&fence(5)).is_ok() && one.admit(&fence(5)).is_ok());
        assert!(old(&two, 4) && two.admit(&fence(7)).is_ok());
        assert!(old(&one, 5) && old(&Fences::new(Some(&folder)), 6));
        for damaged in ["", "{", "{\"seen\":{\"release\":1},\"sum\":\"0\"}", "{\"seen\":[]}"] {
            std::fs::write(folder.join(FILE), damaged).unwrap();
            assert!(old(&one, 6), "what this process knows itself it knows: {damaged}");
        }
        assert!(one.admit(&fence(8)).is_ok() && old(&two, 7), "and the next number mends it");
        std::fs::remove_dir_all(&folder).unwrap();
        assert!(matches!(one.admit(&fence(9)), Err(Refused::NotKept(_))));
    }
}
