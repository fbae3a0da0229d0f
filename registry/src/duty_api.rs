//! Calls about duties, at the operators' address.

use std::time::Duration;

use hyper::{Method, StatusCode};
use shaletrail_registry_client::clock::unix;
use shaletrail_registry_protocol::duty::{
    Acquire, Candidate, Checkpoint, Duties as All, Release, Renew, Standing, Transfer, LONGEST_HOLD,
};
use tokio::time::{timeout_at, Instant};

use crate::catalogue::{Command, Outcome};
use crate::changing::{named, no_leases, Done, No};
use crate::duties::{DutyCommand, DutyOutcome, DutyRefused, Sign};
use crate::http::{json, not_run, parse, refusal, Reply};
use crate::replica::{add, Replica};

/// What a path under the duties' names.
#[derive(Clone, Copy)]
pub enum Call {
    All,
    One,
    Acquire,
    Renew,
    Release,
    Transfer,
    Checkpoint,
}

impl Call {
    /// The call and the duty's name, from what stands behind the duties' own path.
    pub fn of(rest: &str) -> Option<(Call, &str)> {
        if rest.is_empty() {
            return Some((Call::All, ""));
        }
        let rest = rest.strip_prefix('/')?;
        let Some((name, call)) = rest.split_once('/') else { return Some((Call::One, rest)) };
        let call = match call {
            "acquire" => Call::Acquire,
            "renew" => Call::Renew,
            "release" => Call::Release,
            "transfer" => Call::Transfer,
            "checkpoint" => Call::Checkpoint,
            _ => return None,
        };
        Some((call, name))
    }

    pub fn methods(self) -> &'static [Method] {
        match self {
            Call::All => &[Method::GET],
            Call::One => &[Method::GET, Method::DELETE],
            Call::Checkpoint => &[Method::GET, Method::PUT],
            _ => &[Method::POST],
        }
    }
}

fn bad(e: impl ToString) -> Reply {
    refusal(StatusCode::BAD_REQUEST, e)
}

fn refused(why: &DutyRefused) -> Reply {
    let status = match why {
        DutyRefused::Unknown => StatusCode::NOT_FOUND,
        DutyRefused::Fenced { .. } | DutyRefused::Version { .. } => StatusCode::PRECONDITION_FAILED,
        DutyRefused::NotInLine(_) | DutyRefused::InUse => StatusCode::CONFLICT,
        DutyRefused::TooLong(_) => StatusCode::PAYLOAD_TOO_LARGE,
        DutyRefused::TooManyDuties | DutyRefused::TooManyWaiters => return not_run(why),
    };
    refusal(status, why)
}

/// `passed` on by another replica, or put here by the candidate itself.
pub async fn answer(
    replica: &Replica,
    call: Call,
    name: &str,
    method: &Method,
    body: &[u8],
    passed: bool,
) -> Done {
    add(&replica.counts.duty_calls);
    if matches!(call, Call::All) {
        let all = replica.view.duties(|duties| All {
            duties: duties.names().filter_map(|name| duties.show(name)).collect(),
            quiet: duties.is_quiet(),
        });
        return fresh(replica, json(StatusCode::OK, &all));
    }
    let name = named(name)?;
    match call {
        Call::Acquire => acquire(replica, name, body, passed).await,
        Call::Renew => renew(replica, name, body, passed).await,
        Call::Release => {
            let asked: Release = parse(body)?;
            asked.who.check().map_err(bad)?;
            let command =
                DutyCommand::Release { name: name.clone(), who: asked.who, why: asked.why, at_ms: now_ms() };
            change(replica, &name, command).await
        }
        Call::Transfer => {
            let asked: Transfer = parse(body)?;
            let command = DutyCommand::Transfer { name: name.clone(), fence: asked.fence, to: asked.to };
            change(replica, &name, command).await
        }
        Call::Checkpoint if *method == Method::PUT => {
            let asked: Checkpoint = parse(body)?;
            let Checkpoint { fence, expect, data } = asked;
            change(replica, &name, DutyCommand::Checkpoint { name: name.clone(), fence, expect, data }).await
        }
        Call::Checkpoint => {
            let kept = replica.view.duties(|duties| duties.kept(&name));
            fresh(
                replica,
                kept.map_or_else(|| refused(&DutyRefused::Unknown), |kept| json(StatusCode::OK, &kept)),
            )
        }
        Call::One if *method == Method::DELETE => {
            change(replica, &name, DutyCommand::Remove { name: name.clone() }).await
        }
        Call::One | Call::All => fresh(replica, show(replica, &name)),
    }
}

fn now_ms() -> u64 {
    unix().as_millis() as u64
}

/// What is read may be old where a majority has not been heard of for long.
fn fresh(replica: &Replica, reply: Reply) -> Done {
    match &*replica.not_ready().borrow() {
        Some(why) => Ok(not_run(why.words())),
        None => Ok(reply),
    }
}

fn show(replica: &Replica, name: &str) -> Reply {
    let duty = replica.view.duties(|duties| duties.show(name));
    duty.map_or_else(|| refused(&DutyRefused::Unknown), |duty| json(StatusCode::OK, &duty))
}

/// Puts the command into the log; answers with the duty, or what it keeps.
async fn change(replica: &Replica, name: &str, command: DutyCommand) -> Done {
    let before = replica.view.duties(|duties| duties.show(name));
    let outcome = replica.change(Command::Duty(command)).await?;
    add(&replica.counts.changes);
    let after = replica.view.duties(|duties| duties.show(name));
    if let Some(duty) = after.as_ref().filter(|duty| before.is_none_or(|before| before.fence != duty.fence)) {
        let holder = duty.holder.as_deref().unwrap_or("nobody");
        tracing::info!("duty {name}: held by {holder} under fence {}", duty.fence);
    }
    match outcome {
        Outcome::Duty(DutyOutcome::Done) => Ok(match after {
            Some(duty) => json(StatusCode::OK, &duty),
            None => json(StatusCode::OK, &serde_json::json!({"removed": name})),
        }),
        Outcome::Duty(DutyOutcome::Kept(kept)) => Ok(json(StatusCode::OK, &kept)),
        Outcome::Duty(DutyOutcome::Refused(why)) => Ok(refused(&why)),
        other => Ok(refusal(StatusCode::INTERNAL_SERVER_ERROR, format!("{other:?}"))),
    }
}

async fn acquire(replica: &Replica, name: String, body: &[u8], passed: bool) -> Done {
    let asked: Acquire = parse(body)?;
    let lease = asked.check().map_err(bad)?;
    let command = DutyCommand::Acquire { name: name.clone(), who: asked.who.clone(), lease, at_ms: now_ms() };
    let reply = change(replica, &name, command).await?;
    if !reply.status().is_success() {
        return Ok(reply);
    }
    // A lapse that was proposed before this call may come behind it in the log.
    noted(replica, &name, &asked.who)?;
    let standing = replica.view.duties(|duties| duties.standing(&name, &asked.who));
    Ok(standing.map_or_else(|| unknown(&asked.who), |standing| told(standing, passed)))
}

fn told(standing: Standing, passed: bool) -> Reply {
    json(StatusCode::OK, &Standing { direct: !passed, ..standing })
}

fn unknown(who: &Candidate) -> Reply {
    refused(&DutyRefused::NotInLine(who.id.clone()))
}

/// Notes a sign of life at this leader.
fn noted(replica: &Replica, name: &str, who: &Candidate) -> Result<(), No> {
    match replica.signs(|signs, duties, now| signs.sign(name, who, duties, now)) {
        None => Err(no_leases(replica)),
        Some(Sign::Noted) => Ok(()),
        Some(Sign::Unknown) => Err(unknown(who).into()),
        Some(Sign::Lapsing) => Err(not_run("its lease is over here, and its lapse being agreed on").into()),
    }
}

async fn renew(replica: &Replica, name: String, body: &[u8], passed: bool) -> Done {
    let asked: Renew = parse(body)?;
    asked.who.check().map_err(bad)?;
    replica.may_change()?;
    let mut changes = replica.view.duty_changes();
    noted(replica, &name, &asked.who)?;
    replica.confirm_lead().await?;
    // Those for which there is no place are answered at once, and ask again after as long.
    let place = replica.waiting.try_acquire().ok().filter(|_| !passed);
    let hold = place.as_ref().map_or(Duration::ZERO, |_| Duration::from_millis(asked.hold_ms));
    let until = Instant::now() + hold.min(LONGEST_HOLD);
    let news = |standing: &Standing| standing.holds != asked.holds || standing.give_way != asked.give_way;
    loop {
        changes.borrow_and_update();
        match replica.view.duties(|duties| duties.standing(&name, &asked.who)) {
            None => return Ok(unknown(&asked.who)),
            Some(standing) => {
                // The sender is at hand for as long as the replica is.
                if news(&standing) || timeout_at(until, changes.changed()).await.is_err() {
                    return Ok(told(standing, passed));
                }
            }
        }
    }
}
