//! Runs a process of each role from its start to its exit.

mod common;

use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::time::Duration;

use common::{run_to_end, settings_file, shaletrail, test_folder};

const CONTROL_PORT: u16 = 8146;
const INGRESS_PORT: u16 = 8144;
/// How long a test waits for a log line or for the process to exit. A test that passes takes far less time.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A loopback address that no other test process uses, so that the fixed ports are free on it. Each test passes
/// another `number`.
fn loopback(number: u8) -> String {
    let process = std::process::id();
    format!("127.{}.{}.{number}", 100 + (process >> 8) % 100, process % 256)
}

/// A process that is killed when the test ends.
struct RunningProcess(Child);

impl RunningProcess {
    /// Sends a signal, named without `SIG`.
    fn signal(&self, name: &str) {
        let sent = Command::new("kill").args(["-s", name, &self.0.id().to_string()]).status();
        assert!(sent.is_ok_and(|status| status.success()), "SIG{name} could not be sent");
    }

    /// Waits until the process exits, and kills it after [`TIMEOUT`].
    fn wait(mut self) -> ExitStatus {
        let (ended, waiting) = channel::<()>();
        let id = self.0.id().to_string();
        // If the process does not exit in time, killing it ends the wait below.
        let watchdog = std::thread::spawn(move || {
            if waiting.recv_timeout(TIMEOUT) == Err(RecvTimeoutError::Timeout) {
                let _ = Command::new("kill").args(["-s", "KILL", &id]).status();
            }
        });
        let status = self.0.wait().expect("a child can be waited for");
        drop(ended);
        watchdog.join().expect("the watchdog does not panic");
        status
    }
}

impl Drop for RunningProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn coordinator_settings(ip: &str, data_dir: &str) -> String {
    format!(
        "nodeName=core-1\nip={ip}\nzone=hall-a\nephemeralPorts=7660,7675\nseedNodes={ip}:{CONTROL_PORT}\n\
         bootstrap=true\ncountsForQuorum=true\nfaultTolerance.hostsLost=0\n\
         listenersMap.controlPlane={ip}:{CONTROL_PORT}\ndataDir={data_dir}\n"
    )
}

fn data_plane_settings(ip: &str, seed: &str) -> String {
    format!(
        "nodeName=edge-1\nip={ip}\nzone=hall-a\nephemeralPorts=7660,7675\nseedNodes={seed}:{CONTROL_PORT}\n\
         listenersMap.ingress={ip}:{INGRESS_PORT}\nlistenersMap.readiness={ip}:8140\nbounds.graceS=2\n"
    )
}

/// Starts a role. Returns the process and the lines of its log.
fn start(role: &str, file: &str) -> (RunningProcess, Receiver<String>) {
    let mut command = shaletrail(&[role, "--settings", file]);
    let mut child = command.stderr(Stdio::piped()).spawn().expect("the binary starts");
    let stderr = child.stderr.take().expect("standard error is piped");
    let (sender, lines) = channel();
    std::thread::spawn(move || {
        let read = BufReader::new(stderr).lines().map_while(Result::ok);
        read.map(|line| sender.send(line)).take_while(Result::is_ok).count()
    });
    (RunningProcess(child), lines)
}

/// Waits for a line that contains all of `words`.
fn wait_for_line(lines: &Receiver<String>, words: &[&str]) -> String {
    let mut seen = Vec::new();
    while let Ok(line) = lines.recv_timeout(TIMEOUT) {
        if words.iter().all(|word| line.contains(word)) {
            return line;
        }
        seen.push(line);
    }
    panic!("no line contains {words:?}: {seen:#?}");
}

#[test]
fn data_plane_error_names_address_in_use() {
    let ip = loopback(1);
    let _in_use = TcpListener::bind((ip.as_str(), INGRESS_PORT)).expect("the address is free");
    let file = settings_file(&test_folder("data-plane-address-in-use"), &data_plane_settings(&ip, &ip));

    let output = run_to_end(shaletrail(&["data-plane", "--settings", &file]));

    assert_eq!(output.code, Some(1), "{output:?}");
    assert!(output.stderr.contains(&format!("listening on {ip}:{INGRESS_PORT}")), "{}", output.stderr);
    assert_eq!(output.stdout, "", "logs go to standard error");
}

#[test]
fn coordinator_error_names_address_in_use() {
    let ip = loopback(2);
    let _in_use = TcpListener::bind((ip.as_str(), CONTROL_PORT)).expect("the address is free");
    let folder = test_folder("coordinator-address-in-use");
    let data = folder.join("data");
    std::fs::create_dir(&data).expect("the tests' folder can be written");
    let file = settings_file(&folder, &coordinator_settings(&ip, data.to_str().expect("a path in UTF-8")));

    let output = run_to_end(shaletrail(&["coordinator", "--settings", &file]));

    assert_eq!(output.code, Some(1), "{output:?}");
    assert!(output.stderr.contains(&format!("failed to listen on {ip}:{CONTROL_PORT}")), "{}", output.stderr);
    assert_eq!(output.stdout, "", "logs go to standard error");
    std::fs::remove_dir_all(folder).expect("the tests' folder can be removed");
}

#[test]
fn single_coordinator_leads_and_exits_on_sigterm() {
    let ip = loopback(3);
    let folder = test_folder("single-coordinator");
    let data = folder.join("data");
    std::fs::create_dir(&data).expect("the tests' folder can be written");
    let file = settings_file(&folder, &coordinator_settings(&ip, data.to_str().expect("a path in UTF-8")));

    let (process, lines) = start("coordinator", &file);

    wait_for_line(&lines, &["coordinator started", &format!("{ip}:{CONTROL_PORT}")]);
    wait_for_line(&lines, &["became leader of shard", "shard: 0"]);
    process.signal("TERM");
    wait_for_line(&lines, &["shutting down"]);
    let status = process.wait();
    assert_eq!(status.code(), Some(0), "{status:?}");
    std::fs::remove_dir_all(folder).expect("the tests' folder can be removed");
}

#[test]
fn data_plane_without_coordinator_exits_on_sigterm() {
    let (ip, nobody) = (loopback(4), loopback(5));
    let file = settings_file(&test_folder("data-plane-exits"), &data_plane_settings(&ip, &nobody));

    let (process, lines) = start("data-plane", &file);

    wait_for_line(&lines, &["failed to poll coordinator", &nobody]);
    process.signal("TERM");
    wait_for_line(&lines, &["shutdown started"]);
    let status = process.wait();
    assert_eq!(status.code(), Some(0), "{status:?}");
}
