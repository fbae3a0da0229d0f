//! The address for operators and agents: changes, renewals, membership of replicas, readiness and metrics.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, StatusCode};
use percent_encoding::percent_decode_str;
use serde_json::json;
use shaletrail_registry_client::call::{Call, HttpClient};
use shaletrail_registry_protocol::duty::{Fence, DUTIES_PATH, DUTY_HEADER, FENCE_HEADER};
use shaletrail_registry_protocol::{
    check_id, ChangeResult, ConfirmExpiry, ConfirmExpiryResult, Entry, EntryAddress, Expiry, JoinRequest,
    Register, RenewMany, RenewManyResult, Stamp, INSTANCES_PATH, MAX_RENEWALS, MAX_REQUEST_BYTES,
    NOT_EXECUTED_HEADER,
};

use crate::catalogue::{Command, Outcome, Rejection};
use crate::duty_api;
use crate::http::{error_reply, json_reply, not_executed_reply, parse_json, read_body, reply_with, Reply};
use crate::leases::RenewalOutcome;
use crate::replica::{backup, increment, ChangeError, Replica};
use crate::types::Member;

/// Prefix of the path when one replica forwards a request to another.
pub const FORWARD_PREFIX: &str = "/forward";

/// A request that has been received completely.
pub struct ApiRequest {
    pub method: Method,
    /// The path without [`FORWARD_PREFIX`].
    pub path: String,
    pub body: Bytes,
    /// The duty and fencing number under which the change is made, if any.
    pub fence: Option<Fence>,
    /// The request was forwarded once already. It is not forwarded again, because two replicas may each take
    /// the other for the leader.
    pub forwarded: bool,
}

/// Answers one request to the operator API. `forwarded` tells that another replica passed the request on.
pub async fn handle(replica: Arc<Replica>, request: Request<Incoming>, forwarded: bool) -> Reply {
    let path = request.uri().path();
    let path = if forwarded { path.strip_prefix(FORWARD_PREFIX).unwrap_or(path) } else { path }.to_owned();
    let method = request.method().clone();
    let header = |name| request.headers().get(name).map(|value| value.to_str().unwrap_or("not text"));
    let fence = match Fence::from_headers(header(DUTY_HEADER), header(FENCE_HEADER)) {
        Ok(fence) => fence,
        Err(e) => return error_reply(StatusCode::BAD_REQUEST, e),
    };
    match read_body(request, MAX_REQUEST_BYTES).await {
        Err(reply) => reply,
        Ok(body) => dispatch(&replica, ApiRequest { method, path, body, fence, forwarded }).await,
    }
}

/// The resource that a path names.
enum Route<'a> {
    Ready,
    Metrics,
    Status,
    Backup,
    RenewMany,
    Confirm,
    Expiry,
    Replicas,
    Replica(&'a str),
    Promote(&'a str),
    Instance(&'a str),
    Renew(&'a str),
    Leaving(&'a str),
    Duty(duty_api::DutyRoute, &'a str),
}

impl<'a> Route<'a> {
    fn parse(path: &'a str) -> Option<Self> {
        Some(match path {
            "/-/ready" => Route::Ready,
            "/-/metrics" => Route::Metrics,
            "/registry/status" => Route::Status,
            "/registry/backup" => Route::Backup,
            "/registry/renew" => Route::RenewMany,
            "/registry/expiry/confirm" => Route::Confirm,
            "/registry/expiry" => Route::Expiry,
            "/registry/replicas" => Route::Replicas,
            path => {
                if let Some(rest) = path.strip_prefix("/registry/replicas/") {
                    return Some(match rest.strip_suffix("/promote") {
                        Some(id) => Route::Promote(id),
                        None => Route::Replica(rest),
                    });
                }
                if let Some(rest) = path.strip_prefix(DUTIES_PATH) {
                    let (duty_route, name) = duty_api::DutyRoute::parse(rest)?;
                    return Some(Route::Duty(duty_route, name));
                }
                let rest = path.strip_prefix(INSTANCES_PATH)?.strip_prefix('/')?;
                match rest.split_once('/') {
                    None => Route::Instance(rest),
                    Some((id, "renew")) => Route::Renew(id),
                    Some((id, "leaving")) => Route::Leaving(id),
                    Some(_) => return None,
                }
            }
        })
    }

    fn methods(&self) -> &'static [Method] {
        const GET: &[Method] = &[Method::GET];
        const POST: &[Method] = &[Method::POST];
        match self {
            Route::Ready | Route::Metrics | Route::Status | Route::Backup | Route::Expiry => GET,
            Route::RenewMany | Route::Confirm | Route::Replicas | Route::Promote(_) => POST,
            Route::Renew(_) | Route::Leaving(_) => POST,
            Route::Replica(_) => &[Method::DELETE],
            Route::Instance(_) => &[Method::PUT, Method::DELETE],
            Route::Duty(route, _) => route.methods(),
        }
    }

    /// Whether the request may carry a fencing number.
    fn accepts_fence(&self) -> bool {
        matches!(self, Route::Instance(_) | Route::Leaving(_) | Route::Confirm)
    }
}

async fn dispatch(replica: &Arc<Replica>, request: ApiRequest) -> Reply {
    let Some(route) = Route::parse(&request.path) else {
        return error_reply(StatusCode::NOT_FOUND, format!("no such call: {}", request.path));
    };
    let methods = route.methods();
    if !methods.contains(&request.method) {
        let allowed = methods.iter().map(Method::as_str).collect::<Vec<_>>().join(", ");
        let mut reply = error_reply(StatusCode::METHOD_NOT_ALLOWED, format!("{allowed} expected"));
        if let Ok(allowed) = HeaderValue::from_str(&allowed) {
            reply.headers_mut().insert(header::ALLOW, allowed);
        }
        return reply;
    }
    if request.fence.is_some() && !route.accepts_fence() {
        let reason = format!("{DUTY_HEADER}: this call is not made under a duty");
        return error_reply(StatusCode::BAD_REQUEST, reason);
    }
    let fence = request.fence.as_ref();
    let result = match route {
        Route::Duty(duty_route, name) => {
            duty_api::handle(replica, duty_route, name, &request.method, &request.body, request.forwarded)
                .await
        }
        Route::Ready => return ready(replica),
        Route::Metrics => return metrics(replica),
        Route::Status => return json_reply(StatusCode::OK, &replica.status()),
        Route::Backup => return backup_reply(replica),
        Route::Instance(id) if request.method == Method::PUT => {
            register(replica, id, &request.body, fence).await
        }
        Route::Instance(id) => {
            change_state(replica, id, &request.body, fence, |id, stamp| Command::Remove { id, stamp }).await
        }
        Route::Leaving(id) => {
            change_state(replica, id, &request.body, fence, |id, stamp| Command::Leaving { id, stamp }).await
        }
        Route::Renew(id) => renew(replica, id, &request.body),
        Route::RenewMany => renew_many(replica, &request.body),
        Route::Confirm => confirm(replica, &request.body, fence).await,
        Route::Expiry => expiry(replica),
        Route::Replicas => assign_replica_id(replica, &request.body).await,
        Route::Promote(id) => promote(replica, id, &request.body).await,
        Route::Replica(name) => remove(replica, name).await,
    };
    match result {
        Ok(reply) => reply,
        Err(HandlerError::Reply(reply)) => reply,
        Err(HandlerError::NotAcknowledged(ChangeError::NotExecuted { leader: Some(leader), .. }))
            if !request.forwarded =>
        {
            forward(replica, &leader, request).await
        }
        Err(HandlerError::NotAcknowledged(e)) => change_error_reply(replica, e),
    }
}

/// Why a request is not completed here.
pub enum HandlerError {
    Reply(Reply),
    NotAcknowledged(ChangeError),
}

impl From<Reply> for HandlerError {
    fn from(reply: Reply) -> Self {
        HandlerError::Reply(reply)
    }
}

impl From<ChangeError> for HandlerError {
    fn from(e: ChangeError) -> Self {
        HandlerError::NotAcknowledged(e)
    }
}

/// The reply of a request handler, or the error from which the reply is made.
pub type HandlerResult = Result<Reply, HandlerError>;

fn change_error_reply(replica: &Replica, e: ChangeError) -> Reply {
    match e {
        ChangeError::NotExecuted { why, .. } => {
            increment(&replica.counters.refused);
            not_executed_reply(why)
        }
        ChangeError::Unknown(why) => {
            increment(&replica.counters.unknown);
            error_reply(StatusCode::INTERNAL_SERVER_ERROR, format!("it may have happened, or may yet: {why}"))
        }
    }
}

/// Forwards the request to the leader and returns its answer unchanged.
async fn forward(replica: &Replica, leader: &Member, request: ApiRequest) -> Reply {
    let Some(addr) = replica.links.addr(leader) else {
        return not_executed_reply(format!("{leader} leads, and has no address"));
    };
    let path = format!("{FORWARD_PREFIX}{}", request.path);
    let number = request.fence.as_ref().map(|fence| fence.fence.to_string());
    let headers = match (&request.fence, &number) {
        (Some(fence), Some(number)) => vec![(DUTY_HEADER, fence.duty.as_str()), (FENCE_HEADER, number)],
        _ => Vec::new(),
    };
    let call = Call {
        method: request.method,
        path: &path,
        headers: &headers,
        body: request.body,
        max_bytes: MAX_REQUEST_BYTES,
        close: true,
    };
    let timeout = Duration::from_millis(replica.settings.change_ms + replica.settings.change_ms / 4);
    match HttpClient::new(addr).send(timeout, call).await {
        Ok(answer) => {
            let mut reply = reply_with(answer.status, "application/json", answer.body);
            if let Some(value) = answer.headers.get(NOT_EXECUTED_HEADER) {
                reply.headers_mut().insert(NOT_EXECUTED_HEADER, value.clone());
            }
            reply
        }
        Err(e) if e.not_run() => change_error_reply(
            replica,
            ChangeError::NotExecuted { why: format!("{leader} leads, and is {e}"), leader: None },
        ),
        Err(e) => change_error_reply(replica, ChangeError::Unknown(format!("{leader}: {e}"))),
    }
}

// ---- Instances ---------------------------------------------------------------------------------------

/// Decodes an id from a percent-encoded path segment and checks it. The error is the reply to send.
pub fn parse_id(id: &str) -> Result<String, Reply> {
    let invalid = |reason: String| error_reply(StatusCode::BAD_REQUEST, reason);
    let id = percent_decode_str(id).decode_utf8().map_err(|_| invalid("id: UTF-8 expected".into()))?;
    check_id(&id).map_err(|e| invalid(e.to_string()))?;
    Ok(id.into_owned())
}

fn parse_stamp(body: &[u8]) -> Result<Stamp, Reply> {
    if body.is_empty() {
        return Ok(Stamp::default());
    }
    parse_json(body)
}

/// Makes the command conditional on the fencing number, if there is one.
fn with_fence(fence: Option<&Fence>, change: Command) -> Command {
    match fence {
        Some(fence) => Command::Fenced { fence: fence.clone(), change: Box::new(change) },
        None => change,
    }
}

async fn register(replica: &Replica, id: &str, body: &[u8], fence: Option<&Fence>) -> HandlerResult {
    let id = parse_id(id)?;
    let entry = parse_json::<Register>(body)?.check(&id);
    let (entry, stamp, lease) = entry.map_err(|e| error_reply(StatusCode::BAD_REQUEST, e))?;
    let result = replica.propose(with_fence(fence, Command::Register { entry, stamp, lease })).await?;
    let reply = change_reply(replica, &id, result);
    // A registration renews the lease, even if the entry did not change.
    replica.with_leases(|leases, list, now| leases.renew(&id, stamp, list, now));
    reply
}

async fn change_state(
    replica: &Replica,
    id: &str,
    body: &[u8],
    fence: Option<&Fence>,
    command: fn(String, Stamp) -> Command,
) -> HandlerResult {
    let id = parse_id(id)?;
    let result = replica.propose(with_fence(fence, command(id.clone(), parse_stamp(body)?))).await?;
    change_reply(replica, &id, result)
}

fn change_reply(replica: &Replica, id: &str, outcome: Outcome) -> HandlerResult {
    increment(&replica.counters.changes);
    match outcome {
        Outcome::Done { version } => {
            Ok(json_reply(StatusCode::OK, &ChangeResult { version, id: id.to_owned() }))
        }
        Outcome::Refused(why) => Ok(rejection_reply(&why)),
        other => Ok(error_reply(StatusCode::INTERNAL_SERVER_ERROR, format!("{other:?}"))),
    }
}

fn rejection_reply(why: &Rejection) -> Reply {
    match why {
        Rejection::Stale { .. } | Rejection::Leaving => error_reply(StatusCode::CONFLICT, why),
        Rejection::Unknown => error_reply(StatusCode::NOT_FOUND, why),
        Rejection::Full => not_executed_reply(why),
        Rejection::Fenced { .. } => error_reply(StatusCode::PRECONDITION_FAILED, why),
    }
}

// ---- Leases -------------------------------------------------------------------------------------------

/// Why no leases are available on this replica.
pub fn leases_unavailable(replica: &Replica) -> HandlerError {
    match replica.check_can_change() {
        Err(e) => e.into(),
        Ok(()) => not_executed_reply("this replica only begins to lead").into(),
    }
}

fn renew(replica: &Replica, id: &str, body: &[u8]) -> HandlerResult {
    let id = parse_id(id)?;
    let stamp = parse_stamp(body)?;
    replica.check_can_change()?;
    let renewed = replica.with_leases(|leases, list, now| leases.renew(&id, stamp, list, now));
    increment(&replica.counters.renewals);
    let version = replica.view.version();
    match renewed.ok_or_else(|| leases_unavailable(replica))? {
        RenewalOutcome::Done => Ok(json_reply(StatusCode::OK, &ChangeResult { version, id })),
        RenewalOutcome::Unknown => Ok(rejection_reply(&Rejection::Unknown)),
        RenewalOutcome::Stale => Ok(error_reply(StatusCode::CONFLICT, "a newer life of this id is listed")),
    }
}

fn renew_many(replica: &Replica, body: &[u8]) -> HandlerResult {
    let request: RenewMany = parse_json(body)?;
    if request.renewals.len() > MAX_RENEWALS {
        let reason = format!("renewals: at most {MAX_RENEWALS} expected, got {}", request.renewals.len());
        return Ok(error_reply(StatusCode::BAD_REQUEST, reason));
    }
    replica.check_can_change()?;
    let renewed = replica.with_leases(|leases, list, now| {
        let mut answer =
            RenewManyResult { version: list.version(), renewed: 0, unknown: Vec::new(), stale: Vec::new() };
        for renewal in request.renewals {
            let stamp = Stamp { started_ms: renewal.started_ms, incarnation: renewal.incarnation };
            match leases.renew(&renewal.id, stamp, list, now) {
                RenewalOutcome::Done => answer.renewed += 1,
                RenewalOutcome::Unknown => answer.unknown.push(renewal.id),
                RenewalOutcome::Stale => answer.stale.push(renewal.id),
            }
        }
        answer
    });
    let renewed = renewed.ok_or_else(|| leases_unavailable(replica))?;
    replica.counters.renewals.fetch_add(renewed.renewed as u64, Ordering::Relaxed);
    Ok(json_reply(StatusCode::OK, &renewed))
}

/// The most other entries that `GET /registry/expiry` reports.
const MAX_OTHERS: usize = 8;

fn expiry(replica: &Replica) -> HandlerResult {
    replica.check_can_change()?;
    let withheld_ids = replica.expiry_check().withheld_ids;
    let answer = replica.view.with_catalogue(|list| {
        let listed = |entry: &Entry| EntryAddress { id: entry.id.clone(), addr: entry.addr };
        let withheld = withheld_ids.iter().filter_map(|id| list.get(id)).map(|record| listed(&record.entry));
        let others =
            list.entries().map(|record| &record.entry).filter(|entry| !withheld_ids.contains(&entry.id));
        Expiry { stopped: withheld.collect(), others: others.take(MAX_OTHERS).map(listed).collect() }
    });
    Ok(json_reply(StatusCode::OK, &answer))
}

async fn confirm(replica: &Replica, body: &[u8], fence: Option<&Fence>) -> HandlerResult {
    let request: ConfirmExpiry = parse_json(body)?;
    replica.check_can_change()?;
    if let Some(fence) = fence {
        // The confirmation is kept only in this leader's memory. So first make sure that this replica still
        // leads and that its state is current.
        replica.confirm_leadership().await?;
        let checked = replica.view.with_duties(|duties| duties.check_fence(&fence.duty, fence.fence));
        if let Err(why) = checked {
            return Ok(rejection_reply(&Rejection::Fenced { duty: fence.duty.clone(), why }));
        }
    }
    let count = replica.expiry_check().withheld.min(request.most);
    let answer = replica.with_leases(|leases, list, _| {
        leases.confirm(count);
        ConfirmExpiryResult { version: list.version(), expired: count }
    });
    let answer = answer.ok_or_else(|| leases_unavailable(replica))?;
    tracing::warn!(
        "{count} silent entries expire as confirmed by {}",
        fence.map_or("an operator", |fence| &fence.duty)
    );
    Ok(json_reply(StatusCode::OK, &answer))
}

// ---- Replicas ----------------------------------------------------------------------------------------

/// Assigns an id to a new replica. An earlier replica of the same name is removed first.
async fn assign_replica_id(replica: &Replica, body: &[u8]) -> HandlerResult {
    let request: JoinRequest = parse_json(body)?;
    check_id(&request.name).map_err(|e| error_reply(StatusCode::BAD_REQUEST, format!("name: {e}")))?;
    replica.check_can_change()?;
    let Ok(_guard) = replica.membership_change.try_lock() else {
        return Ok(error_reply(StatusCode::CONFLICT, "another change of the replicas is not done yet"));
    };
    replica.remove_member(&request.name).await?;
    match replica.propose(Command::AssignReplicaId { name: request.name }).await? {
        Outcome::Numbered { id } => Ok(json_reply(StatusCode::OK, &json!({"id": id}))),
        other => Ok(error_reply(StatusCode::INTERNAL_SERVER_ERROR, format!("{other:?}"))),
    }
}

async fn promote(replica: &Arc<Replica>, id: &str, body: &[u8]) -> HandlerResult {
    let id: u64 =
        id.parse().map_err(|_| error_reply(StatusCode::BAD_REQUEST, "a replica's number expected"))?;
    let request: JoinRequest = parse_json(body)?;
    replica.check_can_change()?;
    let member = Member { name: request.name, replica: request.replica.to_string() };
    let target = Arc::clone(replica);
    // Runs in a task of its own, so that it completes if the caller disconnects: a membership change that is
    // half done would block the next one.
    let work = tokio::spawn(async move {
        let Ok(_guard) = target.membership_change.try_lock() else {
            let why = "another change of the replicas is not done yet".to_owned();
            return Err(ChangeError::NotExecuted { why, leader: None });
        };
        target.promote(id, member).await
    });
    work.await.map_err(|e| ChangeError::Unknown(e.to_string()))??;
    Ok(json_reply(StatusCode::OK, &json!({"id": id})))
}

async fn remove(replica: &Replica, name: &str) -> HandlerResult {
    let name = parse_id(name)?;
    replica.check_can_change()?;
    let Ok(_guard) = replica.membership_change.try_lock() else {
        return Ok(error_reply(StatusCode::CONFLICT, "another change of the replicas is not done yet"));
    };
    let status = replica.status();
    let others = status.replicas.iter().filter(|replica| replica.voter && replica.name != name).count();
    if status.replicas.iter().all(|replica| replica.name != name) {
        // Removing an unknown replica succeeds, so that the request can be repeated.
        return Ok(json_reply(StatusCode::OK, &json!({"removed": false})));
    }
    if others == 0 {
        return Ok(error_reply(StatusCode::CONFLICT, "it is the only replica"));
    }
    match replica.remove_member(&name).await {
        Err(ChangeError::NotExecuted { why, .. }) => Ok(error_reply(StatusCode::CONFLICT, why)),
        Err(e) => Err(e.into()),
        Ok(()) => Ok(json_reply(StatusCode::OK, &json!({"removed": true}))),
    }
}

// ---- Readiness, backup and metrics -------------------------------------------------------------------

fn ready(replica: &Replica) -> Reply {
    let text = |status, text: &str| reply_with(status, "text/plain", Bytes::from(format!("{text}\n")));
    if let Some(reason) = replica.log_failed() {
        return text(StatusCode::SERVICE_UNAVAILABLE, &format!("no change is taken: {reason}"));
    }
    match &*replica.not_ready().borrow() {
        None => text(StatusCode::OK, "ready"),
        Some(why) => text(StatusCode::SERVICE_UNAVAILABLE, why.message()),
    }
}

fn backup_reply(replica: &Replica) -> Reply {
    if let Some(why) = &*replica.not_ready().borrow() {
        return not_executed_reply(why.message());
    }
    match backup(&replica.view) {
        Ok(bytes) => reply_with(StatusCode::OK, "application/octet-stream", bytes.into()),
        Err(e) => error_reply(StatusCode::INTERNAL_SERVER_ERROR, e),
    }
}

fn metrics(replica: &Replica) -> Reply {
    let status = replica.status();
    let check = replica.expiry_check();
    let counters = &replica.counters;
    let count = |count: &std::sync::atomic::AtomicU64| count.load(Ordering::Relaxed);
    json_reply(
        StatusCode::OK,
        &json!({
            "name": status.name, "role": status.role, "leader": status.leader, "term": status.term,
            "ready": status.not_ready.is_none(), "version": status.version, "entries": status.entries,
            "log_last": status.last_log, "log_applied": status.applied, "snapshot": status.snapshot,
            "log_failed": replica.log_failed(),
            "quorum_age_ms": replica.quorum_age().filter(|_| replica.is_leader()).map(|age| age.as_millis() as u64),
            "changes": count(&counters.changes), "changes_refused": count(&counters.refused),
            "changes_unknown": count(&counters.unknown), "renewals": count(&counters.renewals),
            "lists": count(&counters.lists), "lists_refused": count(&counters.lists_refused),
            "watching": count(&counters.watching), "expired": count(&counters.expired),
            "elections_won": count(&counters.elections),
            "duties": replica.view.with_duties(|duties| duties.len()), "duty_calls": count(&counters.duty_calls),
            "duties_lapsed": count(&counters.duties_lapsed),
            "silent": check.silent, "silent_most": check.silent_limit, "expiry_held": check.withheld,
        }),
    )
}

/// Where a joining replica sends its requests: to an operators' address, or to another replica's address,
/// which forwards them.
pub struct JoinTarget {
    pub addr: SocketAddr,
    pub forwarded: bool,
}

impl JoinTarget {
    /// The path for a request to this target, with the prefix for forwarded requests if it needs one.
    pub fn path(&self, path: &str) -> String {
        format!("{}{path}", if self.forwarded { FORWARD_PREFIX } else { "" })
    }
}
