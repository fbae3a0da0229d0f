//! The JSON of the registry's calls, in both directions, as other processes send and read it.
//!
//! Replicas, agents, nodes and operators' tools of different releases talk to each other during an upgrade,
//! and the platform reads the list. The texts here were written by a release in use: each value must be
//! encoded byte for byte, and the text must be read back into an equal value. A failure means that a name, an
//! order or a default on the wire has changed. Restore the old form (`#[serde(rename = "...")]` for a renamed
//! field or variant). An intended change of the form is a new version of the protocol, read beside the old
//! one, and not a new text here.

use std::fmt::Debug;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::Serialize;
use shaletrail_registry_protocol::duty::{
    check_lease, Acquire, Candidate, CandidateStatus, Checkpoint, Duties, Duty, Fence, Handover,
    HandoverReason, Release, Renew, StoredCheckpoint, Transfer,
};
use shaletrail_registry_protocol::{
    check_id, duty, ChangeResult, ConfirmExpiry, ConfirmExpiryResult, Entry, EntryAddress, ErrorBody, Expiry,
    JoinRequest, List, Register, RenewMany, RenewManyResult, Renewal, Replica, Stamp, State, Status,
};

/// The value is encoded as `text`, and `text` is read as the value.
fn assert_format<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, text: &str) {
    assert_eq!(serde_json::to_string(value).expect("the value is encoded"), text);
    assert_eq!(&read::<T>(text), value);
}

fn read<T: DeserializeOwned>(text: &str) -> T {
    serde_json::from_str(text).expect("the stored text is read")
}

fn assert_refused<T: DeserializeOwned + Debug>(text: &str, error: &str) {
    let refused = serde_json::from_str::<T>(text).expect_err("the text is refused");
    assert!(refused.to_string().starts_with(error), "{refused}");
}

fn entry() -> Entry {
    Entry {
        id: "cache-7".into(),
        addr: "10.1.2.3:4005".parse().expect("an address"),
        zone: "north".into(),
        kind: "cache".into(),
        cell: 6,
        state: State::Leaving,
        weight: 0.75,
        started_ms: 1_700_000_000_008,
    }
}

const ENTRY: &str = r#"{"id":"cache-7","addr":"10.1.2.3:4005","zone":"north","kind":"cache","cell":6,"state":"leaving","weight":0.75,"started_ms":1700000000008}"#;

fn candidate() -> Candidate {
    Candidate { id: "agent-2".into(), incarnation: 31 }
}

#[test]
fn paths_and_headers() {
    assert_eq!(shaletrail_registry_protocol::INSTANCES_PATH, "/registry/instances");
    assert_eq!(shaletrail_registry_protocol::NOT_EXECUTED_HEADER, "x-not-run");
    assert_eq!(duty::DUTIES_PATH, "/registry/duties");
    assert_eq!(duty::DUTY_HEADER, "x-duty");
    assert_eq!(duty::FENCE_HEADER, "x-fence");
}

#[test]
fn limits() {
    assert_eq!(shaletrail_registry_protocol::MAX_NAME_BYTES, 128);
    assert_eq!(shaletrail_registry_protocol::LEASE_S, 0.1..=86_400.0);
    assert_eq!(shaletrail_registry_protocol::MAX_HOLD, Duration::from_secs(60));
    assert_eq!(shaletrail_registry_protocol::MAX_RENEWALS, 10_000);
    assert_eq!(shaletrail_registry_protocol::MAX_REQUEST_BYTES, 2_097_152);
    assert_eq!(shaletrail_registry_protocol::MAX_LIST_BYTES, 16_777_216);
    assert_eq!(duty::LEASE_S, 0.5..=30.0);
    assert_eq!(duty::MAX_HOLD, Duration::from_secs(3));
    assert_eq!(duty::MAX_CHECKPOINT_BYTES, 16_384);
    assert_eq!(duty::MAX_DUTIES, 2048);
    assert_eq!(duty::MAX_WAITERS, 1000);
    assert_eq!(duty::MAX_EXACT_INTEGER, 9_007_199_254_740_992);
}

#[test]
fn states() {
    assert_format(&State::Active, r#""active""#);
    assert_format(&State::Leaving, r#""leaving""#);
    assert_format(&State::Left, r#""left""#);
}

#[test]
fn list() {
    assert_format(&entry(), ENTRY);
    let list = List { version: 42, full: true, servers: vec![entry()] };
    assert_format(&list, &format!(r#"{{"version":42,"full":true,"servers":[{ENTRY}]}}"#));
}

#[test]
fn entry_defaults() {
    let short: Entry = read(r#"{"id":"a","addr":"[::1]:9"}"#);
    let expected = Entry {
        id: "a".into(),
        addr: "[::1]:9".parse().expect("an address"),
        zone: String::new(),
        kind: String::new(),
        cell: 0,
        state: State::Leaving,
        weight: 1.0,
        started_ms: 0,
    };
    assert_eq!(short, expected);
    let odd = r#"{"id":"a","addr":"[::1]:9","zone":1,"kind":2,"cell":"x","state":"new","weight":"y","started_ms":null,"more":3}"#;
    assert_eq!(read::<Entry>(odd), expected);
    let fraction: Entry = read(r#"{"id":"a","addr":"[::1]:9","started_ms":12.9}"#);
    assert_eq!(fraction.started_ms, 12);
    assert_refused::<Entry>(r#"{"addr":"[::1]:9"}"#, "missing field `id`");
    assert_refused::<Entry>(r#"{"id":"a"}"#, "missing field `addr`");
}

#[test]
fn registration() {
    let mut register = Register::new(&entry(), Some(2.5));
    register.incarnation = 9;
    let text = format!("{},\"incarnation\":9,\"lease_s\":2.5}}", ENTRY.strip_suffix('}').expect("an object"));
    assert_format(&register, &text);
    let (listed, stamp, lease) = register.check("cache-7").expect("the registration holds");
    assert_eq!(listed, entry());
    assert_eq!(stamp, Stamp { started_ms: 1_700_000_000_008, incarnation: 9 });
    assert_eq!(lease, Some(Duration::from_millis(2500)));
}

#[test]
fn registration_defaults() {
    let short: Register = read(r#"{"addr":"[::1]:9"}"#);
    let text = r#"{"addr":"[::1]:9","zone":"","kind":"","cell":0,"state":"active","weight":1.0,"started_ms":0,"incarnation":0}"#;
    assert_format(&short, text);
    assert_refused::<Register>(r#"{"id":"a"}"#, "missing field `addr`");
    assert_refused::<Register>(
        r#"{"addr":"[::1]:9","lease":1}"#,
        "unknown field `lease`, expected one of `id`, `addr`, `zone`, `kind`, `cell`, `state`, `weight`, \
         `started_ms`, `incarnation`, `lease_s`",
    );
}

#[test]
fn registration_errors() {
    let check = |change: fn(&mut Register)| {
        let mut register = Register::new(&entry(), Some(1.0));
        change(&mut register);
        register.check("cache-7").expect_err("the registration is refused").to_string()
    };
    assert_eq!(check(|r| r.id = Some("other".into())), "id: the path's id expected, or none");
    assert_eq!(check(|r| r.zone = "z".repeat(129)), "zone: at most 128 bytes of text expected");
    assert_eq!(check(|r| r.kind = "\n".into()), "kind: at most 128 bytes of text expected");
    assert_eq!(
        check(|r| r.state = State::Left),
        "state: `active` or `leaving` expected; DELETE removes an entry"
    );
    assert_eq!(check(|r| r.weight = -1.0), "weight: a number of 0 or more expected, got -1");
    assert_eq!(check(|r| r.lease_s = Some(0.05)), "lease_s: 0.1 to 86400 seconds expected, got 0.05");
    let id = "id: 1 to 128 visible ASCII characters without `/` expected";
    for wrong in ["", "a/b", "a b", "ä"] {
        assert_eq!(check_id(wrong).expect_err("the id is refused").to_string(), id);
    }
}

#[test]
fn stamp() {
    assert_format(&Stamp { started_ms: 5, incarnation: 6 }, r#"{"started_ms":5,"incarnation":6}"#);
    assert_eq!(read::<Stamp>("{}"), Stamp::default());
    assert_refused::<Stamp>(r#"{"life":1}"#, "unknown field `life`, expected `started_ms` or `incarnation`");
}

#[test]
fn change_answer() {
    assert_format(&ChangeResult { version: 3, id: "a".into() }, r#"{"version":3,"id":"a"}"#);
    assert_format(&ErrorBody { error: "no such id".into() }, r#"{"error":"no such id"}"#);
}

#[test]
fn renewals() {
    let renewal = Renewal { id: "a".into(), started_ms: 7, incarnation: 8 };
    let text = r#"{"id":"a","started_ms":7,"incarnation":8}"#;
    assert_format(&renewal, text);
    let many = RenewMany { renewals: vec![renewal] };
    assert_format(&many, &format!(r#"{{"renewals":[{text}]}}"#));
    let renewed =
        RenewManyResult { version: 4, renewed: 5, unknown: vec!["u".into()], stale: vec!["s".into()] };
    assert_format(&renewed, r#"{"version":4,"renewed":5,"unknown":["u"],"stale":["s"]}"#);
    let short: Renewal = read(r#"{"id":"a"}"#);
    assert_eq!(short, Renewal { id: "a".into(), started_ms: 0, incarnation: 0 });
    assert_refused::<Renewal>(r#"{"id":"a","x":1}"#, "unknown field `x`");
    assert_refused::<RenewMany>(r#"{"x":[]}"#, "unknown field `x`, expected `renewals`");
}

#[test]
fn expiry() {
    assert_format(&ConfirmExpiry { most: 12 }, r#"{"most":12}"#);
    assert_refused::<ConfirmExpiry>(r#"{"x":1}"#, "unknown field `x`, expected `most`");
    assert_format(&ConfirmExpiryResult { version: 13, expired: 14 }, r#"{"version":13,"expired":14}"#);
    let listed =
        |id: &str, addr: &str| EntryAddress { id: id.into(), addr: addr.parse().expect("an address") };
    let expiry = Expiry { stopped: vec![listed("a", "1.1.1.1:1")], others: vec![listed("b", "2.2.2.2:2")] };
    let text = r#"{"stopped":[{"id":"a","addr":"1.1.1.1:1"}],"others":[{"id":"b","addr":"2.2.2.2:2"}]}"#;
    assert_format(&expiry, text);
}

#[test]
fn replicas() {
    let join = JoinRequest { name: "r4".into(), replica: "10.0.0.4:77".parse().expect("an address") };
    assert_format(&join, r#"{"name":"r4","replica":"10.0.0.4:77"}"#);
    assert_refused::<JoinRequest>(r#"{"x":1}"#, "unknown field `x`, expected `name` or `replica`");
    let replica =
        Replica { id: 4, name: "r4".into(), replica: "host:77".into(), voter: true, behind: Some(5) };
    assert_format(&replica, r#"{"id":4,"name":"r4","replica":"host:77","voter":true,"behind":5}"#);
    let unknown = Replica { voter: false, behind: None, ..replica };
    assert_format(&unknown, r#"{"id":4,"name":"r4","replica":"host:77","voter":false,"behind":null}"#);
}

#[test]
fn status() {
    let status = Status {
        name: "r1".into(),
        version: 2,
        entries: 3,
        role: "follower".into(),
        leader: Some("r2".into()),
        term: 4,
        last_log: 5,
        applied: 6,
        snapshot: 7,
        not_ready: Some("stopping".into()),
        expiry_held: 8,
        replicas: vec![Replica {
            id: 9,
            name: "r3".into(),
            replica: "host:1".into(),
            voter: false,
            behind: None,
        }],
    };
    let text = r#"{"name":"r1","version":2,"entries":3,"role":"follower","leader":"r2","term":4,"last_log":5,"applied":6,"snapshot":7,"not_ready":"stopping","expiry_held":8,"replicas":[{"id":9,"name":"r3","replica":"host:1","voter":false,"behind":null}]}"#;
    assert_format(&status, text);
    let ready = Status { leader: None, not_ready: None, replicas: Vec::new(), ..status };
    let text = r#"{"name":"r1","version":2,"entries":3,"role":"follower","leader":null,"term":4,"last_log":5,"applied":6,"snapshot":7,"not_ready":null,"expiry_held":8,"replicas":[]}"#;
    assert_format(&ready, text);
}

#[test]
fn duty_candidate() {
    assert_format(&candidate(), r#"{"id":"agent-2","life":31}"#);
    assert_refused::<Candidate>(r#"{"x":1}"#, "unknown field `x`, expected `id` or `life`");
    let wrong = Candidate { id: "a".into(), incarnation: duty::MAX_EXACT_INTEGER };
    assert_eq!(
        wrong.check().expect_err("the life is refused").to_string(),
        "life: a whole number below 9007199254740992 expected"
    );
}

#[test]
fn duty_acquire() {
    let acquire = Acquire { who: candidate(), lease_s: 1.5 };
    assert_format(&acquire, r#"{"who":{"id":"agent-2","life":31},"lease_s":1.5}"#);
    assert_refused::<Acquire>(r#"{"x":1}"#, "unknown field `x`, expected `who` or `lease_s`");
    assert_eq!(
        check_lease(31.0).expect_err("the lease is refused").to_string(),
        "lease_s: 0.5 to 30 seconds expected, got 31"
    );
}

#[test]
fn duty_renew() {
    let renew = |holds, release_requested| Renew { who: candidate(), hold_ms: 250, holds, release_requested };
    let text = |known: &str| format!(r#"{{"who":{{"id":"agent-2","life":31}},"hold_ms":250{known}}}"#);
    assert_format(&renew(true, false), &text(r#","holds":true,"give_way":false"#));
    assert_format(&renew(false, true), &text(r#","holds":false,"give_way":true"#));
    assert_eq!(read::<Renew>(&text("")), renew(false, false));
    assert_refused::<Renew>(
        r#"{"x":1}"#,
        "unknown field `x`, expected one of `who`, `hold_ms`, `holds`, `give_way`",
    );
}

#[test]
fn duty_standing() {
    let standing = |holds, release_requested, direct| CandidateStatus {
        holds,
        fence: 11,
        release_requested,
        candidates_ahead: 12,
        checkpoint_version: 13,
        direct,
    };
    let holder =
        r#"{"holds":true,"fence":11,"give_way":false,"before":12,"checkpoint_version":13,"direct":false}"#;
    assert_format(&standing(true, false, false), holder);
    let asked =
        r#"{"holds":false,"fence":11,"give_way":true,"before":12,"checkpoint_version":13,"direct":false}"#;
    assert_format(&standing(false, true, false), asked);
    let direct =
        r#"{"holds":false,"fence":11,"give_way":false,"before":12,"checkpoint_version":13,"direct":true}"#;
    assert_format(&standing(false, false, true), direct);
    let older = r#"{"holds":true,"fence":11,"give_way":false,"before":12,"checkpoint_version":13}"#;
    assert_eq!(read::<CandidateStatus>(older), standing(true, false, false));
}

#[test]
fn duty_release() {
    let reasons = [
        (HandoverReason::Free, "free"),
        (HandoverReason::Released, "released"),
        (HandoverReason::Asked, "asked"),
        (HandoverReason::Failed, "failed"),
        (HandoverReason::Lapsed, "lapsed"),
    ];
    for (why, name) in reasons {
        let release = Release { who: candidate(), why };
        assert_format(&release, &format!(r#"{{"who":{{"id":"agent-2","life":31}},"why":"{name}"}}"#));
    }
    assert_refused::<Release>(r#"{"x":1}"#, "unknown field `x`, expected `who` or `why`");
}

#[test]
fn duty_transfer() {
    let transfer = Transfer { fence: 21, to: Some("agent-3".into()) };
    assert_format(&transfer, r#"{"fence":21,"to":"agent-3"}"#);
    assert_format(&Transfer { fence: 21, to: None }, r#"{"fence":21,"to":null}"#);
    assert_eq!(read::<Transfer>(r#"{"fence":21}"#), Transfer { fence: 21, to: None });
    assert_refused::<Transfer>(r#"{"x":1}"#, "unknown field `x`, expected `fence` or `to`");
}

#[test]
fn duty_checkpoint() {
    let checkpoint = Checkpoint { fence: 22, expect: 23, data: "at 24".into() };
    assert_format(&checkpoint, r#"{"fence":22,"expect":23,"data":"at 24"}"#);
    assert_refused::<Checkpoint>(
        r#"{"x":1}"#,
        "unknown field `x`, expected one of `fence`, `expect`, `data`",
    );
    let kept = StoredCheckpoint { version: 25, fence: 26, data: "at 27".into() };
    assert_format(&kept, r#"{"version":25,"fence":26,"data":"at 27"}"#);
}

#[test]
fn duties() {
    let last =
        Handover { from: Some("a".into()), to: Some("b".into()), why: HandoverReason::Asked, at_ms: 41 };
    let last_text = r#"{"from":"a","to":"b","why":"asked","at_ms":41}"#;
    assert_format(&last, last_text);
    let nobody = Handover { from: None, to: None, why: HandoverReason::Free, at_ms: 42 };
    assert_format(&nobody, r#"{"from":null,"to":null,"why":"free","at_ms":42}"#);
    let held = Duty {
        name: "sweep".into(),
        holder: Some("b".into()),
        fence: 43,
        since_ms: 44,
        lease_ms: 45,
        waiters: vec!["c".into(), "d".into()],
        release_requested: true,
        checkpoint_version: 46,
        last: Some(last),
    };
    let held_text = format!(
        r#"{{"name":"sweep","holder":"b","fence":43,"since_ms":44,"lease_ms":45,"waiters":["c","d"],"give_way":true,"checkpoint_version":46,"last":{last_text}}}"#
    );
    assert_format(&held, &held_text);
    let all = Duties { duties: vec![held.clone()], grants_paused: true };
    assert_format(&all, &format!(r#"{{"duties":[{held_text}],"quiet":true}}"#));
    let free = Duty { holder: None, waiters: Vec::new(), release_requested: false, last: None, ..held };
    let free_text = r#"{"name":"sweep","holder":null,"fence":43,"since_ms":44,"lease_ms":45,"waiters":[],"give_way":false,"checkpoint_version":46,"last":null}"#;
    assert_format(&free, free_text);
}

#[test]
fn fence_headers() {
    let fence = Fence { duty: "sweep".into(), fence: 51 };
    assert_format(&fence, r#"{"duty":"sweep","fence":51}"#);
    assert_eq!(Fence::from_headers(None, None), Ok(None));
    assert_eq!(Fence::from_headers(Some("sweep"), Some("51")), Ok(Some(fence)));
    let error =
        |duty, number| Fence::from_headers(duty, number).expect_err("the headers are refused").to_string();
    assert_eq!(error(Some("sweep"), None), "x-duty and x-fence: both expected, or none");
    assert_eq!(error(Some("sweep"), Some("0")), "x-fence: a fencing number expected, got `0`");
    assert_eq!(
        error(Some("a/b"), Some("1")),
        "x-duty: id: 1 to 128 visible ASCII characters without `/` expected"
    );
}
