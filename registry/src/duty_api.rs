//! Requests about duties, at the operators' address.

use std::time::Duration;

use hyper::{Method, StatusCode};
use shaletrail_registry_client::clock::unix;
use shaletrail_registry_protocol::duty::{
    Acquire, Candidate, CandidateStatus, Checkpoint, Duties as DutyList, Release, Renew, Transfer, MAX_HOLD,
};
use tokio::time::{timeout_at, Instant};

use crate::catalogue::{Command, Outcome};
use crate::duties::{DutyCommand, DutyOutcome, DutyRejection, DutyRenewal};
use crate::http::{error_reply, json_reply, not_executed_reply, parse_json, Reply};
use crate::operator_api::{leases_unavailable, parse_id, HandlerError, HandlerResult};
use crate::replica::{increment, Replica};

/// The resource that a path below the duties' path names.
#[derive(Clone, Copy)]
pub enum DutyRoute {
    All,
    One,
    Acquire,
    Renew,
    Release,
    Transfer,
    Checkpoint,
}

impl DutyRoute {
    /// Returns the route and the duty's name from the part of the path that follows the duties' path.
    pub fn parse(rest: &str) -> Option<(DutyRoute, &str)> {
        if rest.is_empty() {
            return Some((DutyRoute::All, ""));
        }
        let rest = rest.strip_prefix('/')?;
        let Some((name, action)) = rest.split_once('/') else { return Some((DutyRoute::One, rest)) };
        let route = match action {
            "acquire" => DutyRoute::Acquire,
            "renew" => DutyRoute::Renew,
            "release" => DutyRoute::Release,
            "transfer" => DutyRoute::Transfer,
            "checkpoint" => DutyRoute::Checkpoint,
            _ => return None,
        };
        Some((route, name))
    }

    /// The methods that this route accepts; all others are refused.
    pub fn methods(self) -> &'static [Method] {
        match self {
            DutyRoute::All => &[Method::GET],
            DutyRoute::One => &[Method::GET, Method::DELETE],
            DutyRoute::Checkpoint => &[Method::GET, Method::PUT],
            _ => &[Method::POST],
        }
    }
}

fn bad_request(e: impl ToString) -> Reply {
    error_reply(StatusCode::BAD_REQUEST, e)
}

fn rejection_reply(why: &DutyRejection) -> Reply {
    let status = match why {
        DutyRejection::Unknown => StatusCode::NOT_FOUND,
        DutyRejection::Fenced { .. } | DutyRejection::Version { .. } => StatusCode::PRECONDITION_FAILED,
        DutyRejection::NotInLine(_) | DutyRejection::InUse => StatusCode::CONFLICT,
        DutyRejection::TooLong(_) => StatusCode::PAYLOAD_TOO_LARGE,
        DutyRejection::TooManyDuties | DutyRejection::TooManyWaiters => return not_executed_reply(why),
    };
    error_reply(status, why)
}

/// Executes a request. `forwarded` is set if another replica forwarded it, and not set if it came from the
/// candidate itself.
pub async fn handle(
    replica: &Replica,
    route: DutyRoute,
    name: &str,
    method: &Method,
    body: &[u8],
    forwarded: bool,
) -> HandlerResult {
    increment(&replica.counters.duty_calls);
    if matches!(route, DutyRoute::All) {
        let all = replica.view.with_duties(|duties| DutyList {
            duties: duties.names().filter_map(|name| duties.describe(name)).collect(),
            grants_paused: duties.are_grants_paused(),
        });
        return if_current(replica, json_reply(StatusCode::OK, &all));
    }
    let name = parse_id(name)?;
    match route {
        DutyRoute::Acquire => acquire(replica, name, body, forwarded).await,
        DutyRoute::Renew => renew(replica, name, body, forwarded).await,
        DutyRoute::Release => {
            let request: Release = parse_json(body)?;
            request.who.check().map_err(bad_request)?;
            let command = DutyCommand::Release {
                name: name.clone(),
                who: request.who,
                why: request.why,
                at_ms: now_ms(),
            };
            change(replica, &name, command).await
        }
        DutyRoute::Transfer => {
            let request: Transfer = parse_json(body)?;
            let command = DutyCommand::Transfer { name: name.clone(), fence: request.fence, to: request.to };
            change(replica, &name, command).await
        }
        DutyRoute::Checkpoint if *method == Method::PUT => {
            let request: Checkpoint = parse_json(body)?;
            let Checkpoint { fence, expect, data } = request;
            change(replica, &name, DutyCommand::Checkpoint { name: name.clone(), fence, expect, data }).await
        }
        DutyRoute::Checkpoint => {
            let checkpoint = replica.view.with_duties(|duties| duties.stored_checkpoint(&name));
            if_current(
                replica,
                checkpoint.map_or_else(
                    || rejection_reply(&DutyRejection::Unknown),
                    |checkpoint| json_reply(StatusCode::OK, &checkpoint),
                ),
            )
        }
        DutyRoute::One if *method == Method::DELETE => {
            change(replica, &name, DutyCommand::Remove { name: name.clone() }).await
        }
        DutyRoute::One | DutyRoute::All => if_current(replica, duty_reply(replica, &name)),
    }
}

fn now_ms() -> u64 {
    unix().as_millis() as u64
}

/// Refuses a read while this replica has had no contact with a majority for too long: its state may be
/// outdated.
fn if_current(replica: &Replica, reply: Reply) -> HandlerResult {
    match &*replica.not_ready().borrow() {
        Some(why) => Ok(not_executed_reply(why.message())),
        None => Ok(reply),
    }
}

fn duty_reply(replica: &Replica, name: &str) -> Reply {
    let duty = replica.view.with_duties(|duties| duties.describe(name));
    duty.map_or_else(|| rejection_reply(&DutyRejection::Unknown), |duty| json_reply(StatusCode::OK, &duty))
}

/// Commits the command; the answer shows the duty, or its stored checkpoint.
async fn change(replica: &Replica, name: &str, command: DutyCommand) -> HandlerResult {
    let before = replica.view.with_duties(|duties| duties.describe(name));
    let outcome = replica.propose(Command::Duty(command)).await?;
    increment(&replica.counters.changes);
    let after = replica.view.with_duties(|duties| duties.describe(name));
    if let Some(duty) = after.as_ref().filter(|duty| before.is_none_or(|before| before.fence != duty.fence)) {
        let holder = duty.holder.as_deref().unwrap_or("nobody");
        tracing::info!("duty {name}: held by {holder} under fence {}", duty.fence);
    }
    match outcome {
        Outcome::Duty(DutyOutcome::Done) => Ok(match after {
            Some(duty) => json_reply(StatusCode::OK, &duty),
            None => json_reply(StatusCode::OK, &serde_json::json!({"removed": name})),
        }),
        Outcome::Duty(DutyOutcome::Kept(checkpoint)) => Ok(json_reply(StatusCode::OK, &checkpoint)),
        Outcome::Duty(DutyOutcome::Refused(why)) => Ok(rejection_reply(&why)),
        other => Ok(error_reply(StatusCode::INTERNAL_SERVER_ERROR, format!("{other:?}"))),
    }
}

async fn acquire(replica: &Replica, name: String, body: &[u8], forwarded: bool) -> HandlerResult {
    let request: Acquire = parse_json(body)?;
    let lease = request.check().map_err(bad_request)?;
    let command =
        DutyCommand::Acquire { name: name.clone(), who: request.who.clone(), lease, at_ms: now_ms() };
    let reply = change(replica, &name, command).await?;
    if !reply.status().is_success() {
        return Ok(reply);
    }
    // An expiry that was proposed before this call may be committed after it.
    record_renewal(replica, &name, &request.who)?;
    let status = replica.view.with_duties(|duties| duties.status(&name, &request.who));
    Ok(status.map_or_else(|| not_queued_reply(&request.who), |status| status_reply(status, forwarded)))
}

fn status_reply(status: CandidateStatus, forwarded: bool) -> Reply {
    json_reply(StatusCode::OK, &CandidateStatus { direct: !forwarded, ..status })
}

fn not_queued_reply(who: &Candidate) -> Reply {
    rejection_reply(&DutyRejection::NotInLine(who.id.clone()))
}

/// Records a renewal at this leader.
fn record_renewal(replica: &Replica, name: &str, who: &Candidate) -> Result<(), HandlerError> {
    match replica.with_duty_leases(|leases, duties, now| leases.renew(name, who, duties, now)) {
        None => Err(leases_unavailable(replica)),
        Some(DutyRenewal::Recorded) => Ok(()),
        Some(DutyRenewal::Unknown) => Err(not_queued_reply(who).into()),
        Some(DutyRenewal::Lapsing) => {
            Err(not_executed_reply("its lease is over here, and its lapse being agreed on").into())
        }
    }
}

async fn renew(replica: &Replica, name: String, body: &[u8], forwarded: bool) -> HandlerResult {
    let request: Renew = parse_json(body)?;
    request.who.check().map_err(bad_request)?;
    replica.check_can_change()?;
    let mut changes = replica.view.duty_changes();
    record_renewal(replica, &name, &request.who)?;
    replica.confirm_leadership().await?;
    // A renewal without a permit to wait is answered at once. The agent repeats it after the time that it asked
    // to wait.
    let permit = replica.renewal_wait_permits.try_acquire().ok().filter(|_| !forwarded);
    let hold = permit.as_ref().map_or(Duration::ZERO, |_| Duration::from_millis(request.hold_ms));
    let deadline = Instant::now() + hold.min(MAX_HOLD);
    let changed_for_caller = |status: &CandidateStatus| {
        status.holds != request.holds || status.release_requested != request.release_requested
    };
    loop {
        changes.borrow_and_update();
        match replica.view.with_duties(|duties| duties.status(&name, &request.who)) {
            None => return Ok(not_queued_reply(&request.who)),
            Some(status) => {
                // The sender lives as long as the replica, so the only error is the time-out.
                if changed_for_caller(&status) || timeout_at(deadline, changes.changed()).await.is_err() {
                    return Ok(status_reply(status, forwarded));
                }
            }
        }
    }
}
