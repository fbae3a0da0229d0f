//! The registry's own standing duties, held by one keeper of however many run: scheduled backups, and the word that lets
//! silent entries expire once it is seen that their servers are gone.

use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

use hyper::Method;
use serde::{Deserialize, Serialize};
use shaletrail_registry_protocol::{
    ConfirmExpiry, ConfirmExpiryResult, EntryAddress, Expiry, MAX_LIST_BYTES,
};
use tokio::time::sleep;

use crate::agent::answers;
use crate::changes::Changes;
use crate::clock;
use crate::duty::{DutyError, Held};

/// The duties' names.
pub const BACKUP: &str = "registry-backup";
pub const EXPIRY: &str = "registry-expiry";

/// Most bytes of a backup.
const LONGEST_BACKUP: usize = MAX_LIST_BYTES * 4;
/// How often it is looked whether a backup is due, at the least, and the pause after one that failed.
const LOOK: Duration = Duration::from_secs(30);
const AGAIN: Duration = Duration::from_secs(10);
/// Between two looks at entries whose expiry is stopped.
const PROBE_PAUSE: Duration = Duration::from_secs(2);
/// Probes under way at once.
const TOGETHER: usize = 32;

// ---- Backups ------------------------------------------------------------------------------------------

/// Where backups go, and how often.
#[derive(Clone, Debug)]
pub struct Backups {
    pub folder: PathBuf,
    pub every: Duration,
    /// So many stay; older ones go.
    pub keep: usize,
}

/// The checkpoint: what the last one came to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Taken {
    /// Unix time.
    pub taken_ms: u64,
    pub file: String,
    pub bytes: u64,
}

/// Why a backup is not there.
#[derive(Debug, thiserror::Error)]
pub enum BackupError {
    #[error("{0}")]
    Registry(#[from] crate::changes::ChangeError),
    #[error(transparent)]
    Duty(#[from] DutyError),
    #[error("{}: {error}", file.display())]
    File { file: PathBuf, error: io::Error },
}

/// Writes the registry's backup to this file, whole or not at all. Returns its length.
///
/// # Errors
/// The old file stays.
pub async fn save(changes: &mut Changes, file: &Path) -> Result<u64, BackupError> {
    let body = changes.get("/registry/backup", LONGEST_BACKUP).await?;
    let mut new = file.as_os_str().to_owned();
    new.push(".new");
    let write = || {
        let mut writing = std::fs::File::create(&new)?;
        writing.write_all(&body)?;
        writing.sync_all()?;
        std::fs::rename(&new, file)?;
        let folder = file.parent().filter(|folder| !folder.as_os_str().is_empty());
        std::fs::File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
    };
    write().map_err(|error| BackupError::File { file: file.to_owned(), error })?;
    Ok(body.len() as u64)
}

/// A clock that was set back makes a backup due as one that went on does: one too many is the lesser harm.
fn is_due(last: &Taken, now_ms: u64, every: Duration) -> bool {
    u128::from(last.taken_ms.abs_diff(now_ms)) >= every.as_millis()
}

/// Takes backups on schedule, each time from where the last one, whoever took it, left off.
pub async fn back_up(mut held: Held, plan: &Backups, mut say: impl FnMut(String)) {
    loop {
        let wait = match back_up_if_due(&mut held, plan).await {
            Ok(None) => (plan.every / 4).min(LOOK),
            Ok(Some(taken)) => {
                say(format!("{BACKUP}: {}, {} bytes", taken.file, taken.bytes));
                Duration::ZERO
            }
            Err(e) => {
                say(format!("{BACKUP}: {e}"));
                AGAIN.min(plan.every)
            }
        };
        sleep(wait).await;
    }
}

async fn back_up_if_due(held: &mut Held, plan: &Backups) -> Result<Option<Taken>, BackupError> {
    let left = held.left().await?;
    // What is not this program's makes one due at once.
    let last: Taken = serde_json::from_str(&left.data).unwrap_or_default();
    let taken_ms = clock::unix().as_millis() as u64;
    if !is_due(&last, taken_ms, plan.every) {
        return Ok(None);
    }
    // Named by the fence, which only grows, and by time within it.
    let file = format!("registry-{:020}-{taken_ms}.backup", held.fence.fence);
    let bytes = save(&mut held.changes, &plan.folder.join(&file)).await?;
    prune(plan)?;
    let taken = Taken { taken_ms, file, bytes };
    held.leave(left.version, &serde_json::to_string(&taken).unwrap_or_default()).await?;
    Ok(Some(taken))
}

/// Removes all but the newest backups, and what a death left half written. Names sort by age.
fn prune(plan: &Backups) -> Result<(), BackupError> {
    let failed = |error| BackupError::File { file: plan.folder.clone(), error };
    let mut backups = Vec::new();
    for entry in std::fs::read_dir(&plan.folder).map_err(failed)? {
        let name = entry.map_err(failed)?.file_name().to_string_lossy().into_owned();
        if name.starts_with("registry-") && name.ends_with(".backup") {
            backups.push(name);
        } else if name.starts_with("registry-") && name.ends_with(".backup.new") {
            std::fs::remove_file(plan.folder.join(name)).map_err(failed)?;
        }
    }
    backups.sort();
    let old = backups.len().saturating_sub(plan.keep);
    for name in &backups[..old] {
        std::fs::remove_file(plan.folder.join(name)).map_err(failed)?;
    }
    Ok(())
}

// ---- Expiry -------------------------------------------------------------------------------------------

/// What a look at stopped expiry comes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Judgement {
    /// All of them were found gone.
    Gone,
    /// It stays stopped, for this reason.
    Leave(String),
}

/// Pure: `stopped` and `others` say of each one asked whether it answered.
pub fn judge(stopped: &[bool], others: &[bool]) -> Judgement {
    let (there, reached) =
        (stopped.iter().filter(|there| **there).count(), others.iter().filter(|r| **r).count());
    if there > 0 {
        let all = stopped.len();
        return Judgement::Leave(format!("{there} of {all} silent servers answer: their agents are cut off"));
    }
    // Who reaches nobody tells nothing about others.
    if reached * 2 <= others.len() {
        let all = others.len();
        return Judgement::Leave(format!(
            "{reached} of {all} other servers answer: this keeper may be cut off"
        ));
    }
    Judgement::Gone
}

async fn ask(servers: &[EntryAddress]) -> Vec<bool> {
    let mut answered = Vec::with_capacity(servers.len());
    for some in servers.chunks(TOGETHER) {
        let asked: Vec<_> = some.iter().map(|server| tokio::spawn(answers(server.addr))).collect();
        for one in asked {
            // An unknown answer is none that lets anybody go.
            answered.push(one.await.unwrap_or(true));
        }
    }
    answered
}

/// Looks after stopped expiry: lets those go that were found gone twice in a row, and says why others stay.
pub async fn confirm(mut held: Held, mut say: impl FnMut(String)) {
    let mut gone_before: Vec<String> = Vec::new();
    let mut said = String::new();
    loop {
        sleep(PROBE_PAUSE).await;
        let expiry: Expiry = match held.changes.read("/registry/expiry", MAX_LIST_BYTES).await {
            Ok(expiry) => expiry,
            Err(e) => {
                say(format!("{EXPIRY}: {e}"));
                continue;
            }
        };
        if expiry.stopped.is_empty() {
            gone_before.clear();
            said.clear();
            continue;
        }
        let ids: Vec<String> = expiry.stopped.iter().map(|server| server.id.clone()).collect();
        let what = match judge(&ask(&expiry.stopped).await, &ask(&expiry.others).await) {
            Judgement::Leave(why) => {
                gone_before.clear();
                format!("{} entries stay: {why}", ids.len())
            }
            Judgement::Gone if gone_before != ids => {
                gone_before = ids;
                continue;
            }
            Judgement::Gone => {
                gone_before.clear();
                if !held.holds() {
                    return;
                }
                let word = ConfirmExpiry { most: ids.len() };
                let path = "/registry/expiry/confirm";
                match held.changes.put::<ConfirmExpiryResult>(Method::POST, path, &word, PROBE_PAUSE).await {
                    Ok(told) => {
                        format!("{} servers are gone and may expire: {}", told.expired, ids.join(" "))
                    }
                    Err(e) => e.to_string(),
                }
            }
        };
        if said != what {
            say(format!("{EXPIRY}: {what}"));
            said = what;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn nobody_is_let_go_who_answers_or_by_a_keeper_that_reaches_nobody() {
        let leave = |judgement| matches!(judgement, Judgement::Leave(_));
        assert_eq!(judge(&[false, false], &[true, true, false]), Judgement::Gone);
        assert!(leave(judge(&[false, true], &[true, true])));
        assert!(leave(judge(&[false, false], &[false, true])), "half is not more than half");
        assert!(leave(judge(&[false], &[])), "nobody to tell by");
    }

    #[test]
    fn a_backup_is_due_by_schedule_and_after_a_clock_that_jumped_either_way() {
        let hour = Duration::from_secs(3600);
        let last = Taken { taken_ms: 10_000_000, ..Taken::default() };
        assert!(!is_due(&last, 10_000_000 + 3_599_999, hour));
        assert!(is_due(&last, 10_000_000 + 3_600_000, hour) && is_due(&last, 10_000_000 - 3_600_000, hour));
        assert!(is_due(&Taken::default(), 3_600_000, hour));
    }
}
