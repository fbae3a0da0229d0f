//! Runs a command for as long as a duty is held. The supervisor is a separate process beside the holder. It
//! leads a process group and starts the command in it, so that the group is known before the command runs.
//! The holder tells it until when the lease lasts. The supervisor ends the group by its own clock, also if
//! the holder is suspended, and at once if the holder has died.

use std::cell::Cell;
use std::io::{self, BufRead, Write};
use std::os::fd::AsFd;
use std::os::unix::process::ExitStatusExt;
use std::process::{Command, ExitStatus};
use std::sync::mpsc::{channel, RecvTimeoutError};
use std::thread;
use std::time::Duration;

use rustix::process::{getpgrp, getpid, kill_process_group, Pid, Signal};
use shaletrail_registry_protocol::duty::HandoverReason;
use tokio::process::{Child, ChildStdin};
use tokio::time::{sleep, timeout};

use crate::clock::boot;
use crate::duty::{DutyClient, DutyError, LeaseEnd};
use crate::lease::Time;

/// Environment variables of the command: the duty's name, the fencing number, and the registry's endpoints.
pub const DUTY_VAR: &str = "SHALETRAIL_DUTY";
/// Environment variable with the fencing number.
pub const FENCE_VAR: &str = "SHALETRAIL_FENCE";
/// Environment variable with the registry's endpoints.
pub const REGISTRY_VAR: &str = "SHALETRAIL_REGISTRY";

/// Interval at which the supervisor checks the clock and its command.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// First and longest back-off before a failed command is restarted, and the run time after which the back-off
/// and the count of failures start again.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
const MAX_BACKOFF: Duration = Duration::from_secs(30);
const HEALTHY_RUN_TIME: Duration = Duration::from_secs(60);
/// Time for the supervisor process to end after its group was killed.
const REAP_TIMEOUT: Duration = Duration::from_millis(500);

// ---- The supervisor -----------------------------------------------------------------------------------

/// A message from the holder.
enum Message {
    /// The lease lasts until the first time; at the second, the whole group is killed.
    Until(Time, Time),
    /// The command is to be ended now.
    End,
}

fn parse_message(line: &str) -> Option<Message> {
    if line == "end" {
        return Some(Message::End);
    }
    let mut times = line.strip_prefix("until ")?.split(' ').map(|ms| ms.parse().map(Duration::from_millis));
    Some(Message::Until(times.next()?.ok()?, times.next()?.ok()?))
}

/// Starts the command when the first deadlines arrive, and ends it by the latest ones. Returns its exit code
/// or, like a shell, 128 plus the number of the signal that ended it. The calling process must lead a process
/// group and handle termination signals.
///
/// # Errors
/// The command can't be started.
pub fn supervise(command: &mut Command, input: impl BufRead + Send + 'static) -> io::Result<u8> {
    if getpgrp() != getpid() {
        return Err(io::Error::other(
            "the supervisor must lead a process group; `shaletrail-fleet duty run` starts it in one",
        ));
    }
    let (sender, messages) = channel();
    thread::spawn(move || {
        for line in input.lines().map_while(Result::ok) {
            // After an unreadable message it is unknown how long the command may run, so it is ended.
            if sender.send(parse_message(&line).unwrap_or(Message::End)).is_err() {
                return;
            }
        }
    });
    let Ok(Message::Until(mut until, mut kill)) = messages.recv() else { return Ok(0) };
    let mut child = command.spawn()?;
    let mut status: Option<ExitStatus> = None;
    let (mut ending, mut term_sent) = (false, false);
    loop {
        match messages.recv_timeout(POLL_INTERVAL) {
            // A later deadline does not revoke an end that has begun.
            Ok(Message::Until(at, then)) if !ending => (until, kill) = (at, then),
            Ok(Message::Until(..)) => {}
            Ok(Message::End) => ending = true,
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => {
                ending = true;
                thread::sleep(POLL_INTERVAL);
            }
        }
        status = status.or(child.try_wait()?);
        // Processes that the command left running are ended with it.
        ending |= status.is_some();
        let now = boot();
        ending |= now >= until;
        if let Some(status) = status {
            if other_members(getpid()).is_empty() {
                let code = status.code().or_else(|| Some(128 + status.signal()?)).unwrap_or(1);
                return Ok(u8::try_from(code).unwrap_or(1));
            }
        }
        if ending && !term_sent {
            term_sent = true;
            let _ = kill_process_group(getpid(), Signal::TERM);
        }
        if ending && now >= kill {
            // This also kills the supervisor itself, which leads the group.
            let _ = kill_process_group(getpid(), Signal::KILL);
        }
    }
}

/// The other processes in this group that have not ended.
fn other_members(group: Pid) -> Vec<u32> {
    let own = group.as_raw_nonzero().get();
    let Ok(processes) = std::fs::read_dir("/proc") else { return Vec::new() };
    let member = |entry: io::Result<std::fs::DirEntry>| {
        let id: i32 = entry.ok()?.file_name().to_str()?.parse().ok()?;
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        // The name may contain any character, so the fields are counted after its end: state, parent, group.
        let mut fields = stat.rsplit_once(") ")?.1.split(' ');
        let (state, group) = (fields.next()?, fields.nth(1)?);
        (group.parse() == Ok(own) && id != own && state != "Z").then_some(id as u32)
    };
    processes.filter_map(member).collect()
}

// ---- The holder's side --------------------------------------------------------------------------------

/// A command that is run while a duty is held.
pub struct CommandSpec {
    /// Program and arguments of the supervisor, followed by those of the command.
    pub supervisor: Vec<std::ffi::OsString>,
    /// Failures in a row after which the duty is given to another candidate.
    pub failures: u32,
}

/// How the run of a command under a duty ended.
#[derive(Debug)]
pub enum RunOutcome {
    /// The command ended with 0.
    Done,
    /// This process was asked to stop.
    Stopped,
    /// The command failed too often in a row, the last time with this exit code.
    Failed(i32),
}

/// A supervisor process, as the holder sees it.
struct Supervisor {
    child: Child,
    group: Option<Pid>,
}

/// The pipe to a supervisor's standard input.
struct SupervisorInput(ChildStdin);

fn start(spec: &CommandSpec, client: &DutyClient, fence: u64) -> io::Result<(Supervisor, SupervisorInput)> {
    let endpoints: Vec<String> = client.endpoints().iter().map(ToString::to_string).collect();
    let mut command = tokio::process::Command::new(&spec.supervisor[0]);
    command
        .args(&spec.supervisor[1..])
        .env(DUTY_VAR, client.name())
        .env(FENCE_VAR, fence.to_string())
        .env(REGISTRY_VAR, endpoints.join(","))
        .stdin(std::process::Stdio::piped())
        .process_group(0);
    let mut child = command.spawn()?;
    let group = child.id().and_then(|id| Pid::from_raw(id as i32));
    let input = child.stdin.take().ok_or_else(|| io::Error::other("the supervisor has no standard input"))?;
    Ok((Supervisor { child, group }, SupervisorInput(input)))
}

impl SupervisorInput {
    /// Writes a message of a few bytes, which a pipe accepts without blocking. The pipe is full only if the
    /// supervisor has been suspended for very long; then the holder itself kills the group in time.
    fn send(&mut self, line: &str) {
        let Ok(pipe) = self.0.as_fd().try_clone_to_owned() else { return };
        let _ = std::fs::File::from(pipe).write_all(line.as_bytes());
    }

    fn until(&mut self, until: Time, kill: Time) {
        self.send(&format!("until {} {}\n", until.as_millis(), kill.as_millis()));
    }
}

impl Supervisor {
    /// Waits until the supervisor has ended, kills the rest of its group, and returns its exit code. The
    /// future is cancel safe.
    async fn code(&mut self) -> i32 {
        let status = self.child.wait().await;
        // However the supervisor ended, the rest of its group must not go on running.
        self.kill();
        status.ok().and_then(|status| status.code().or_else(|| Some(128 + status.signal()?))).unwrap_or(1)
    }

    fn kill(&self) {
        if let Some(group) = self.group {
            let _ = kill_process_group(group, Signal::KILL);
        }
    }

    /// Ends the command, and kills it at the time `kill` if it still runs.
    async fn end(&mut self, mut input: SupervisorInput, kill: Time) {
        input.send("end\n");
        let left = kill.saturating_sub(boot());
        if timeout(left, self.code()).await.is_err() {
            self.kill();
            let _ = timeout(REAP_TIMEOUT, self.code()).await;
        }
    }
}

/// Runs a command whenever the duty is held, until it succeeds, fails too often, or `stop` completes.
///
/// # Errors
/// The registry refused the candidate, or the supervisor can't be started.
pub async fn run(
    client: &mut DutyClient,
    spec: &CommandSpec,
    stop: impl std::future::Future<Output = ()>,
    mut say: impl FnMut(String),
) -> Result<RunOutcome, RunError> {
    tokio::pin!(stop);
    let name = client.name().to_owned();
    loop {
        say(format!("{name}: waiting in the queue"));
        let fence = tokio::select! {
            fence = client.acquire(&mut say) => fence?,
            () = &mut stop => {
                client.release(HandoverReason::Released).await;
                return Ok(RunOutcome::Stopped);
            }
        };
        say(format!("{name}: held with fencing number {fence}"));
        match run_until_lease_end(client, spec, fence, stop.as_mut(), &mut say).await {
            Err(error) => {
                client.release(HandoverReason::Failed).await;
                return Err(error.into());
            }
            Ok(RunEnd::Finished(why, finished)) => {
                client.release(why).await;
                return Ok(finished);
            }
            Ok(RunEnd::Lease(ended)) => {
                say(format!("{name}: {}", ended.description()));
                client
                    .release(if ended == LeaseEnd::Asked {
                        HandoverReason::Asked
                    } else {
                        HandoverReason::Lapsed
                    })
                    .await;
            }
        }
    }
}

/// Why a command can't be run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    #[error(transparent)]
    Duty(#[from] DutyError),
    #[error("the supervisor can't be started: {0}")]
    Start(#[from] io::Error),
}

enum RunEnd {
    Finished(HandoverReason, RunOutcome),
    Lease(LeaseEnd),
}

/// Runs the command until the lease ends or the command is finished. When it returns, no process of the
/// command runs any more.
async fn run_until_lease_end(
    client: &mut DutyClient,
    spec: &CommandSpec,
    fence: u64,
    mut stop: std::pin::Pin<&mut impl std::future::Future<Output = ()>>,
    say: &mut impl FnMut(String),
) -> io::Result<RunEnd> {
    let (mut backoff, mut failures) = (MIN_BACKOFF, 0);
    loop {
        let (mut supervisor, mut input) = start(spec, client, fence)?;
        let (started, kill) = (boot(), Cell::new(Time::ZERO));
        let event = tokio::select! {
            ended = client.keep_renewing(|until, then| {
                input.until(until, then);
                kill.set(then);
            }) => Event::Duty(ended),
            code = supervisor.code() => Event::Command(code),
            () = &mut stop => Event::Stop,
        };
        match event {
            Event::Duty(ended) => {
                supervisor.end(input, kill.get()).await;
                return Ok(RunEnd::Lease(ended));
            }
            Event::Stop => {
                supervisor.end(input, kill.get()).await;
                return Ok(RunEnd::Finished(HandoverReason::Released, RunOutcome::Stopped));
            }
            Event::Command(0) => return Ok(RunEnd::Finished(HandoverReason::Released, RunOutcome::Done)),
            Event::Command(code) => {
                if boot().saturating_sub(started) >= HEALTHY_RUN_TIME {
                    (backoff, failures) = (MIN_BACKOFF, 0);
                }
                failures += 1;
                if failures >= spec.failures {
                    return Ok(RunEnd::Finished(HandoverReason::Failed, RunOutcome::Failed(code)));
                }
                say(format!(
                    "{}: the command failed with exit code {code}; restarting it in {} ms",
                    client.name(),
                    backoff.as_millis()
                ));
                tokio::select! {
                    ended = client.keep_renewing(|_, _| {}) => return Ok(RunEnd::Lease(ended)),
                    () = sleep(backoff) => {}
                    () = &mut stop => return Ok(RunEnd::Finished(HandoverReason::Released, RunOutcome::Stopped)),
                }
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

enum Event {
    Duty(LeaseEnd),
    Command(i32),
    Stop,
}
