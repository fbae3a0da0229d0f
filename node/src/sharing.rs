//! The two processes of a node while a new version takes over. Each holds one of two locked files in their common
//! folder and notes there how many connections it has; a lock ends with its holder, however that ends.

use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use shaletrail_policy::Event;
use tokio::time::sleep;

use crate::config::Shared;
use crate::host::Host;
use crate::server::Clients;

const FILES: [&str; 2] = ["process-1", "process-2"];
/// How often each process tells the other what it uses.
const EXCHANGE: Duration = Duration::from_millis(50);
/// Length of each number in a note.
const DIGITS: usize = 8;

/// One of the two files, held for as long as the process runs, and the other one.
struct Place {
    own: File,
    other: File,
}

impl Place {
    /// `None` while both are held.
    fn take(folder: &Path) -> io::Result<Option<Place>> {
        let open = |name| {
            OpenOptions::new().read(true).write(true).create(true).truncate(false).open(folder.join(name))
        };
        for (own, other) in [(0, 1), (1, 0)] {
            let file = open(FILES[own])?;
            match file.try_lock() {
                Ok(()) => {
                    let place = Place { own: file, other: open(FILES[other])? };
                    place.note(Open::default())?;
                    return Ok(Some(place));
                }
                Err(TryLockError::WouldBlock) => {}
                Err(TryLockError::Error(e)) => return Err(e),
            }
        }
        Ok(None)
    }

    fn note(&self, open: Open) -> io::Result<()> {
        self.own.write_all_at(format!("{:DIGITS$}{:DIGITS$}", open.clients, open.upstreams).as_bytes(), 0)
    }

    /// Notes what this process has open, and reads what the other has, if there is one.
    fn exchange(&self, open: Open) -> io::Result<Option<Open>> {
        self.note(open)?;
        match self.other.try_lock_shared() {
            Ok(()) => {
                self.other.unlock()?;
                Ok(None)
            }
            Err(TryLockError::WouldBlock) => {
                let mut note = [0; 2 * DIGITS];
                self.other.read_exact_at(&mut note, 0)?;
                let number = |digits: &[u8]| std::str::from_utf8(digits).ok()?.trim().parse().ok();
                let (clients, upstreams) = note.split_at(DIGITS);
                let open = number(clients).zip(number(upstreams));
                let open = open.ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))?;
                Ok(Some(Open { clients: open.0, upstreams: open.1 }))
            }
            Err(TryLockError::Error(e)) => Err(e),
        }
    }
}

/// Connections of one process, or how many it may have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Open {
    clients: usize,
    upstreams: usize,
}

/// How many connections this process may have beside another. Clients come to either process as they like, and all
/// of them to the new one once the old one stops: what they may use by the terms is theirs, whoever has it now.
/// The rest is for upstreams, half of it each.
fn bounds(total: usize, for_clients: usize, own: Open, other: Open) -> Open {
    let half = total.saturating_sub(for_clients) / 2;
    let others = other.clients + other.upstreams.max(half) + own.upstreams.max(half);
    Open { clients: total.saturating_sub(others), upstreams: half }
}

/// Shares the node's limits with another process of it whenever there is one.
pub async fn share(folder: PathBuf, host: Rc<Host>, clients: Rc<Clients>, config: Shared) {
    let Shared { total, for_clients } = config;
    let most = Open { clients: clients.most(), upstreams: host.upstreams().most() };
    let (mut place, mut shared) = (None, false);
    loop {
        let own = Open { clients: clients.open(), upstreams: host.upstreams().open() };
        let other = other(&mut place, &folder, own).unwrap_or_else(|e| {
            eprintln!("{}: {e}", folder.display());
            None
        });
        let now = other.map_or(most, |other| bounds(total, for_clients, own, other));
        clients.bound(now.clients.min(most.clients));
        host.upstreams().bound(now.upstreams.min(most.upstreams));
        if shared != other.is_some() {
            shared = other.is_some();
            host.tell(Event::SecondProcess(shared));
        }
        sleep(EXCHANGE).await;
    }
}

/// What the other process has open, if there is one. While there are even two, nothing is known of theirs.
fn other(place: &mut Option<Place>, folder: &Path, open: Open) -> io::Result<Option<Open>> {
    if place.is_none() {
        *place = Place::take(folder)?;
    }
    place.as_ref().map_or(Ok(Some(Open::default())), |place| place.exchange(open))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn open(clients: usize, upstreams: usize) -> Open {
        Open { clients, upstreams }
    }

    #[test]
    fn each_process_hears_of_the_other_while_it_runs() {
        let folder = std::env::temp_dir().join(format!("shaletrail-node-sharing-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let old = Place::take(&folder).unwrap().expect("the first");
        assert_eq!(old.exchange(open(120, 60)).unwrap(), None);
        let new = Place::take(&folder).unwrap().expect("the second");
        assert_eq!(new.exchange(open(7, 3)).unwrap(), Some(open(120, 60)));
        assert_eq!(old.exchange(open(119, 60)).unwrap(), Some(open(7, 3)));
        assert!(Place::take(&folder).unwrap().is_none(), "no third");
        drop(old);
        assert_eq!(new.exchange(open(8, 4)).unwrap(), None);
        let next = Place::take(&folder).unwrap().expect("the next takes the old one's place");
        assert_eq!(next.exchange(open(1, 0)).unwrap(), Some(open(8, 4)));
        assert_eq!(new.exchange(open(9, 4)).unwrap(), Some(open(1, 0)));
        std::fs::remove_dir_all(folder).unwrap();
    }

    /// A new process that got a quarter of what the old one left free shut clients out: 216 of their requests.
    #[test]
    fn whoever_clients_come_to_has_room_for_all_of_them_within_the_limit() {
        let (total, for_clients) = (308, 144);
        let (old, new) = (open(128, 82), open(0, 0));
        let now = bounds(total, for_clients, new, old);
        assert_eq!(now, open(16, 82), "what no client of the old one has");
        // They leave the old one, which may have had more connections to servers than it may now.
        for (left, upstreams) in [(100, 82), (50, 60), (0, 0)] {
            let now = bounds(total, for_clients, new, open(left, upstreams));
            assert_eq!(now.clients + left, 144);
            assert!(now.clients + left + now.upstreams + 82 <= total);
        }
        assert_eq!(
            bounds(total, for_clients, new, open(128, 150)).clients,
            0,
            "until the old one has closed some"
        );
    }
}
