//! Shares the connection limits between the two processes of a node while a new version takes over. Each
//! process locks one of two files in a common directory and writes its connection counts to it. A lock is
//! released when its process ends, however it ends.

use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use shaletrail_policy::Event;
use tokio::time::sleep;

use crate::config::SharedSockets;
use crate::host::Host;
use crate::server::ClientConnections;

const FILES: [&str; 2] = ["process-1", "process-2"];
/// How often each process publishes its counts and reads those of the other.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(50);
/// Width of each count in a file, in characters.
const COUNT_DIGITS: usize = 8;

/// The file that this process has locked, and the one for the other process.
struct ProcessSlot {
    own: File,
    other_file: File,
}

impl ProcessSlot {
    /// Returns `None` if two other processes hold both files.
    fn claim(dir: &Path) -> io::Result<Option<ProcessSlot>> {
        let open = |name| {
            OpenOptions::new().read(true).write(true).create(true).truncate(false).open(dir.join(name))
        };
        for (own, other_file) in [(0, 1), (1, 0)] {
            let file = open(FILES[own])?;
            match file.try_lock() {
                Ok(()) => {
                    let slot = ProcessSlot { own: file, other_file: open(FILES[other_file])? };
                    slot.publish(SocketCounts::default())?;
                    return Ok(Some(slot));
                }
                Err(TryLockError::WouldBlock) => {}
                Err(TryLockError::Error(e)) => return Err(e),
            }
        }
        Ok(None)
    }

    fn publish(&self, open: SocketCounts) -> io::Result<()> {
        self.own.write_all_at(
            format!("{:COUNT_DIGITS$}{:COUNT_DIGITS$}", open.clients, open.upstreams).as_bytes(),
            0,
        )
    }

    /// Publishes this process's counts and returns those of the other process, if there is one.
    fn exchange(&self, open: SocketCounts) -> io::Result<Option<SocketCounts>> {
        self.publish(open)?;
        match self.other_file.try_lock_shared() {
            Ok(()) => {
                self.other_file.unlock()?;
                Ok(None)
            }
            Err(TryLockError::WouldBlock) => {
                let mut text = [0; 2 * COUNT_DIGITS];
                self.other_file.read_exact_at(&mut text, 0)?;
                let number = |digits: &[u8]| std::str::from_utf8(digits).ok()?.trim().parse().ok();
                let (clients, upstreams) = text.split_at(COUNT_DIGITS);
                let open = number(clients).zip(number(upstreams));
                let open = open.ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))?;
                Ok(Some(SocketCounts { clients: open.0, upstreams: open.1 }))
            }
            Err(TryLockError::Error(e)) => Err(e),
        }
    }
}

/// Number of connections of one process, or limits on them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct SocketCounts {
    clients: usize,
    upstreams: usize,
}

/// Limits for this process while another one runs. Clients connect to either process, and only to the new
/// one once the old one stops, so the clients' reserve is available to both. The rest is for upstreams, half
/// of it for each process.
fn socket_limits(
    total: usize,
    client_reserve: usize,
    own: SocketCounts,
    other_counts: SocketCounts,
) -> SocketCounts {
    let half = total.saturating_sub(client_reserve) / 2;
    let others = other_counts.clients + other_counts.upstreams.max(half) + own.upstreams.max(half);
    SocketCounts { clients: total.saturating_sub(others), upstreams: half }
}

/// Adapts the connection limits whenever another process of the node starts, runs or ends.
pub async fn run(dir: PathBuf, host: Rc<Host>, clients: Rc<ClientConnections>, config: SharedSockets) {
    let SharedSockets { total, client_reserve } = config;
    let own_limits = SocketCounts { clients: clients.limit(), upstreams: host.upstreams().limit() };
    let (mut slot, mut has_other_process) = (None, false);
    loop {
        let own = SocketCounts { clients: clients.open(), upstreams: host.upstreams().open() };
        let other_counts = read_other_counts(&mut slot, &dir, own).unwrap_or_else(|e| {
            eprintln!("{}: {e}", dir.display());
            None
        });
        let limits = other_counts
            .map_or(own_limits, |other_counts| socket_limits(total, client_reserve, own, other_counts));
        clients.set_limit(limits.clients.min(own_limits.clients));
        host.upstreams().set_limit(limits.upstreams.min(own_limits.upstreams));
        if has_other_process != other_counts.is_some() {
            has_other_process = other_counts.is_some();
            host.handle_event(Event::SecondProcess(has_other_process));
        }
        sleep(EXCHANGE_INTERVAL).await;
    }
}

/// Returns the other process's counts, if there is one. While two other processes hold the slots, their
/// counts are unknown and taken as 0.
fn read_other_counts(
    slot: &mut Option<ProcessSlot>,
    dir: &Path,
    open: SocketCounts,
) -> io::Result<Option<SocketCounts>> {
    if slot.is_none() {
        *slot = ProcessSlot::claim(dir)?;
    }
    slot.as_ref().map_or(Ok(Some(SocketCounts::default())), |slot| slot.exchange(open))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn open(clients: usize, upstreams: usize) -> SocketCounts {
        SocketCounts { clients, upstreams }
    }

    #[test]
    fn each_process_sees_the_counts_of_the_other_while_it_runs() {
        let dir = std::env::temp_dir().join(format!("shaletrail-node-sharing-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let old = ProcessSlot::claim(&dir).unwrap().expect("the first");
        assert_eq!(old.exchange(open(120, 60)).unwrap(), None);
        let new = ProcessSlot::claim(&dir).unwrap().expect("the second");
        assert_eq!(new.exchange(open(7, 3)).unwrap(), Some(open(120, 60)));
        assert_eq!(old.exchange(open(119, 60)).unwrap(), Some(open(7, 3)));
        assert!(ProcessSlot::claim(&dir).unwrap().is_none(), "a third process gets no slot");
        drop(old);
        assert_eq!(new.exchange(open(8, 4)).unwrap(), None);
        let next = ProcessSlot::claim(&dir).unwrap().expect("the next process takes the free slot");
        assert_eq!(next.exchange(open(1, 0)).unwrap(), Some(open(8, 4)));
        assert_eq!(new.exchange(open(9, 4)).unwrap(), Some(open(1, 0)));
        std::fs::remove_dir_all(dir).unwrap();
    }

    /// Giving the new process only a quarter of the unused descriptors shut out clients: 216 requests were
    /// lost.
    #[test]
    fn the_client_reserve_is_available_to_both_processes_within_the_limit() {
        let (total, client_reserve) = (308, 144);
        let (old, new) = (open(128, 82), open(0, 0));
        let limits = socket_limits(total, client_reserve, new, old);
        assert_eq!(limits, open(16, 82), "the part of the reserve that the old process's clients don't use");
        // Clients move to the new process. The old one may have more upstream connections than its new
        // limit.
        for (left, upstreams) in [(100, 82), (50, 60), (0, 0)] {
            let limits = socket_limits(total, client_reserve, new, open(left, upstreams));
            assert_eq!(limits.clients + left, 144);
            assert!(limits.clients + left + limits.upstreams + 82 <= total);
        }
        assert_eq!(
            socket_limits(total, client_reserve, new, open(128, 150)).clients,
            0,
            "until the old process has closed some connections"
        );
    }
}
