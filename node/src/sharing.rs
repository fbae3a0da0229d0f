//! The two processes of a node while a new version takes over. Each holds one of two locked files in their common
//! folder and notes there how many connections it has; a lock ends with its holder, however that ends.

use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use mallowpaddle::Event;
use tokio::time::sleep;

use crate::host::Host;
use crate::server::Clients;

const FILES: [&str; 2] = ["process-1", "process-2"];
/// How often each process tells the other what it uses.
const EXCHANGE: Duration = Duration::from_millis(50);
/// Length of a note.
const NOTE: usize = 8;

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
                    place.note(0)?;
                    return Ok(Some(place));
                }
                Err(TryLockError::WouldBlock) => {}
                Err(TryLockError::Error(e)) => return Err(e),
            }
        }
        Ok(None)
    }

    fn note(&self, open: usize) -> io::Result<()> {
        self.own.write_all_at(format!("{open:NOTE$}").as_bytes(), 0)
    }

    /// Notes how many connections this process has, and reads how many the other has, if there is one.
    fn exchange(&self, open: usize) -> io::Result<Option<usize>> {
        self.note(open)?;
        match self.other.try_lock_shared() {
            Ok(()) => {
                self.other.unlock()?;
                Ok(None)
            }
            Err(TryLockError::WouldBlock) => {
                let mut note = [0; NOTE];
                self.other.read_exact_at(&mut note, 0)?;
                let open = std::str::from_utf8(&note).ok().and_then(|text| text.trim().parse().ok());
                open.map(Some).ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))
            }
            Err(TryLockError::Error(e)) => Err(e),
        }
    }
}

/// To how many client and upstream connections this process may grow: each process takes at most half of what both
/// leave free before it hears of the other again.
fn bounds(total: usize, own: (usize, usize), other: usize, most: (usize, usize)) -> (usize, usize) {
    let each = total.saturating_sub(own.0 + own.1 + other) / 4;
    ((own.0 + each).min(most.0), (own.1 + each).min(most.1))
}

/// Shares the node's limits with another process of it whenever there is one.
pub async fn share(folder: PathBuf, host: Rc<Host>, clients: Rc<Clients>, total: usize) {
    let most = (clients.most(), host.upstreams().most());
    let (mut place, mut shared) = (None, false);
    loop {
        let own = (clients.open(), host.upstreams().open());
        let other = other(&mut place, &folder, own.0 + own.1).unwrap_or_else(|e| {
            eprintln!("{}: {e}", folder.display());
            None
        });
        let now = other.map_or(most, |other| bounds(total, own, other, most));
        clients.bound(now.0);
        host.upstreams().bound(now.1);
        if shared != other.is_some() {
            shared = other.is_some();
            host.tell(Event::Shared(shared));
        }
        sleep(EXCHANGE).await;
    }
}

/// How many connections the other process has, if there is one. While there are even two, nothing is known of theirs.
fn other(place: &mut Option<Place>, folder: &Path, open: usize) -> io::Result<Option<usize>> {
    if place.is_none() {
        *place = Place::take(folder)?;
    }
    place.as_ref().map_or(Ok(Some(0)), |place| place.exchange(open))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_process_hears_of_the_other_while_it_runs() {
        let folder = std::env::temp_dir().join(format!("tackstage-sharing-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let old = Place::take(&folder).unwrap().expect("the first");
        assert_eq!(old.exchange(120).unwrap(), None);
        let new = Place::take(&folder).unwrap().expect("the second");
        assert_eq!((new.exchange(7).unwrap(), old.exchange(119).unwrap()), (Some(120), Some(7)));
        assert!(Place::take(&folder).unwrap().is_none(), "no third");
        drop(old);
        assert_eq!(new.exchange(8).unwrap(), None);
        let next = Place::take(&folder).unwrap().expect("the next takes the old one's place");
        assert_eq!((next.exchange(1).unwrap(), new.exchange(9).unwrap()), (Some(8), Some(1)));
        std::fs::remove_dir_all(folder).unwrap();
    }

    #[test]
    fn both_processes_together_keep_to_the_limit_whoever_asks_first() {
        let (total, most) = (300, (170, 170));
        let (mut old, mut new) = ((120, 60), (0, 0));
        for _ in 0..20 {
            let (o, n) = (bounds(total, old, new.0 + new.1, most), bounds(total, new, old.0 + old.1, most));
            (old, new) = (o, n);
            assert!(old.0 + old.1 + new.0 + new.1 <= total, "{old:?} {new:?}");
        }
        assert!(new.0 > 20, "the new one is let in: {new:?}");
        // The old one goes.
        for left in [(60, 30), (10, 5), (0, 0)] {
            (0..10).for_each(|_| new = bounds(total, new, left.0 + left.1, most));
        }
        assert!(new.0 + new.1 > 290, "{new:?}");
        assert_eq!(bounds(10, (20, 20), 20, most), (20, 20), "nothing is taken away");
    }
}
