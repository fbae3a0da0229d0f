//! Maintenance of the registry by the command `registry keeper`: scheduled backups, and the confirmation that
//! lets entries expire whose servers are found gone. Each of the two is a duty, so of all keepers that run
//! only one does it at a time.

use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

use hyper::Method;
use serde::{Deserialize, Serialize};
use shaletrail_registry_protocol::{
    ConfirmExpiry, ConfirmExpiryResult, EntryAddress, Expiry, MAX_LIST_BYTES,
};
use tokio::time::sleep;

use crate::agent::is_alive;
use crate::client::RegistryClient;
use crate::clock;
use crate::duty::{DutyError, HeldDuty};

/// The duties' names.
pub const BACKUP_DUTY: &str = "registry-backup";
/// Name of the duty whose holder handles stopped expiry.
pub const EXPIRY_DUTY: &str = "registry-expiry";

/// Longest backup that is read, in bytes.
const MAX_BACKUP_BYTES: usize = MAX_LIST_BYTES * 4;
/// Longest interval between two checks whether a backup is due, and the longest pause after a failed backup.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(30);
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(10);
/// Pause between two checks of the entries whose expiry is stopped.
const CHECK_PAUSE: Duration = Duration::from_secs(2);
/// Probes in flight at once.
const MAX_PROBES_IN_FLIGHT: usize = 32;

// ---- Backups ------------------------------------------------------------------------------------------

/// Where and how often backups are taken.
#[derive(Clone, Debug)]
pub struct BackupPlan {
    pub folder: PathBuf,
    pub every: Duration,
    /// Number of backups that are kept; older ones are deleted.
    pub keep: usize,
}

/// The duty's checkpoint: the last backup that was taken.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackupRecord {
    /// When it was taken, in Unix time.
    pub taken_ms: u64,
    pub file: String,
    pub bytes: u64,
}

/// Why a backup could not be taken.
#[derive(Debug, thiserror::Error)]
pub enum BackupError {
    #[error("{0}")]
    Registry(#[from] crate::client::ChangeError),
    #[error(transparent)]
    Duty(#[from] DutyError),
    #[error("{}: {error}", file.display())]
    File { file: PathBuf, error: io::Error },
}

/// Writes a backup of the registry to this file atomically. Returns its length in bytes.
///
/// # Errors
/// The backup could not be read or written; an existing file is not changed.
pub async fn save(registry: &mut RegistryClient, file: &Path) -> Result<u64, BackupError> {
    let body = registry.get("/registry/backup", MAX_BACKUP_BYTES).await?;
    let mut new = file.as_os_str().to_owned();
    new.push(".new");
    let write = || {
        let mut output = std::fs::File::create(&new)?;
        output.write_all(&body)?;
        output.sync_all()?;
        std::fs::rename(&new, file)?;
        let folder = file.parent().filter(|folder| !folder.as_os_str().is_empty());
        std::fs::File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
    };
    write().map_err(|error| BackupError::File { file: file.to_owned(), error })?;
    Ok(body.len() as u64)
}

/// A jump of the wall clock by the interval makes a backup due in either direction: one backup too many is
/// better than one too few.
fn is_due(last: &BackupRecord, now_ms: u64, every: Duration) -> bool {
    u128::from(last.taken_ms.abs_diff(now_ms)) >= every.as_millis()
}

/// Takes backups on schedule. The schedule continues from the last backup, also if another keeper took it.
pub async fn run_backups(mut held: HeldDuty, plan: &BackupPlan, mut say: impl FnMut(String)) {
    loop {
        let wait = match back_up_if_due(&mut held, plan).await {
            Ok(None) => (plan.every / 4).min(MAX_CHECK_INTERVAL),
            Ok(Some(taken)) => {
                say(format!("{BACKUP_DUTY}: {}, {} bytes", taken.file, taken.bytes));
                Duration::ZERO
            }
            Err(e) => {
                say(format!("{BACKUP_DUTY}: backup failed: {e}"));
                MAX_RETRY_PAUSE.min(plan.every)
            }
        };
        sleep(wait).await;
    }
}

async fn back_up_if_due(held: &mut HeldDuty, plan: &BackupPlan) -> Result<Option<BackupRecord>, BackupError> {
    let checkpoint = held.checkpoint().await?;
    // If the checkpoint is missing or not readable, a backup is due at once.
    let last: BackupRecord = serde_json::from_str(&checkpoint.data).unwrap_or_default();
    let taken_ms = clock::unix().as_millis() as u64;
    if !is_due(&last, taken_ms, plan.every) {
        return Ok(None);
    }
    // The name begins with the fencing number, which only grows, and the time, so names sort by age.
    let file = format!("registry-{:020}-{taken_ms}.backup", held.fence.fence);
    let bytes = save(&mut held.registry, &plan.folder.join(&file)).await?;
    prune(plan)?;
    let taken = BackupRecord { taken_ms, file, bytes };
    held.write_checkpoint(checkpoint.version, &serde_json::to_string(&taken).unwrap_or_default()).await?;
    Ok(Some(taken))
}

/// Removes all but the newest backups, and files that a crash left incomplete. Names sort by age.
fn prune(plan: &BackupPlan) -> Result<(), BackupError> {
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

/// The result of probing the entries whose expiry is stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExpiryDecision {
    /// All of their servers were found gone.
    Expire,
    /// Expiry stays stopped, for this reason.
    Keep(String),
}

/// Decides by the probes whether the entries may expire. `stopped` tells for each entry whose expiry is
/// stopped whether its server answered; `others` tells it for a sample of the remaining servers.
pub fn decide_expiry(stopped: &[bool], others: &[bool]) -> ExpiryDecision {
    let (answering, reached) =
        (stopped.iter().filter(|answering| **answering).count(), others.iter().filter(|r| **r).count());
    if answering > 0 {
        let all = stopped.len();
        return ExpiryDecision::Keep(format!(
            "{answering} of {all} silent servers answer: their agents are cut off"
        ));
    }
    // A keeper that can't reach most servers can't tell whether the others are gone.
    if reached * 2 <= others.len() {
        let all = others.len();
        return ExpiryDecision::Keep(format!(
            "{reached} of {all} other servers answer: this keeper may be cut off"
        ));
    }
    ExpiryDecision::Expire
}

async fn probe_all(servers: &[EntryAddress]) -> Vec<bool> {
    let mut answered = Vec::with_capacity(servers.len());
    for batch in servers.chunks(MAX_PROBES_IN_FLIGHT) {
        let probes: Vec<_> = batch.iter().map(|server| tokio::spawn(is_alive(server.addr))).collect();
        for probe in probes {
            // A probe without a result counts as answered, so that no entry expires because of it.
            answered.push(probe.await.unwrap_or(true));
        }
    }
    answered
}

/// Checks the entries whose expiry is stopped, confirms the expiry if all of their servers were found gone in
/// two checks in a row, and logs why entries stay.
pub async fn run_expiry(mut held: HeldDuty, mut say: impl FnMut(String)) {
    let mut gone_last_time: Vec<String> = Vec::new();
    let mut last_logged = String::new();
    loop {
        sleep(CHECK_PAUSE).await;
        let expiry: Expiry = match held.registry.read("/registry/expiry", MAX_LIST_BYTES).await {
            Ok(expiry) => expiry,
            Err(e) => {
                say(format!("{EXPIRY_DUTY}: could not read the entries whose expiry is stopped: {e}"));
                continue;
            }
        };
        if expiry.stopped.is_empty() {
            gone_last_time.clear();
            last_logged.clear();
            continue;
        }
        let ids: Vec<String> = expiry.stopped.iter().map(|server| server.id.clone()).collect();
        let message = match decide_expiry(&probe_all(&expiry.stopped).await, &probe_all(&expiry.others).await)
        {
            ExpiryDecision::Keep(why) => {
                gone_last_time.clear();
                format!("{} entries stay: {why}", ids.len())
            }
            ExpiryDecision::Expire if gone_last_time != ids => {
                gone_last_time = ids;
                continue;
            }
            ExpiryDecision::Expire => {
                gone_last_time.clear();
                if !held.holds() {
                    return;
                }
                let request = ConfirmExpiry { most: ids.len() };
                let path = "/registry/expiry/confirm";
                match held
                    .registry
                    .send::<ConfirmExpiryResult>(Method::POST, path, &request, CHECK_PAUSE)
                    .await
                {
                    Ok(confirmed) => {
                        format!("{} servers are gone and may expire: {}", confirmed.expired, ids.join(" "))
                    }
                    Err(e) => e.to_string(),
                }
            }
        };
        if last_logged != message {
            say(format!("{EXPIRY_DUTY}: {message}"));
            last_logged = message;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn no_entry_expires_if_its_server_answers_or_if_the_keeper_reaches_too_few_servers() {
        let keep = |decision| matches!(decision, ExpiryDecision::Keep(_));
        assert_eq!(decide_expiry(&[false, false], &[true, true, false]), ExpiryDecision::Expire);
        assert!(keep(decide_expiry(&[false, true], &[true, true])));
        assert!(keep(decide_expiry(&[false, false], &[false, true])), "half is not more than half");
        assert!(keep(decide_expiry(&[false], &[])), "no other server to compare with");
    }

    #[test]
    fn a_backup_is_due_by_schedule_and_after_a_clock_that_jumped_either_way() {
        let hour = Duration::from_secs(3600);
        let last = BackupRecord { taken_ms: 10_000_000, ..BackupRecord::default() };
        assert!(!is_due(&last, 10_000_000 + 3_599_999, hour));
        assert!(is_due(&last, 10_000_000 + 3_600_000, hour) && is_due(&last, 10_000_000 - 3_600_000, hour));
        assert!(is_due(&BackupRecord::default(), 3_600_000, hour));
    }
}
