//! Runs the binary, and writes settings files for it.

use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// The environment variable that holds the path of the settings file.
pub const PATH_VARIABLE: &str = "SHALETRAIL_BOOT";

/// The exit code and the output of a process.
#[derive(Debug)]
pub struct Finished {
    pub code: Option<i32>,
    pub stdout: String,
    pub stderr: String,
}

/// The binary with these arguments, and without the caller's environment variable for settings.
pub fn shaletrail(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_shaletrail"));
    command.args(arguments).env_remove(PATH_VARIABLE).stdin(Stdio::null());
    command
}

/// Runs a command to its end.
pub fn run_to_end(mut command: Command) -> Finished {
    let output = command.output().expect("the binary starts");
    Finished {
        code: output.status.code(),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

/// An empty folder for one test, which is named after it.
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
