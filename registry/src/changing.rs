//! The operators' and agents' address: changes, renewals, the replicas, and the door's two calls.

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
use shaletrail_registry_protocol::duty::{Fence, DUTIES, DUTY_HEADER, FENCE_HEADER};
use shaletrail_registry_protocol::{
    check_id, Changed, Confirm, Confirmed, Entry, Expiry, Join, Listed, Register, RenewMany, Renewed, Stamp,
    INSTANCES, LONGEST_CALL, MOST_RENEWED, NOT_RUN,
};

use crate::catalogue::{Command, Outcome, Refused};
use crate::duty_calls;
use crate::http::{body, json, not_run, parse, raw, refusal, Reply};
use crate::leases::Renewal;
use crate::replica::{add, backup, Replica, Unacknowledged};
use crate::types::Member;

/// In front of a call's path where one replica passes it on to another.
pub const FORWARD: &str = "/forward";

/// A call that came whole.
pub struct Asked {
    pub method: Method,
    /// Without what stands in front of it where it was passed on.
    pub path: String,
    pub body: Bytes,
    /// Under which the change is made, if under any.
    pub fence: Option<Fence>,
    /// Passed on already, and not to be again: two replicas may each take the other for the leader.
    pub passed: bool,
}

pub async fn answer(replica: Arc<Replica>, request: Request<Incoming>, passed: bool) -> Reply {
    let path = request.uri().path();
    let path = if passed { path.strip_prefix(FORWARD).unwrap_or(path) } else { path }.to_owned();
    let method = request.method().clone();
    let header = |name| request.headers().get(name).map(|value| value.to_str().unwrap_or("not text"));
    let fence = match Fence::read(header(DUTY_HEADER), header(FENCE_HEADER)) {
        Ok(fence) => fence,
        Err(e) => return refusal(StatusCode::BAD_REQUEST, e),
    };
    match body(request, LONGEST_CALL).await {
        Err(reply) => reply,
        Ok(body) => respond(&replica, Asked { method, path, body, fence, passed }).await,
    }
}

/// What a path names.
enum Named<'a> {
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
    Duty(duty_calls::Call, &'a str),
}

impl<'a> Named<'a> {
    fn of(path: &'a str) -> Option<Self> {
        Some(match path {
            "/-/ready" => Named::Ready,
            "/-/metrics" => Named::Metrics,
            "/registry/status" => Named::Status,
            "/registry/backup" => Named::Backup,
            "/registry/renew" => Named::RenewMany,
            "/registry/expiry/confirm" => Named::Confirm,
            "/registry/expiry" => Named::Expiry,
            "/registry/replicas" => Named::Replicas,
            path => {
                if let Some(rest) = path.strip_prefix("/registry/replicas/") {
                    return Some(match rest.strip_suffix("/promote") {
                        Some(id) => Named::Promote(id),
                        None => Named::Replica(rest),
                    });
                }
                if let Some(rest) = path.strip_prefix(DUTIES) {
                    let (call, name) = duty_calls::Call::of(rest)?;
                    return Some(Named::Duty(call, name));
                }
                let rest = path.strip_prefix(INSTANCES)?.strip_prefix('/')?;
                match rest.split_once('/') {
                    None => Named::Instance(rest),
                    Some((id, "renew")) => Named::Renew(id),
                    Some((id, "leaving")) => Named::Leaving(id),
                    Some(_) => return None,
                }
            }
        })
    }

    fn methods(&self) -> &'static [Method] {
        const GET: &[Method] = &[Method::GET];
        const POST: &[Method] = &[Method::POST];
        match self {
            Named::Ready | Named::Metrics | Named::Status | Named::Backup | Named::Expiry => GET,
            Named::RenewMany | Named::Confirm | Named::Replicas | Named::Promote(_) => POST,
            Named::Renew(_) | Named::Leaving(_) => POST,
            Named::Replica(_) => &[Method::DELETE],
            Named::Instance(_) => &[Method::PUT, Method::DELETE],
            Named::Duty(call, _) => call.methods(),
        }
    }

    /// Whether it can be made under a fencing number.
    fn guarded(&self) -> bool {
        matches!(self, Named::Instance(_) | Named::Leaving(_) | Named::Confirm)
    }
}

async fn respond(replica: &Arc<Replica>, asked: Asked) -> Reply {
    let Some(named) = Named::of(&asked.path) else {
        return refusal(StatusCode::NOT_FOUND, format!("no such call: {}", asked.path));
    };
    let methods = named.methods();
    if !methods.contains(&asked.method) {
        let allowed = methods.iter().map(Method::as_str).collect::<Vec<_>>().join(", ");
        let mut reply = refusal(StatusCode::METHOD_NOT_ALLOWED, format!("{allowed} expected"));
        if let Ok(allowed) = HeaderValue::from_str(&allowed) {
            reply.headers_mut().insert(header::ALLOW, allowed);
        }
        return reply;
    }
    if asked.fence.is_some() && !named.guarded() {
        let what = format!("{DUTY_HEADER}: this call is not made under a duty");
        return refusal(StatusCode::BAD_REQUEST, what);
    }
    let fence = asked.fence.as_ref();
    let done = match named {
        Named::Duty(call, name) => {
            duty_calls::answer(replica, call, name, &asked.method, &asked.body, asked.passed).await
        }
        Named::Ready => return ready(replica),
        Named::Metrics => return metrics(replica),
        Named::Status => return json(StatusCode::OK, &replica.status()),
        Named::Backup => return backed_up(replica),
        Named::Instance(id) if asked.method == Method::PUT => register(replica, id, &asked.body, fence).await,
        Named::Instance(id) => {
            depart(replica, id, &asked.body, fence, |id, stamp| Command::Remove { id, stamp }).await
        }
        Named::Leaving(id) => {
            depart(replica, id, &asked.body, fence, |id, stamp| Command::Leaving { id, stamp }).await
        }
        Named::Renew(id) => renew(replica, id, &asked.body),
        Named::RenewMany => renew_many(replica, &asked.body),
        Named::Confirm => confirm(replica, &asked.body, fence).await,
        Named::Expiry => expiry(replica),
        Named::Replicas => number(replica, &asked.body).await,
        Named::Promote(id) => promote(replica, id, &asked.body).await,
        Named::Replica(name) => remove(replica, name).await,
    };
    match done {
        Ok(reply) => reply,
        Err(No::Reply(reply)) => reply,
        Err(No::Unacknowledged(Unacknowledged::NotRun { leader: Some(leader), .. })) if !asked.passed => {
            pass_on(replica, &leader, asked).await
        }
        Err(No::Unacknowledged(e)) => unacknowledged(replica, e),
    }
}

/// Why a call is not done here.
pub enum No {
    Reply(Reply),
    Unacknowledged(Unacknowledged),
}

impl From<Reply> for No {
    fn from(reply: Reply) -> Self {
        No::Reply(reply)
    }
}

impl From<Unacknowledged> for No {
    fn from(e: Unacknowledged) -> Self {
        No::Unacknowledged(e)
    }
}

pub type Done = Result<Reply, No>;

fn unacknowledged(replica: &Replica, e: Unacknowledged) -> Reply {
    match e {
        Unacknowledged::NotRun { why, .. } => {
            add(&replica.counts.refused);
            not_run(why)
        }
        Unacknowledged::Unknown(why) => {
            add(&replica.counts.unknown);
            refusal(StatusCode::INTERNAL_SERVER_ERROR, format!("it may have happened, or may yet: {why}"))
        }
    }
}

/// The leader's answer, as it is.
async fn pass_on(replica: &Replica, leader: &Member, asked: Asked) -> Reply {
    let Some(addr) = replica.links.addr(leader) else {
        return not_run(format!("{leader} leads, and has no address"));
    };
    let path = format!("{FORWARD}{}", asked.path);
    let number = asked.fence.as_ref().map(|fence| fence.fence.to_string());
    let headers = match (&asked.fence, &number) {
        (Some(fence), Some(number)) => vec![(DUTY_HEADER, fence.duty.as_str()), (FENCE_HEADER, number)],
        _ => Vec::new(),
    };
    let call = Call {
        method: asked.method,
        path: &path,
        headers: &headers,
        body: asked.body,
        max_bytes: LONGEST_CALL,
        close: true,
    };
    let time = Duration::from_millis(replica.settings.change_ms + replica.settings.change_ms / 4);
    match HttpClient::new(addr).send(time, call).await {
        Ok(answer) => {
            let mut reply = raw(answer.status, "application/json", answer.body);
            if let Some(word) = answer.headers.get(NOT_RUN) {
                reply.headers_mut().insert(NOT_RUN, word.clone());
            }
            reply
        }
        Err(e) if e.not_run() => unacknowledged(
            replica,
            Unacknowledged::NotRun { why: format!("{leader} leads, and is {e}"), leader: None },
        ),
        Err(e) => unacknowledged(replica, Unacknowledged::Unknown(format!("{leader}: {e}"))),
    }
}

// ---- The list -----------------------------------------------------------------------------------------

pub fn named(id: &str) -> Result<String, Reply> {
    let bad = |what: String| refusal(StatusCode::BAD_REQUEST, what);
    let id = percent_decode_str(id).decode_utf8().map_err(|_| bad("id: UTF-8 expected".into()))?;
    check_id(&id).map_err(|e| bad(e.to_string()))?;
    Ok(id.into_owned())
}

fn stamp(body: &[u8]) -> Result<Stamp, Reply> {
    if body.is_empty() {
        return Ok(Stamp::default());
    }
    parse(body)
}

/// The command, to hold only while the tenure does under which it is put.
fn under(fence: Option<&Fence>, change: Command) -> Command {
    match fence {
        Some(under) => Command::Fenced { under: under.clone(), change: Box::new(change) },
        None => change,
    }
}

async fn register(replica: &Replica, id: &str, body: &[u8], fence: Option<&Fence>) -> Done {
    let id = named(id)?;
    let entry = parse::<Register>(body)?.check(&id);
    let (entry, stamp, lease) = entry.map_err(|e| refusal(StatusCode::BAD_REQUEST, e))?;
    let done = replica.change(under(fence, Command::Register { entry, stamp, lease })).await?;
    let reply = changed(replica, &id, done);
    // Registering again is a sign of life, also where nothing changed.
    replica.leases(|leases, list, now| leases.renew(&id, stamp, list, now));
    reply
}

async fn depart(
    replica: &Replica,
    id: &str,
    body: &[u8],
    fence: Option<&Fence>,
    command: fn(String, Stamp) -> Command,
) -> Done {
    let id = named(id)?;
    let done = replica.change(under(fence, command(id.clone(), stamp(body)?))).await?;
    changed(replica, &id, done)
}

fn changed(replica: &Replica, id: &str, outcome: Outcome) -> Done {
    add(&replica.counts.changes);
    match outcome {
        Outcome::Done { version } => Ok(json(StatusCode::OK, &Changed { version, id: id.to_owned() })),
        Outcome::Refused(why) => Ok(refused(&why)),
        other => Ok(refusal(StatusCode::INTERNAL_SERVER_ERROR, format!("{other:?}"))),
    }
}

fn refused(why: &Refused) -> Reply {
    match why {
        Refused::Stale { .. } | Refused::Leaving => refusal(StatusCode::CONFLICT, why),
        Refused::Unknown => refusal(StatusCode::NOT_FOUND, why),
        Refused::Full => not_run(why),
        Refused::Fenced { .. } => refusal(StatusCode::PRECONDITION_FAILED, why),
    }
}

// ---- Leases -------------------------------------------------------------------------------------------

/// Why leases can't be kept here.
pub fn no_leases(replica: &Replica) -> No {
    match replica.may_change() {
        Err(e) => e.into(),
        Ok(()) => not_run("this replica only begins to lead").into(),
    }
}

fn renew(replica: &Replica, id: &str, body: &[u8]) -> Done {
    let id = named(id)?;
    let stamp = stamp(body)?;
    replica.may_change()?;
    let renewed = replica.leases(|leases, list, now| leases.renew(&id, stamp, list, now));
    add(&replica.counts.renewals);
    let version = replica.view.version();
    match renewed.ok_or_else(|| no_leases(replica))? {
        Renewal::Done => Ok(json(StatusCode::OK, &Changed { version, id })),
        Renewal::Unknown => Ok(refused(&Refused::Unknown)),
        Renewal::Stale => Ok(refusal(StatusCode::CONFLICT, "a newer life of this id is listed")),
    }
}

fn renew_many(replica: &Replica, body: &[u8]) -> Done {
    let asked: RenewMany = parse(body)?;
    if asked.renewals.len() > MOST_RENEWED {
        let what = format!("renewals: at most {MOST_RENEWED} expected, got {}", asked.renewals.len());
        return Ok(refusal(StatusCode::BAD_REQUEST, what));
    }
    replica.may_change()?;
    let renewed = replica.leases(|leases, list, now| {
        let mut told =
            Renewed { version: list.version(), renewed: 0, unknown: Vec::new(), stale: Vec::new() };
        for renewal in asked.renewals {
            let stamp = Stamp { started_ms: renewal.started_ms, incarnation: renewal.incarnation };
            match leases.renew(&renewal.id, stamp, list, now) {
                Renewal::Done => told.renewed += 1,
                Renewal::Unknown => told.unknown.push(renewal.id),
                Renewal::Stale => told.stale.push(renewal.id),
            }
        }
        told
    });
    let renewed = renewed.ok_or_else(|| no_leases(replica))?;
    replica.counts.renewals.fetch_add(renewed.renewed as u64, Ordering::Relaxed);
    Ok(json(StatusCode::OK, &renewed))
}

/// Others that a call on stopped expiry names.
const OTHERS: usize = 8;

fn expiry(replica: &Replica) -> Done {
    replica.may_change()?;
    let stopped = replica.due().stopped;
    let told = replica.view.look(|list| {
        let listed = |entry: &Entry| Listed { id: entry.id.clone(), addr: entry.addr };
        let named = stopped.iter().filter_map(|id| list.get(id)).map(|held| listed(&held.entry));
        let others = list.entries().map(|held| &held.entry).filter(|entry| !stopped.contains(&entry.id));
        Expiry { stopped: named.collect(), others: others.take(OTHERS).map(listed).collect() }
    });
    Ok(json(StatusCode::OK, &told))
}

async fn confirm(replica: &Replica, body: &[u8], fence: Option<&Fence>) -> Done {
    let asked: Confirm = parse(body)?;
    replica.may_change()?;
    if let Some(under) = fence {
        // The word is kept in this leader's memory alone: that it leads, and what it knows, is made sure of first.
        replica.confirm_lead().await?;
        let guarded = replica.view.duties(|duties| duties.guard(&under.duty, under.fence));
        if let Err(why) = guarded {
            return Ok(refused(&Refused::Fenced { duty: under.duty.clone(), why }));
        }
    }
    let due = replica.due().held.min(asked.most);
    let told = replica.leases(|leases, list, _| {
        leases.confirm(due);
        Confirmed { version: list.version(), expired: due }
    });
    let told = told.ok_or_else(|| no_leases(replica))?;
    tracing::warn!("{due} silent entries are let go by {}", fence.map_or("an operator", |under| &under.duty));
    Ok(json(StatusCode::OK, &told))
}

// ---- Replicas -----------------------------------------------------------------------------------------

/// A number for a new replica. Whoever had its name is removed first.
async fn number(replica: &Replica, body: &[u8]) -> Done {
    let asked: Join = parse(body)?;
    check_id(&asked.name).map_err(|e| refusal(StatusCode::BAD_REQUEST, format!("name: {e}")))?;
    replica.may_change()?;
    let Ok(_one) = replica.members.try_lock() else {
        return Ok(refusal(StatusCode::CONFLICT, "another change of the replicas is not done yet"));
    };
    replica.remove(&asked.name).await?;
    match replica.change(Command::NumberReplica { name: asked.name }).await? {
        Outcome::Numbered { id } => Ok(json(StatusCode::OK, &json!({"id": id}))),
        other => Ok(refusal(StatusCode::INTERNAL_SERVER_ERROR, format!("{other:?}"))),
    }
}

async fn promote(replica: &Arc<Replica>, id: &str, body: &[u8]) -> Done {
    let id: u64 = id.parse().map_err(|_| refusal(StatusCode::BAD_REQUEST, "a replica's number expected"))?;
    let asked: Join = parse(body)?;
    replica.may_change()?;
    let member = Member { name: asked.name, replica: asked.replica.to_string() };
    let one = Arc::clone(replica);
    // Goes on when its caller does not wait: half of a change would stand in the way of the next.
    let work = tokio::spawn(async move {
        let Ok(_one) = one.members.try_lock() else {
            let why = "another change of the replicas is not done yet".to_owned();
            return Err(Unacknowledged::NotRun { why, leader: None });
        };
        one.promote(id, member).await
    });
    work.await.map_err(|e| Unacknowledged::Unknown(e.to_string()))??;
    Ok(json(StatusCode::OK, &json!({"id": id})))
}

async fn remove(replica: &Replica, name: &str) -> Done {
    let name = named(name)?;
    replica.may_change()?;
    let Ok(_one) = replica.members.try_lock() else {
        return Ok(refusal(StatusCode::CONFLICT, "another change of the replicas is not done yet"));
    };
    let status = replica.status();
    let others = status.replicas.iter().filter(|one| one.voter && one.name != name).count();
    if status.replicas.iter().all(|one| one.name != name) {
        // So it may be put twice.
        return Ok(json(StatusCode::OK, &json!({"removed": false})));
    }
    if others == 0 {
        return Ok(refusal(StatusCode::CONFLICT, "it is the only replica"));
    }
    match replica.remove(&name).await {
        Err(Unacknowledged::NotRun { why, .. }) => Ok(refusal(StatusCode::CONFLICT, why)),
        Err(e) => Err(e.into()),
        Ok(()) => Ok(json(StatusCode::OK, &json!({"removed": true}))),
    }
}

// ---- The door -----------------------------------------------------------------------------------------

fn ready(replica: &Replica) -> Reply {
    let text = |status, text: &str| raw(status, "text/plain", Bytes::from(format!("{text}\n")));
    if let Some(what) = replica.log_failed() {
        return text(StatusCode::SERVICE_UNAVAILABLE, &format!("no change is taken: {what}"));
    }
    match &*replica.not_ready().borrow() {
        None => text(StatusCode::OK, "ready"),
        Some(why) => text(StatusCode::SERVICE_UNAVAILABLE, why.words()),
    }
}

fn backed_up(replica: &Replica) -> Reply {
    if let Some(why) = &*replica.not_ready().borrow() {
        return not_run(why.words());
    }
    match backup(&replica.view) {
        Ok(bytes) => raw(StatusCode::OK, "application/octet-stream", bytes.into()),
        Err(e) => refusal(StatusCode::INTERNAL_SERVER_ERROR, e),
    }
}

fn metrics(replica: &Replica) -> Reply {
    let status = replica.status();
    let due = replica.due();
    let counts = &replica.counts;
    let count = |count: &std::sync::atomic::AtomicU64| count.load(Ordering::Relaxed);
    json(
        StatusCode::OK,
        &json!({
            "name": status.name, "role": status.role, "leader": status.leader, "term": status.term,
            "ready": status.not_ready.is_none(), "version": status.version, "entries": status.entries,
            "log_last": status.last_log, "log_applied": status.applied, "snapshot": status.snapshot,
            "log_failed": replica.log_failed(),
            "quorum_age_ms": replica.quorum_age().filter(|_| replica.leads()).map(|age| age.as_millis() as u64),
            "changes": count(&counts.changes), "changes_refused": count(&counts.refused),
            "changes_unknown": count(&counts.unknown), "renewals": count(&counts.renewals),
            "lists": count(&counts.lists), "lists_refused": count(&counts.lists_refused),
            "watching": count(&counts.watching), "expired": count(&counts.expired),
            "elections_won": count(&counts.elections),
            "duties": replica.view.duties(|duties| duties.len()), "duty_calls": count(&counts.duty_calls),
            "duties_lapsed": count(&counts.duties_lapsed),
            "silent": due.silent, "silent_most": due.most, "expiry_held": due.held,
        }),
    )
}

/// Where a replica that joins puts its calls: at the operators' address of some, or passed on by another replica.
pub struct Door {
    pub addr: SocketAddr,
    pub passed: bool,
}

impl Door {
    pub fn path(&self, path: &str) -> String {
        format!("{}{path}", if self.passed { FORWARD } else { "" })
    }
}
