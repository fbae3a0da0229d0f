//! Child processes: started, signalled, and killed when the harness ends.

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

/// Timeout of every wait; long, so that a busy machine does not change a test's result.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Polls `ask` every 20 ms until it returns a result. `what` names the awaited condition.
///
/// # Panics
/// When there is no result within [`WAIT_TIMEOUT`].
pub fn wait_for<T>(what: &str, mut ask: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(result) = ask() {
            return result;
        }
        assert!(Instant::now() < end, "{what}: timed out after {} s", WAIT_TIMEOUT.as_secs());
        thread::sleep(Duration::from_millis(20));
    }
}

/// Input of the reaper, the process that kills the other children when this process dies without doing so.
static REAPER_INPUT: OnceLock<Mutex<ChildStdin>> = OnceLock::new();

/// Starts the reaper: from here on, the children that are reported to it do not outlive this process, however it ends.
/// `command` must call [`run_reaper`] on its standard input.
///
/// # Errors
/// When it can't be started.
pub fn start_reaper(command: &mut Command) -> io::Result<()> {
    use std::os::unix::process::CommandExt;
    // In its own process group, so that Ctrl-C in a terminal does not end the reaper before it has killed the others.
    let mut child = command.stdin(Stdio::piped()).stdout(Stdio::null()).process_group(0).spawn()?;
    if let Some(input) = child.stdin.take() {
        let _ = REAPER_INPUT.set(Mutex::new(input));
    }
    Ok(())
}

/// Reports to the reaper, if there is one, that a process has started (`+`) or ended (`-`).
pub(crate) fn notify_reaper(sign: char, id: u32) {
    if let Some(input) = REAPER_INPUT.get() {
        let _ = writeln!(input.lock().unwrap_or_else(PoisonError::into_inner), "{sign}{id}");
    }
}

/// Runs the reaper: reads lines `+PID` and `-PID` until the input ends, which it does when the writing process dies,
/// then kills the processes that are still registered.
pub fn run_reaper(input: impl BufRead) {
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

/// PIDs of the child processes of `parent`, zombies excluded.
pub fn children(parent: u32) -> Vec<u32> {
    pids_by_stat_field(1, parent)
}

/// PIDs of the processes in the group of `leader`, zombies excluded.
pub fn group_members(leader: u32) -> Vec<u32> {
    pids_by_stat_field(2, leader)
}

/// PIDs of the processes that have this number in a field of `/proc/PID/stat`. Fields count from the one after the
/// program's name: 0 is the state, 1 the parent, 2 the group. Zombies are excluded.
fn pids_by_stat_field(field: usize, number: u32) -> Vec<u32> {
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

/// CPU time that a process has used, user and system, in seconds, including that of its threads that have ended. `None`
/// when there is no such process. The kernel counts in ticks, which are 1/100 s on Linux.
pub fn cpu_s(id: u32) -> Option<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    let mut fields = stat.rsplit_once(')')?.1.split_whitespace().skip(11);
    let mut ticks = || fields.next()?.parse::<f64>().ok();
    Some((ticks()? + ticks()?) / 100.0)
}

/// A running child process. Its standard error goes to a log file. It is killed on drop.
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

    /// Like [`Process::start`], with a given standard input, such as a listening socket that the process takes over.
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
        let (line_sender, lines) = channel();
        notify_reaper('+', child.id());
        if let Some(out) = child.stdout.take() {
            thread::spawn(move || {
                for line in BufReader::new(out).lines().map_while(Result::ok) {
                    if line_sender.send(line).is_err() {
                        return;
                    }
                }
            });
        }
        Process { child, lines, log: log.to_owned() }
    }

    /// Waits for a line of standard output that starts with `begin`.
    ///
    /// # Panics
    /// When there is none within [`WAIT_TIMEOUT`].
    pub fn wait_for_line(&self, begin: &str) -> String {
        let end = Instant::now() + WAIT_TIMEOUT;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            match self.lines.recv_timeout(left) {
                Ok(line) if line.starts_with(begin) => return line,
                Ok(_) => {}
                Err(_) => panic!("no line that starts with `{begin}`; log of the process:\n{}", self.log()),
            }
        }
    }

    /// Content of the log file: the standard error of this process and of earlier ones with the same file.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Process id assigned by the operating system.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its short name: `STOP`, `CONT`, `TERM`, `HUP`.
    ///
    /// # Panics
    /// When the `kill` program can't be run.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill").args([&format!("-{name}"), &id]).status().expect("a kill program");
    }

    /// Sends SIGKILL and waits until the process has ended.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        notify_reaper('-', self.child.id());
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits for the process to end by itself.
    ///
    /// # Panics
    /// When it has not ended within [`WAIT_TIMEOUT`].
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        wait_for("end of the process", || self.child.try_wait().ok().flatten())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A temporary folder that is deleted on drop, unless the thread is panicking, as in a failed test.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    /// # Panics
    /// When the folder can't be created.
    pub fn new(name: &str) -> TempFolder {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let next = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("shaletrail-{name}-{}-{next}", std::process::id());
        let path = std::env::temp_dir().join(name);
        // An earlier process with the same PID may have left a folder of this name.
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("a temporary folder");
        TempFolder(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        if thread::panicking() {
            println!("temporary folder kept for inspection: {}", self.0.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}
