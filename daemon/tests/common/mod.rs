//! Helpers that run the binary and write settings files for it.

use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// The environment variable that holds the path of the settings file.
pub const SETTINGS_PATH_VARIABLE: &str = "SHALETRAIL_BOOT";

/// The exit code and the output of a process.
#[derive(Debug)]
pub struct ProcessOutput {
    pub code: Option<i32>,
    pub stdout: String,
    pub stderr: String,
}

/// A command that runs the binary with these arguments. The settings variable of the caller's environment is removed.
pub fn shaletrail(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_shaletrail"));
    command.args(arguments).env_remove(SETTINGS_PATH_VARIABLE).stdin(Stdio::null());
    command
}

/// Runs a command until it exits.
pub fn run_to_end(mut command: Command) -> ProcessOutput {
    let output = command.output().expect("the binary starts");
    ProcessOutput {
        code: output.status.code(),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

/// Creates an empty directory for one test.
pub fn test_folder(test: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("the tests' folder can be written");
    folder
}

/// Writes a settings file into a folder and returns its path.
pub fn settings_file(folder: &Path, text: &str) -> String {
    let path = folder.join("node.conf");
    std::fs::write(&path, text).expect("the tests' folder can be written");
    path.to_str().expect("a path in UTF-8").to_owned()
}
