//! Which cache servers operators have taken out, kept in a file so that it outlives the process. While two
//! processes of the node run, both follow the file.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

use serde_json::{json, Value};
use shaletrail_policy::{Seconds, ServerId};

const FILE: &str = "cache-servers-by-hand.json";

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Taken {
    pub out: BTreeSet<ServerId>,
    /// When those that are back were called back, in milliseconds of Unix time.
    pub back: BTreeMap<ServerId, u64>,
}

impl Taken {
    pub fn read(text: &str) -> Option<Taken> {
        let json: Value = serde_json::from_str(text).ok()?;
        let id = |text: &str| ServerId(text.into());
        let out = json["out"].as_array()?.iter().map(|name| name.as_str().map(id));
        let back = json["back"].as_object()?.iter().map(|(name, at)| Some((id(name), at.as_u64()?)));
        Some(Taken { out: out.collect::<Option<_>>()?, back: back.collect::<Option<_>>()? })
    }

    fn json(&self) -> Value {
        let name = |id: &ServerId| id.0.to_string();
        let back: BTreeMap<String, u64> = self.back.iter().map(|(id, at)| (name(id), *at)).collect();
        json!({"out": self.out.iter().map(name).collect::<Vec<_>>(), "back": back})
    }

    /// False where it was so already.
    fn set(&mut self, server: &ServerId, out: bool, now: Seconds, keep: Seconds) -> bool {
        self.back.retain(|_, at| now - seconds(*at) < keep);
        if out {
            self.back.remove(server);
            return self.out.insert(server.clone());
        }
        let was = self.out.remove(server);
        if was {
            self.back.insert(server.clone(), (now * 1000.0) as u64);
        }
        was
    }
}

fn seconds(ms: u64) -> Seconds {
    ms as Seconds / 1000.0
}

/// What tells one version of the file from the next: a rename brings a new inode.
type Stamp = (u64, i64, i64);

pub struct ByHand {
    /// `None` where the platform gives no folder: then the state ends with the process.
    path: Option<PathBuf>,
    stamp: Cell<Option<Stamp>>,
    now: RefCell<Taken>,
}

impl ByHand {
    pub fn new(folder: Option<&Path>) -> Self {
        let path = folder.map(|folder| folder.join(FILE));
        ByHand { path, stamp: Cell::default(), now: RefCell::default() }
    }

    pub fn is_out(&self, server: &ServerId) -> bool {
        self.now.borrow().out.contains(server)
    }

    /// What the file says, if it has changed since the last look. One that can't be read changes nothing.
    fn look(&self) -> Option<Taken> {
        let path = self.path.as_ref()?;
        let found = std::fs::metadata(path).ok()?;
        let stamp = Some((found.ino(), found.mtime(), found.mtime_nsec()));
        if self.stamp.replace(stamp) == stamp {
            return None;
        }
        let taken = std::fs::read_to_string(path).ok().and_then(|text| Taken::read(&text));
        if taken.is_none() {
            eprintln!("{}: can't be read, and is left aside", path.display());
        }
        taken
    }

    fn keep(&self, taken: &Taken) -> io::Result<()> {
        let Some(path) = &self.path else { return Ok(()) };
        // A name of this process's own, as the other process may write at the same time.
        let new = path.with_extension(format!("{}.new", std::process::id()));
        std::fs::write(&new, taken.json().to_string())?;
        std::fs::rename(&new, path)
    }

    /// Takes a server out or calls it back, and says in what the state has changed, and whether it is kept.
    pub fn set(
        &self,
        server: &ServerId,
        out: bool,
        now: Seconds,
        keep: Seconds,
    ) -> (Vec<Change>, io::Result<()>) {
        // Beginning from what the other process may have written since the last look.
        let mut changes = self.follow();
        let mut next = self.now.borrow().clone();
        let mut kept = Ok(());
        if next.set(server, out, now, keep) {
            kept = self.keep(&next);
            changes.extend(self.change_to(next));
        }
        (changes, kept)
    }

    /// Follows the file.
    pub fn follow(&self) -> Vec<Change> {
        self.look().map(|taken| self.change_to(taken)).unwrap_or_default()
    }

    fn change_to(&self, next: Taken) -> Vec<Change> {
        let mut now = self.now.borrow_mut();
        let gone = next.out.difference(&now.out).map(|id| Change { server: id.clone(), back: None });
        let called = next.back.iter().filter(|(id, at)| now.back.get(*id) != Some(at));
        let back = called.map(|(id, at)| Change { server: id.clone(), back: Some(seconds(*at)) });
        let changes = gone.chain(back).collect();
        *now = next;
        changes
    }
}

/// A server is out from now on, or was called back at this time.
#[derive(Debug, PartialEq)]
pub struct Change {
    pub server: ServerId,
    pub back: Option<Seconds>,
}

#[cfg(test)]
mod tests {
    use super::*;

    fn id(name: &str) -> ServerId {
        ServerId(name.into())
    }

    fn folder(name: &str) -> PathBuf {
        let folder =
            std::env::temp_dir().join(format!("shaletrail-node-byhand-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        folder
    }

    #[test]
    fn one_process_follows_what_the_other_is_told_and_a_later_one_starts_from_it() {
        let folder = folder("two");
        let (one, two) = (ByHand::new(Some(&folder)), ByHand::new(Some(&folder)));
        let out = |server: &str| Change { server: id(server), back: None };
        assert_eq!(one.set(&id("s-1"), true, 100.0, 60.0).0, [out("s-1")]);
        assert_eq!(one.set(&id("s-1"), true, 101.0, 60.0).0, [], "twice is once");
        assert_eq!(two.follow(), [out("s-1")]);
        assert_eq!(two.follow(), []);
        assert_eq!(two.set(&id("s-2"), true, 102.0, 60.0).0, [out("s-2")]);
        assert_eq!(two.follow(), [], "what it has written itself is no news");
        assert_eq!(one.set(&id("s-1"), false, 103.0, 60.0).0.len(), 2, "the other's and its own");
        assert!(two.is_out(&id("s-1")));
        assert_eq!(two.follow(), [Change { server: id("s-1"), back: Some(103.0) }]);
        let later = ByHand::new(Some(&folder));
        assert_eq!(later.follow(), [out("s-2"), Change { server: id("s-1"), back: Some(103.0) }]);
        assert!(later.is_out(&id("s-2")) && !later.is_out(&id("s-1")));
        assert_eq!(later.set(&id("s-2"), false, 200.0, 60.0).0.len(), 1);
        assert_eq!(later.now.borrow().back.len(), 1, "old call backs are forgotten");
        std::fs::remove_dir_all(folder).unwrap();
    }

    #[test]
    fn a_damaged_file_changes_nothing_and_the_next_call_mends_it() {
        let folder = folder("damaged");
        for text in ["", "{", "[]", "{\"out\":[7],\"back\":{}}", "{\"out\":[]}"] {
            std::fs::write(folder.join(FILE), text).unwrap();
            let state = ByHand::new(Some(&folder));
            assert_eq!(state.follow(), [], "{text}");
            assert_eq!(state.set(&id("s-1"), true, 1.0, 60.0).0.len(), 1);
            assert_eq!(ByHand::new(Some(&folder)).follow().len(), 1);
        }
        std::fs::remove_dir_all(folder).unwrap();
    }

    #[test]
    fn without_a_folder_the_state_is_the_process_s_own() {
        let state = ByHand::new(None);
        assert_eq!(state.set(&id("s-1"), true, 1.0, 60.0).0.len(), 1);
        assert!(state.is_out(&id("s-1")));
        let unwritable = ByHand::new(Some(Path::new("/nowhere/at/all")));
        assert!(unwritable.set(&id("s-1"), true, 1.0, 60.0).1.is_err());
        assert!(unwritable.is_out(&id("s-1")), "out all the same, but the caller hears that it isn't kept");
    }
}
