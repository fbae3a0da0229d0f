//! Running the binary, and settings files for it.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{channel, RecvTimeoutError};
use std::time::Duration;

/// The variable that holds the settings file's path.
pub const PATH_VARIABLE: &str = "SHALETRAIL_BOOT";
/// How long a process may take for anything that a test waits for. Nothing waits for as long that goes well.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// How a process ended, and what it wrote.
#[derive(Debug)]
pub struct Ended {
    pub code: Option<i32>,
    pub stdout: String,
    pub stderr: String,
}

/// The binary with these arguments, without the caller's settings.
pub fn shaletrail(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_shaletrail"));
    command.args(arguments).env_remove(PATH_VARIABLE).stdin(Stdio::null());
    command
}

/// Runs the binary to its end.
pub fn run(arguments: &[&str]) -> Ended {
    end_of(shaletrail(arguments))
}

/// Runs a command to its end.
pub fn end_of(mut command: Command) -> Ended {
    let output = command.output().expect("the binary starts");
    Ended {
        code: output.status.code(),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

/// A folder of one test, empty at its start.
pub fn folder(test: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("the tests' folder can be written");
    folder
}

/// Writes a settings file into a test's folder; its path.
pub fn settings_file(folder: &Path, text: &str) -> String {
    let path = folder.join("node.conf");
    std::fs::write(&path, text).expect("the tests' folder can be written");
    path.to_str().expect("a path in UTF-8").to_owned()
}

/// A loopback address that only this process's tests use, so that fixed ports on it are free. `number` tells the
/// tests apart.
pub fn loopback(number: u8) -> String {
    let process = std::process::id();
    format!("127.{}.{}.{number}", 100 + (process >> 8) % 100, process % 256)
}

/// A process that is killed where a test ends before it.
pub struct Running(pub Child);

impl Running {
    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args(["-s", name, &self.0.id().to_string()]).status();
        assert!(sent.is_ok_and(|status| status.success()), "SIG{name} could not be sent");
    }

    /// Waits for its end.
    pub fn wait(mut self) -> ExitStatus {
        let (ended, waiting) = channel::<()>();
        let id = self.0.id().to_string();
        // Kills the process, and so ends the wait below, if it lasts too long.
        let guard = std::thread::spawn(move || {
            if waiting.recv_timeout(PATIENCE) == Err(RecvTimeoutError::Timeout) {
                let _ = Command::new("kill").args(["-s", "KILL", &id]).status();
            }
        });
        let status = self.0.wait().expect("a child can be waited for");
        drop(ended);
        guard.join().expect("the guard does not panic");
        status
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
