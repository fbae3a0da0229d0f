//! A command within a tenure. The supervisor is a process of its own beside the holder and leads a process group, in which
//! it starts the command: the group is known before anything runs in it. It is told until when the tenure lasts, and ends
//! the group by its own look at the clock: also where the holder stands still, and at once where it has died.

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
use crate::duty::{DutyError, Ended, Seat};
use crate::tenure::Time;

/// What the command sees.
pub const DUTY: &str = "SHALETRAIL_DUTY";
pub const FENCE: &str = "SHALETRAIL_FENCE";
pub const REGISTRY: &str = "SHALETRAIL_REGISTRY";

/// How often the supervisor looks at the clock and at its command.
const LOOK: Duration = Duration::from_millis(10);
/// First and longest pause before a command that failed is started again, and how long it has to run to begin anew.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
const LONGEST_PAUSE: Duration = Duration::from_secs(30);
const WELL: Duration = Duration::from_secs(60);
/// For the supervisor itself to be gone after its group's kill.
const REAP: Duration = Duration::from_millis(500);

// ---- The supervisor -----------------------------------------------------------------------------------

/// What the holder tells.
enum Word {
    /// The tenure lasts until the first time; at the second, everything is killed.
    Until(Time, Time),
    End,
}

fn word(line: &str) -> Option<Word> {
    if line == "end" {
        return Some(Word::End);
    }
    let mut times = line.strip_prefix("until ")?.split(' ').map(|ms| ms.parse().map(Duration::from_millis));
    Some(Word::Until(times.next()?.ok()?, times.next()?.ok()?))
}

/// Starts the command once a first time is told, and ends it by the last one told. Returns its exit code; as a shell
/// does, 128 and the signal's number where one ended it. The caller leads a process group, and takes signals.
///
/// # Errors
/// Where the command can't be started.
pub fn supervise(command: &mut Command, input: impl BufRead + Send + 'static) -> io::Result<u8> {
    if getpgrp() != getpid() {
        return Err(io::Error::other(
            "a supervisor leads a process group; `shaletrail-fleet duty run` starts it in one",
        ));
    }
    let (told, words) = channel();
    thread::spawn(move || {
        for line in input.lines().map_while(Result::ok) {
            // What can't be read ends the command: it is not known how long it may run.
            if told.send(word(&line).unwrap_or(Word::End)).is_err() {
                return;
            }
        }
    });
    let Ok(Word::Until(mut until, mut kill)) = words.recv() else { return Ok(0) };
    let mut child = command.spawn()?;
    let mut status: Option<ExitStatus> = None;
    let (mut ending, mut ended) = (false, false);
    loop {
        match words.recv_timeout(LOOK) {
            // Once it has been told to stop, it stops.
            Ok(Word::Until(at, then)) if !ending => (until, kill) = (at, then),
            Ok(Word::Until(..)) => {}
            Ok(Word::End) => ending = true,
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => {
                ending = true;
                thread::sleep(LOOK);
            }
        }
        status = status.or(child.try_wait()?);
        // What it has left running goes with it.
        ending |= status.is_some();
        let now = boot();
        ending |= now >= until;
        if let Some(status) = status {
            if others(getpid()).is_empty() {
                let code = status.code().or_else(|| Some(128 + status.signal()?)).unwrap_or(1);
                return Ok(u8::try_from(code).unwrap_or(1));
            }
        }
        if ending && !ended {
            ended = true;
            let _ = kill_process_group(getpid(), Signal::TERM);
        }
        if ending && now >= kill {
            // And with it this process, which leads it.
            let _ = kill_process_group(getpid(), Signal::KILL);
        }
    }
}

/// Who else is in this group, without those that have ended.
fn others(group: Pid) -> Vec<u32> {
    let own = group.as_raw_nonzero().get();
    let Ok(processes) = std::fs::read_dir("/proc") else { return Vec::new() };
    let member = |entry: io::Result<std::fs::DirEntry>| {
        let id: i32 = entry.ok()?.file_name().to_str()?.parse().ok()?;
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        // The name may hold anything; the fields behind it don't: state, parent, group.
        let mut fields = stat.rsplit_once(") ")?.1.split(' ');
        let (state, group) = (fields.next()?, fields.nth(1)?);
        (group.parse() == Ok(own) && id != own && state != "Z").then_some(id as u32)
    };
    processes.filter_map(member).collect()
}

// ---- The holder's side --------------------------------------------------------------------------------

/// What is run under a duty.
pub struct Work {
    /// The supervisor, and behind it the command: program and arguments.
    pub supervisor: Vec<std::ffi::OsString>,
    /// Failures in a row after which another candidate is to try.
    pub failures: u32,
}

/// How the run of a command under a duty ended.
#[derive(Debug)]
pub enum Finished {
    /// The command ended with 0.
    Done,
    /// This process was told to end.
    Stopped,
    /// It failed so often in a row, the last time with this code.
    Failed(i32),
}

/// A supervisor, from its holder's side.
struct Supervisor {
    child: Child,
    group: Option<Pid>,
}

/// What a supervisor hears.
struct Orders(ChildStdin);

fn start(work: &Work, seat: &Seat, fence: u64) -> io::Result<(Supervisor, Orders)> {
    let endpoints: Vec<String> = seat.endpoints().iter().map(ToString::to_string).collect();
    let mut command = tokio::process::Command::new(&work.supervisor[0]);
    command
        .args(&work.supervisor[1..])
        .env(DUTY, seat.name())
        .env(FENCE, fence.to_string())
        .env(REGISTRY, endpoints.join(","))
        .stdin(std::process::Stdio::piped())
        .process_group(0);
    let mut child = command.spawn()?;
    let group = child.id().and_then(|id| Pid::from_raw(id as i32));
    let orders = child.stdin.take().ok_or_else(|| io::Error::other("the supervisor hears nothing"))?;
    Ok((Supervisor { child, group }, Orders(orders)))
}

impl Orders {
    /// A few bytes, which the pipe takes at once. A full one belongs to a supervisor that has stopped for very long; its
    /// group is killed in time from this side.
    fn tell(&mut self, line: &str) {
        let Ok(pipe) = self.0.as_fd().try_clone_to_owned() else { return };
        let _ = std::fs::File::from(pipe).write_all(line.as_bytes());
    }

    fn until(&mut self, until: Time, kill: Time) {
        self.tell(&format!("until {} {}\n", until.as_millis(), kill.as_millis()));
    }
}

impl Supervisor {
    /// The code, once nothing of the group runs any more. May be dropped and called again.
    async fn code(&mut self) -> i32 {
        let status = self.child.wait().await;
        // Whatever ended the supervisor: what is left of its group goes too.
        self.kill();
        status.ok().and_then(|status| status.code().or_else(|| Some(128 + status.signal()?))).unwrap_or(1)
    }

    fn kill(&self) {
        if let Some(group) = self.group {
            let _ = kill_process_group(group, Signal::KILL);
        }
    }

    /// Ends the command, by `kill` at the latest.
    async fn end(&mut self, mut orders: Orders, kill: Time) {
        orders.tell("end\n");
        let left = kill.saturating_sub(boot());
        if timeout(left, self.code()).await.is_err() {
            self.kill();
            let _ = timeout(REAP, self.code()).await;
        }
    }
}

/// Runs a command whenever the duty is held, until it is done, fails too often, or `stop`.
///
/// # Errors
/// Where the registry refuses the candidate, or the supervisor can't be started.
pub async fn run(
    seat: &mut Seat,
    work: &Work,
    stop: impl std::future::Future<Output = ()>,
    mut say: impl FnMut(String),
) -> Result<Finished, RunError> {
    tokio::pin!(stop);
    let name = seat.name().to_owned();
    loop {
        say(format!("{name}: in line"));
        let fence = tokio::select! {
            fence = seat.win(&mut say) => fence?,
            () = &mut stop => {
                seat.release(HandoverReason::Released).await;
                return Ok(Finished::Stopped);
            }
        };
        say(format!("{name}: held under fence {fence}"));
        match tenure(seat, work, fence, stop.as_mut(), &mut say).await {
            Err(error) => {
                seat.release(HandoverReason::Failed).await;
                return Err(error.into());
            }
            Ok(Over::Finished(why, finished)) => {
                seat.release(why).await;
                return Ok(finished);
            }
            Ok(Over::Ended(ended)) => {
                say(format!("{name}: {}", ended.words()));
                seat.release(if ended == Ended::Asked {
                    HandoverReason::Asked
                } else {
                    HandoverReason::Lapsed
                })
                .await;
            }
        }
    }
}

/// Why a command is not run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    #[error(transparent)]
    Duty(#[from] DutyError),
    #[error("the supervisor can't be started: {0}")]
    Start(#[from] io::Error),
}

enum Over {
    Finished(HandoverReason, Finished),
    Ended(Ended),
}

/// One tenure. When it returns, nothing of the command runs any more.
async fn tenure(
    seat: &mut Seat,
    work: &Work,
    fence: u64,
    mut stop: std::pin::Pin<&mut impl std::future::Future<Output = ()>>,
    say: &mut impl FnMut(String),
) -> io::Result<Over> {
    let (mut pause, mut failures) = (FIRST_PAUSE, 0);
    loop {
        let (mut supervisor, mut orders) = start(work, seat, fence)?;
        let (began, kill) = (boot(), Cell::new(Time::ZERO));
        let step = tokio::select! {
            ended = seat.keep(|until, then| {
                orders.until(until, then);
                kill.set(then);
            }) => Step::Duty(ended),
            code = supervisor.code() => Step::Command(code),
            () = &mut stop => Step::Stop,
        };
        match step {
            Step::Duty(ended) => {
                supervisor.end(orders, kill.get()).await;
                return Ok(Over::Ended(ended));
            }
            Step::Stop => {
                supervisor.end(orders, kill.get()).await;
                return Ok(Over::Finished(HandoverReason::Released, Finished::Stopped));
            }
            Step::Command(0) => return Ok(Over::Finished(HandoverReason::Released, Finished::Done)),
            Step::Command(code) => {
                if boot().saturating_sub(began) >= WELL {
                    (pause, failures) = (FIRST_PAUSE, 0);
                }
                failures += 1;
                if failures >= work.failures {
                    return Ok(Over::Finished(HandoverReason::Failed, Finished::Failed(code)));
                }
                say(format!(
                    "{}: the command ended with {code}; again in {} ms",
                    seat.name(),
                    pause.as_millis()
                ));
                tokio::select! {
                    ended = seat.keep(|_, _| {}) => return Ok(Over::Ended(ended)),
                    () = sleep(pause) => {}
                    () = &mut stop => return Ok(Over::Finished(HandoverReason::Released, Finished::Stopped)),
                }
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

enum Step {
    Duty(Ended),
    Command(i32),
    Stop,
}
