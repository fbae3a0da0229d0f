//! The cache servers that operators have disabled. The set is kept in a file so that it survives the
//! process; while two processes of the node run, both follow the file.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

use serde_json::{json, Value};
use shaletrail_policy::{Seconds, ServerId};

const FILE: &str = "cache-servers-by-hand.json";

/// The content of the state file: disabled servers, and those enabled again recently.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DisabledState {
    pub disabled: BTreeSet<ServerId>,
    /// When re-enabled servers were enabled, in milliseconds of Unix time.
    pub enabled_at: BTreeMap<ServerId, u64>,
}

impl DisabledState {
    /// Parses the content of the state file. Returns `None` if it is not valid.
    pub fn parse(text: &str) -> Option<DisabledState> {
        let json: Value = serde_json::from_str(text).ok()?;
        let id = |text: &str| ServerId(text.into());
        let disabled = json["out"].as_array()?.iter().map(|name| name.as_str().map(id));
        let enabled_at = json["back"].as_object()?.iter().map(|(name, at)| Some((id(name), at.as_u64()?)));
        Some(DisabledState {
            disabled: disabled.collect::<Option<_>>()?,
            enabled_at: enabled_at.collect::<Option<_>>()?,
        })
    }

    fn to_json(&self) -> Value {
        let name = |id: &ServerId| id.0.to_string();
        let enabled_at: BTreeMap<String, u64> =
            self.enabled_at.iter().map(|(id, at)| (name(id), *at)).collect();
        json!({"out": self.disabled.iter().map(name).collect::<Vec<_>>(), "back": enabled_at})
    }

    /// Returns false if the server was in that state already.
    fn set_disabled(&mut self, server: &ServerId, disabled: bool, now: Seconds, retention: Seconds) -> bool {
        self.enabled_at.retain(|_, at| now - ms_to_seconds(*at) < retention);
        if disabled {
            self.enabled_at.remove(server);
            return self.disabled.insert(server.clone());
        }
        let was_disabled = self.disabled.remove(server);
        if was_disabled {
            self.enabled_at.insert(server.clone(), (now * 1000.0) as u64);
        }
        was_disabled
    }
}

fn ms_to_seconds(ms: u64) -> Seconds {
    ms as Seconds / 1000.0
}

/// Identifies a version of the file: each rename gives it a new inode.
type FileVersion = (u64, i64, i64);

/// The disabled servers, in memory and, if a state directory is configured, in a file.
pub struct DisabledServers {
    /// `None` if no state directory is configured; then the state is lost when the process ends.
    path: Option<PathBuf>,
    version: Cell<Option<FileVersion>>,
    current: RefCell<DisabledState>,
}

impl DisabledServers {
    /// `dir` is the state directory, if one is configured. The file is not read yet.
    pub fn new(dir: Option<&Path>) -> Self {
        let path = dir.map(|dir| dir.join(FILE));
        DisabledServers { path, version: Cell::default(), current: RefCell::default() }
    }

    /// Returns whether an operator has disabled the server, according to the state in memory.
    pub fn is_disabled(&self, server: &ServerId) -> bool {
        self.current.borrow().disabled.contains(server)
    }

    /// Returns the file's content if it has changed since the last call. An unreadable file changes nothing.
    fn read_if_changed(&self) -> Option<DisabledState> {
        let path = self.path.as_ref()?;
        let metadata = std::fs::metadata(path).ok()?;
        let version = Some((metadata.ino(), metadata.mtime(), metadata.mtime_nsec()));
        if self.version.replace(version) == version {
            return None;
        }
        let state = std::fs::read_to_string(path).ok().and_then(|text| DisabledState::parse(&text));
        if state.is_none() {
            eprintln!("{}: unreadable state file ignored", path.display());
        }
        state
    }

    fn persist(&self, state: &DisabledState) -> io::Result<()> {
        let Some(path) = &self.path else { return Ok(()) };
        // The temporary name contains the process id, because the other process may write at the same time.
        let new = path.with_extension(format!("{}.new", std::process::id()));
        std::fs::write(&new, state.to_json().to_string())?;
        std::fs::rename(&new, path)
    }

    /// Disables or enables a server. Returns what has changed, and whether the new state was written to the
    /// file.
    pub fn set_disabled(
        &self,
        server: &ServerId,
        disabled: bool,
        now: Seconds,
        retention: Seconds,
    ) -> (Vec<DisabledChange>, io::Result<()>) {
        // The other process may have written to the file since the last read.
        let mut changes = self.reload();
        let mut next = self.current.borrow().clone();
        let mut write_result = Ok(());
        if next.set_disabled(server, disabled, now, retention) {
            write_result = self.persist(&next);
            changes.extend(self.apply(next));
        }
        (changes, write_result)
    }

    /// Applies what another process has written to the file.
    pub fn reload(&self) -> Vec<DisabledChange> {
        self.read_if_changed().map(|state| self.apply(state)).unwrap_or_default()
    }

    fn apply(&self, next: DisabledState) -> Vec<DisabledChange> {
        let mut current = self.current.borrow_mut();
        let newly_disabled = next
            .disabled
            .difference(&current.disabled)
            .map(|id| DisabledChange { server: id.clone(), enabled_at: None });
        let newly_enabled = next.enabled_at.iter().filter(|(id, at)| current.enabled_at.get(*id) != Some(at));
        let enabled = newly_enabled
            .map(|(id, at)| DisabledChange { server: id.clone(), enabled_at: Some(ms_to_seconds(*at)) });
        let changes = newly_disabled.chain(enabled).collect();
        *current = next;
        changes
    }
}

/// One server that is disabled from now on (`enabled_at` is `None`) or was enabled at that time.
#[derive(Debug, PartialEq)]
pub struct DisabledChange {
    pub server: ServerId,
    pub enabled_at: Option<Seconds>,
}

#[cfg(test)]
mod tests {
    use super::*;

    fn id(name: &str) -> ServerId {
        ServerId(name.into())
    }

    fn dir(name: &str) -> PathBuf {
        let dir = std::env::temp_dir().join(format!("shaletrail-node-byhand-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        dir
    }

    #[test]
    fn one_process_follows_the_other_and_a_later_one_starts_from_the_file() {
        let dir = dir("two");
        let (one, two) = (DisabledServers::new(Some(&dir)), DisabledServers::new(Some(&dir)));
        let disabled = |server: &str| DisabledChange { server: id(server), enabled_at: None };
        assert_eq!(one.set_disabled(&id("s-1"), true, 100.0, 60.0).0, [disabled("s-1")]);
        assert_eq!(one.set_disabled(&id("s-1"), true, 101.0, 60.0).0, [], "disabling is idempotent");
        assert_eq!(two.reload(), [disabled("s-1")]);
        assert_eq!(two.reload(), []);
        assert_eq!(two.set_disabled(&id("s-2"), true, 102.0, 60.0).0, [disabled("s-2")]);
        assert_eq!(two.reload(), [], "its own write is not reported as a change");
        assert_eq!(
            one.set_disabled(&id("s-1"), false, 103.0, 60.0).0.len(),
            2,
            "the other process's change and its own"
        );
        assert!(two.is_disabled(&id("s-1")));
        assert_eq!(two.reload(), [DisabledChange { server: id("s-1"), enabled_at: Some(103.0) }]);
        let later = DisabledServers::new(Some(&dir));
        assert_eq!(
            later.reload(),
            [disabled("s-2"), DisabledChange { server: id("s-1"), enabled_at: Some(103.0) }]
        );
        assert!(later.is_disabled(&id("s-2")) && !later.is_disabled(&id("s-1")));
        assert_eq!(later.set_disabled(&id("s-2"), false, 200.0, 60.0).0.len(), 1);
        assert_eq!(later.current.borrow().enabled_at.len(), 1, "expired times are removed");
        std::fs::remove_dir_all(dir).unwrap();
    }

    #[test]
    fn a_damaged_file_changes_nothing_and_the_next_change_replaces_it() {
        let dir = dir("damaged");
        for text in ["", "{", "[]", "{\"out\":[7],\"back\":{}}", "{\"out\":[]}"] {
            std::fs::write(dir.join(FILE), text).unwrap();
            let state = DisabledServers::new(Some(&dir));
            assert_eq!(state.reload(), [], "{text}");
            assert_eq!(state.set_disabled(&id("s-1"), true, 1.0, 60.0).0.len(), 1);
            assert_eq!(DisabledServers::new(Some(&dir)).reload().len(), 1);
        }
        std::fs::remove_dir_all(dir).unwrap();
    }

    #[test]
    fn without_a_state_directory_the_state_is_kept_in_memory() {
        let state = DisabledServers::new(None);
        assert_eq!(state.set_disabled(&id("s-1"), true, 1.0, 60.0).0.len(), 1);
        assert!(state.is_disabled(&id("s-1")));
        let unwritable = DisabledServers::new(Some(Path::new("/nowhere/at/all")));
        assert!(unwritable.set_disabled(&id("s-1"), true, 1.0, 60.0).1.is_err());
        assert!(unwritable.is_disabled(&id("s-1")), "disabled although the state could not be written");
    }
}
