//! Processes of the two roles from their start to their end.

mod common;

use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::time::Duration;

use common::{end_of, folder, settings_file, shaletrail};

const CONTROL_PORT: u16 = 8146;
const INGRESS_PORT: u16 = 8144;
/// How long a process may take for anything that a test waits for. Nothing waits for as long that goes well.
const PATIENCE: Duration = Duration::from_secs(30);

/// A loopback address that only this process's tests use, so that fixed ports on it are free. `number` tells the
/// tests apart.
fn loopback(number: u8) -> String {
    let process = std::process::id();
    format!("127.{}.{}.{number}", 100 + (process >> 8) % 100, process % 256)
}

/// A process that is killed where a test ends before it.
struct Running(Child);

impl Running {
    /// Sends a signal by its name.
    fn signal(&self, name: &str) {
        let sent = Command::new("kill").args(["-s", name, &self.0.id().to_string()]).status();
        assert!(sent.is_ok_and(|status| status.success()), "SIG{name} could not be sent");
    }

    /// Waits for its end.
    fn wait(mut self) -> ExitStatus {
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

/// Starts a role; the process and the lines that it logs.
fn start(role: &str, file: &str) -> (Running, Receiver<String>) {
    let mut command = shaletrail(&[role, "--settings", file]);
    let mut child = command.stderr(Stdio::piped()).spawn().expect("the binary starts");
    let stderr = child.stderr.take().expect("standard error is piped");
    let (sender, lines) = channel();
    std::thread::spawn(move || {
        let read = BufReader::new(stderr).lines().map_while(Result::ok);
        read.map(|line| sender.send(line)).take_while(Result::is_ok).count()
    });
    (Running(child), lines)
}

/// Waits for a line that contains all of these words.
fn wait_for_line(lines: &Receiver<String>, words: &[&str]) -> String {
    let mut seen = Vec::new();
    while let Ok(line) = lines.recv_timeout(PATIENCE) {
        if words.iter().all(|word| line.contains(word)) {
            return line;
        }
        seen.push(line);
    }
    panic!("no line with {words:?} in {seen:#?}");
}

#[test]
fn given_an_address_that_is_taken_when_a_data_plane_starts_then_it_ends_with_1_and_names_the_address() {
    let ip = loopback(1);
    let _taken = TcpListener::bind((ip.as_str(), INGRESS_PORT)).expect("the address is free");
    let file = settings_file(&folder("data-plane-address-taken"), &data_plane_settings(&ip, &ip));

    let ended = end_of(shaletrail(&["data-plane", "--settings", &file]));

    assert_eq!(ended.code, Some(1), "{ended:?}");
    assert!(ended.stderr.contains(&format!("listening on {ip}:{INGRESS_PORT}")), "{}", ended.stderr);
    assert_eq!(ended.stdout, "", "logs go to standard error");
}

#[test]
fn given_an_address_that_is_taken_when_a_coordinator_starts_then_it_ends_with_1_and_names_the_address() {
    let ip = loopback(2);
    let _taken = TcpListener::bind((ip.as_str(), CONTROL_PORT)).expect("the address is free");
    let folder = folder("coordinator-address-taken");
    let data = folder.join("data");
    std::fs::create_dir(&data).expect("the tests' folder can be written");
    let file = settings_file(&folder, &coordinator_settings(&ip, data.to_str().expect("a path in UTF-8")));

    let ended = end_of(shaletrail(&["coordinator", "--settings", &file]));

    assert_eq!(ended.code, Some(1), "{ended:?}");
    assert!(ended.stderr.contains(&format!("listener on {ip}:{CONTROL_PORT}")), "{}", ended.stderr);
    assert_eq!(ended.stdout, "", "logs go to standard error");
    std::fs::remove_dir_all(folder).expect("the tests' folder can be removed");
}

#[test]
fn given_the_only_coordinator_when_it_starts_then_it_leads_the_configuration_and_sigterm_ends_it_with_0() {
    let ip = loopback(3);
    let folder = folder("only-coordinator");
    let data = folder.join("data");
    std::fs::create_dir(&data).expect("the tests' folder can be written");
    let file = settings_file(&folder, &coordinator_settings(&ip, data.to_str().expect("a path in UTF-8")));

    let (process, lines) = start("coordinator", &file);

    wait_for_line(&lines, &["coordinator started", &format!("{ip}:{CONTROL_PORT}")]);
    wait_for_line(&lines, &["BecameLeader", "shard: 0"]);
    process.signal("TERM");
    wait_for_line(&lines, &["told to end"]);
    let status = process.wait();
    assert_eq!(status.code(), Some(0), "{status:?}");
    std::fs::remove_dir_all(folder).expect("the tests' folder can be removed");
}

#[test]
fn given_a_data_plane_that_finds_no_coordinator_when_sigterm_comes_then_it_ends_with_0_within_its_grace() {
    let (ip, nobody) = (loopback(4), loopback(5));
    let file = settings_file(&folder("data-plane-ends"), &data_plane_settings(&ip, &nobody));

    let (process, lines) = start("data-plane", &file);

    wait_for_line(&lines, &["failed to poll coordinator", &nobody]);
    process.signal("TERM");
    wait_for_line(&lines, &["shutdown started"]);
    let status = process.wait();
    assert_eq!(status.code(), Some(0), "{status:?}");
}
