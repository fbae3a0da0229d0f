//! A program as a child: started, signalled, and ended with the harness.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Mutex, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for anything; a busy machine must not change a verdict.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// Asks again and again until there is a result.
///
/// # Panics
/// When there is none in [`PATIENCE`].
pub fn wait_for<T>(what: &str, mut ask: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + PATIENCE;
    loop {
        if let Some(result) = ask() {
            return result;
        }
        assert!(Instant::now() < end, "{what}: not in time");
        thread::sleep(Duration::from_millis(20));
    }
}

/// The process that ends the others when this one dies without doing so.
static GUARD: OnceLock<Mutex<ChildStdin>> = OnceLock::new();

/// Starts the guard: from here on no process outlives this one, whatever ends it. `command` must call [`stand_guard`]
/// on its standard input.
///
/// # Errors
/// Where it can't be started.
pub fn start_guard(command: &mut Command) -> io::Result<()> {
    use std::os::unix::process::CommandExt;
    // A group of its own: Ctrl-C at a terminal is for the others.
    let mut child = command.stdin(Stdio::piped()).stdout(Stdio::null()).process_group(0).spawn()?;
    if let Some(input) = child.stdin.take() {
        let _ = GUARD.set(Mutex::new(input));
    }
    Ok(())
}

/// Tells the guard of a process that has started (`+`) or ended (`-`).
pub(crate) fn guard(sign: char, id: u32) {
    if let Some(guard) = GUARD.get() {
        let _ = writeln!(guard.lock().unwrap_or_else(PoisonError::into_inner), "{sign}{id}");
    }
}

/// Reads `+PID` and `-PID` until the input ends, as it does with its writer, and kills those that are left.
pub fn stand_guard(input: impl BufRead) {
    let mut running = BTreeSet::new();
    for line in input.lines().map_while(Result::ok) {
        match line.split_at_checked(1) {
            Some(("+", id)) => _ = running.insert(id.to_owned()),
            Some(("-", id)) => _ = running.remove(id),
            _ => {}
        }
    }
    for id in running {
        let _ = Command::new("kill").args(["-KILL", &id]).stderr(Stdio::null()).status();
    }
}

/// Processes whose parent is this one.
pub fn children(parent: u32) -> Vec<u32> {
    by_field(1, parent)
}

/// Processes in this group that have not ended.
pub fn group(leader: u32) -> Vec<u32> {
    by_field(2, leader)
}

/// Those with this number in a field of `stat` behind the name: the state, the parent, the group.
fn by_field(field: usize, number: u32) -> Vec<u32> {
    let of = |id: u32| {
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let found = fields.get(field)?.parse::<u32>().ok()?;
        (fields[0] != "Z").then_some(found)
    };
    let all = std::fs::read_dir("/proc").into_iter().flatten().flatten();
    let ids = all.filter_map(|entry| entry.file_name().to_str()?.parse::<u32>().ok());
    ids.filter(|id| of(*id) == Some(number)).collect()
}

/// Processor time that a process has used, its ended threads too, in seconds; none where it is gone. By the kernel's account in
/// ticks, 100 a second on Linux.
pub fn cpu_s(id: u32) -> Option<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    let mut fields = stat.rsplit_once(')')?.1.split_whitespace().skip(11);
    let mut ticks = || fields.next()?.parse::<f64>().ok();
    Some((ticks()? + ticks()?) / 100.0)
}

/// A running program. Its standard error goes to a file.
pub struct Process {
    child: Child,
    lines: Receiver<String>,
    log: PathBuf,
}

impl Process {
    /// # Panics
    /// When the program can't be started.
    pub fn start(command: &mut Command, log: &Path) -> Process {
        Process::start_with(command, log, Stdio::null())
    }

    /// The same with its standard input: a listening socket, say, that the process takes over.
    ///
    /// # Panics
    /// When the program can't be started.
    pub fn start_with(command: &mut Command, log: &Path, input: Stdio) -> Process {
        let errors = File::options().create(true).append(true).open(log).expect("a log file");
        let mut child = command
            .stdin(input)
            .stdout(Stdio::piped())
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|e| panic!("{:?}: {e}", command.get_program()));
        let (said, lines) = channel();
        guard('+', child.id());
        if let Some(out) = child.stdout.take() {
            thread::spawn(move || {
                for line in BufReader::new(out).lines().map_while(Result::ok) {
                    if said.send(line).is_err() {
                        return;
                    }
                }
            });
        }
        Process { child, lines, log: log.to_owned() }
    }

    /// Waits for a line of its standard output that begins so.
    ///
    /// # Panics
    /// When it does not come.
    pub fn says(&self, begin: &str) -> String {
        let end = Instant::now() + PATIENCE;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            match self.lines.recv_timeout(left) {
                Ok(line) if line.starts_with(begin) => return line,
                Ok(_) => {}
                Err(_) => panic!("no line `{begin}`; its log:\n{}", self.log()),
            }
        }
    }

    /// What it has written to standard error, with that of processes before it that had the same file.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends it a signal by its short name: `STOP`, `CONT`, `TERM`, `HUP`.
    ///
    /// # Panics
    /// When there is no `kill` program.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill").args([&format!("-{name}"), &id]).status().expect("a kill program");
    }

    /// SIGKILL, and waits for the end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        guard('-', self.child.id());
    }

    /// Whether it has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits for it to end by itself.
    pub fn exit(&mut self) -> ExitStatus {
        wait_for("the process ends", || self.child.try_wait().ok().flatten())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A folder of its own, which goes with its owner unless the test fails.
pub struct Folder(pub PathBuf);

impl Folder {
    /// # Panics
    /// When the system has no room for one.
    pub fn new(name: &str) -> Folder {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let next = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("shaletrail-{name}-{}-{next}", std::process::id());
        let path = std::env::temp_dir().join(name);
        // An earlier process of this number may have left one.
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if thread::panicking() {
            println!("left for a look: {}", self.0.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}
