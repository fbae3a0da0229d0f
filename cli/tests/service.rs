//! The list service by its processes: damage, a full disk, leases, backups, replicas that come and go, real nodes.

use std::net::SocketAddr;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use hyper::Method;
use serde_json::{json, Value};
use shaletrail_fault_lab::link::Way;
use shaletrail_fault_lab::observer::{get, numbered_registration, put, Observer};
use shaletrail_fault_lab::process::{wait_for, Process, TempFolder};
use shaletrail_fault_lab::service::{free, pause, Service};
use shaletrail_registry_client::changes::{entry_path, ChangeError};

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_shaletrail-fleet"))
}

fn run(args: &[&str]) -> Output {
    Command::new(program()).args(args).output().expect("the program runs")
}

fn register(ops: &[SocketAddr], id: &str, body: &Value) -> Result<u64, ChangeError> {
    put(ops, Method::PUT, &entry_path(id, ""), body).map(|changed| changed.version)
}

fn add(ops: &[SocketAddr], id: &str, number: u64) -> u64 {
    register(ops, id, &json!(numbered_registration(id, number))).expect("the change holds")
}

fn whole(discovery: SocketAddr) -> Value {
    wait_for("a list", || get(discovery, "/registry/instances").ok())
}

fn ids(list: &Value) -> Vec<&str> {
    let servers = list["servers"].as_array().expect("servers");
    servers.iter().filter_map(|server| server["id"].as_str()).collect()
}

fn figure(ops: SocketAddr, name: &str) -> u64 {
    get(ops, "/-/metrics").ok().and_then(|figures| figures[name].as_u64()).unwrap_or(0)
}

/// Cuts a file off, or flips one bit of it.
enum Damage {
    CutTo(fn(u64) -> u64),
    Flip(fn(u64) -> u64),
    /// A bit of an entry's record, wherever it stands in the log.
    FlipEntry,
}

fn damage(path: &Path, how: &Damage) {
    let file = std::fs::File::options().read(true).write(true).open(path).expect("the file");
    let length = file.metadata().expect("its length").len();
    let at = match how {
        Damage::CutTo(to) => return file.set_len(to(length)).expect("cut"),
        Damage::Flip(at) => at(length),
        Damage::FlipEntry => record(path) + 3,
    };
    let mut byte = [0];
    file.read_exact_at(&mut byte, at).expect("read");
    file.write_all_at(&[byte[0] ^ 0x10], at).expect("written");
}

/// Where an entry's record stands in the log: past the file's own pages.
fn record(file: &Path) -> u64 {
    let bytes = std::fs::read(file).expect("the log");
    let mark = b"\"id\":\"s7\"";
    bytes.windows(mark.len()).position(|window| window == mark).expect("the record of s7") as u64
}

#[test]
fn a_damaged_replica_names_the_file_and_is_rebuilt_from_the_others() {
    let mut service = Service::start(program(), "damage", 3);
    let ops = service.ops();
    for n in 0..20 {
        add(&ops, &format!("s{n}"), 1);
    }
    let cases: [(&str, Damage); 6] = [
        ("log.redb", Damage::CutTo(|n| n / 2)),
        ("log.redb", Damage::CutTo(|_| 0)),
        ("log.redb", Damage::CutTo(|n| n - 1)),
        ("log.redb", Damage::FlipEntry),
        ("log.mark", Damage::Flip(|_| 12)),
        ("replica", Damage::CutTo(|n| n - 1)),
    ];
    for (round, (name, how)) in cases.into_iter().enumerate() {
        let victim = round % 3;
        wait_for("all logs hold all", || {
            (0..3)
                .all(|n| {
                    service
                        .status(n)
                        .is_some_and(|s| s["version"] == whole(service.places[0].discovery)["version"])
                })
                .then_some(())
        });
        service.kill(victim);
        let file = service.places[victim].data.join(name);
        damage(&file, &how);
        add(&ops, "while:away?", round as u64 + 1);
        service.launch(victim);
        service.ready(victim);
        let log = service.process(victim).log();
        assert!(log.contains(&format!("{}: damaged", file.display())), "round {round}: {log}");
        assert!(log.contains("rebuilt from the others"), "{log}");
        let (rebuilt, other) = (service.places[victim].discovery, service.places[(victim + 1) % 3].discovery);
        wait_for("it tells the same list", || (whole(rebuilt) == whole(other)).then_some(()));
    }
}

#[test]
fn alone_a_damaged_replica_says_so_and_does_not_start() {
    let mut service = Service::start(program(), "alone", 1);
    add(&service.ops(), "s7", 1);
    service.kill(0);
    let log = service.places[0].data.join("log.redb");
    let at = record(&log);
    let whole_file = std::fs::read(&log).expect("the log");
    // Cut at many bytes, and with one bit of the record changed: never silently less than was acknowledged.
    let mut cases: Vec<Vec<u8>> = (0..24).map(|n| whole_file[..whole_file.len() * n / 24].to_vec()).collect();
    let mut flipped = whole_file.clone();
    flipped[at as usize + 4] ^= 1;
    cases.push(flipped);
    for (n, bytes) in cases.into_iter().enumerate() {
        std::fs::write(&log, bytes).expect("damaged");
        let out = service.command(0).output().expect("it runs");
        let said = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(out.status.code(), Some(1), "case {n}: {said}");
        assert!(said.contains("log.redb: damaged"), "case {n}: {said}");
    }
    std::fs::write(&log, whole_file).expect("mended");
    service.launch(0);
    service.ready(0);
    assert_eq!(ids(&whole(service.places[0].discovery)), ["s7"]);
}

#[test]
fn a_full_disk_ends_changes_and_not_reading_and_nothing_acknowledged_is_lost() {
    let mut service = Service::start(program(), "full", 1);
    add(&service.ops(), "first", 1);
    service.kill(0);
    // The system's own limit on a file's size, in KiB: writes beyond it fail.
    let size = std::fs::metadata(service.places[0].data.join("log.redb")).expect("the log").len() / 1024;
    let start = service.command(0);
    let words = std::iter::once(start.get_program()).chain(start.get_args());
    let words: Vec<_> = words.map(|word| format!("'{}'", word.to_string_lossy())).collect();
    let limited = format!("trap '' XFSZ; ulimit -f {}; exec {}", size + 8, words.join(" "));
    let log = service.log(0);
    let process = Process::start(Command::new("bash").args(["-c", &limited]), &log);
    process.wait_for_line("ready");
    let ops = service.ops();
    let mut held = vec!["first".to_owned()];
    let filler = "x".repeat(100);
    let refused = (0..5000).find_map(|n| {
        let id = format!("s{n}-{filler}");
        let body = json!(numbered_registration(&id, 1));
        let path = format!("/registry/instances/{id}");
        let body = serde_json::to_vec(&body).expect("JSON");
        let (status, not_run) = once(ops[0], "PUT", &path, &body);
        if status == 200 {
            held.push(id);
            return None;
        }
        Some((status, not_run))
    });
    let (status, not_run) = refused.expect("the disk is full in the end");
    assert_eq!((status, not_run), (500, false), "what failed half way may have happened");
    assert_eq!(once(ops[0], "PUT", "/registry/instances/more", br#"{"addr":"127.0.0.1:1"}"#), (503, true));
    assert_eq!(once(ops[0], "GET", "/-/ready", b"").0, 503);
    assert!(process.log().contains("the log can't be written"), "{}", process.log());
    let told = whole(service.places[0].discovery);
    assert!(held.iter().all(|id| ids(&told).contains(&id.as_str())), "reading goes on");
    drop(process);
    service.launch(0);
    service.ready(0);
    let told = whole(service.places[0].discovery);
    assert!(held.iter().all(|id| ids(&told).contains(&id.as_str())), "all that was acknowledged is there");
    add(&ops, "after", 1);
}

/// One call, as it is answered: the status, and whether it says that nothing has run.
fn once(addr: SocketAddr, method: &str, path: &str, body: &[u8]) -> (u16, bool) {
    use std::io::{Read, Write};
    let mut stream = std::net::TcpStream::connect(addr).expect("somebody accepts");
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body)).expect("written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    let status = answer.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status");
    (status, answer.to_lowercase().contains("x-not-run: 1"))
}

#[test]
fn a_cut_between_agents_and_registry_does_not_empty_the_list() {
    let service = Service::start(program(), "leases", 3);
    let ops = service.ops();
    let lease = |id: &str, port: u16| json!({"addr": format!("127.0.0.1:{port}"), "lease_s": 2.0, "id": id});
    for n in 0..10 {
        register(&ops, &format!("s{n}"), &lease(&format!("s{n}"), 9)).expect("registered");
    }
    let renew = |ids: &[usize]| {
        let renewals: Vec<_> = ids.iter().map(|n| json!({"id": format!("s{n}")})).collect();
        let body = json!({ "renewals": renewals });
        let call = serde_json::to_vec(&body).expect("JSON");
        // At any replica: followers pass it on. 503 while they choose a new leader, as on a busy machine.
        let status = once(ops[1], "POST", "/registry/renew", &call).0;
        assert!(matches!(status, 200 | 503), "{status}");
    };
    // One of ten falls silent: it goes, and nobody else.
    let told = wait_for("one expires", || {
        renew(&[0, 1, 2, 3, 4, 5, 6, 7, 8]);
        let told = whole(service.places[0].discovery);
        (ids(&told).len() < 10).then_some(told)
    });
    assert_eq!(ids(&told), ["s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"]);
    // All fall silent: nobody goes, and it is said.
    let leader = wait_for("expiry stops", || (0..3).find(|n| figure(ops[*n], "expiry_held") == 9));
    assert!(service.process(leader).log().contains("EXPIRY STOPPED"));
    assert_eq!(ids(&whole(service.places[0].discovery)).len(), 9);
    // An operator lets two of them go.
    let list = ops.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
    let out = run(&["registry", "confirm", "--most", "2", "--registry", &list]);
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    wait_for("two go", || (ids(&whole(service.places[0].discovery)).len() == 7).then_some(()));
    pause(500);
    assert_eq!(ids(&whole(service.places[0].discovery)).len(), 7);
}

#[test]
fn an_agent_registers_its_server_while_it_answers_and_says_goodbye_for_it() {
    let service = Service::start(program(), "agent", 1);
    let (ops, discovery) = (service.ops(), service.places[0].discovery);
    let server = free();
    let log = service.folder.0.join("agent.log");
    let mut command = Command::new(program());
    command.args(["agent", "--registry", &ops[0].to_string(), "--id", "s-1", "--addr", &server.to_string()]);
    command.args(["--lease-s", "1", "--drain-s", "0.3"]);
    let mut agent = Process::start(&mut command, &log);
    pause(400);
    assert_eq!(once(discovery, "GET", "/registry/instances", b"").0, 503, "its server does not answer yet");
    let listener = std::net::TcpListener::bind(server).expect("the server's address");
    std::thread::spawn(move || {
        use std::io::{Read, Write};
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 4096]);
            let _ =
                stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        }
    });
    let told = whole(discovery);
    assert_eq!(ids(&told), ["s-1"]);
    assert!(told["servers"][0]["started_ms"].as_u64() > Some(1_600_000_000_000), "{told}");
    // Far longer than the lease, through a restart of the registry.
    let mut service = service;
    service.kill(0);
    service.launch(0);
    service.ready(0);
    pause(2500);
    assert_eq!(ids(&whole(discovery)), ["s-1"]);
    let version = whole(discovery)["version"].as_u64().expect("a version");
    agent.signal("TERM");
    let changes = format!("/registry/instances?from={version}&hold_ms=20000");
    let leaving = get(discovery, &changes).expect("a change");
    assert_eq!(leaving["servers"][0]["state"], "leaving");
    let changes = format!("/registry/instances?from={}&hold_ms=20000", leaving["version"]);
    assert_eq!(get(discovery, &changes).expect("a change")["servers"][0]["state"], "left");
    assert!(agent.wait_for_exit().success());
}

#[test]
fn a_restored_list_goes_on_beyond_every_version_that_was_told() {
    let mut service = Service::start(program(), "backup", 1);
    let (ops, discovery) = (service.ops(), service.places[0].discovery);
    let observer = Observer::start("observer", vec![discovery], 1);
    add(&ops, "kept", 1);
    let file = service.folder.0.join("list.backup");
    let file = file.to_str().expect("a path");
    let backup = run(&["registry", "backup", file, "--registry", &ops[0].to_string()]);
    assert!(backup.status.success(), "{}", String::from_utf8_lossy(&backup.stderr));
    let later = add(&ops, "after", 1);
    wait_for("the last version is told", || (observer.version() == later).then_some(()));
    service.kill(0);
    let data = service.places[0].data.to_str().expect("a path").to_owned();
    let refused = run(&["registry", "restore", file, "--data", &data, "--name", "r1"]);
    assert_eq!(refused.status.code(), Some(1), "nothing is replaced");
    std::fs::remove_dir_all(&data).expect("lost");
    let restored = run(&["registry", "restore", file, "--data", &data, "--name", "r1"]);
    assert!(restored.status.success(), "{}", String::from_utf8_lossy(&restored.stderr));
    service.launch(0);
    service.ready(0);
    let list = whole(discovery);
    assert_eq!(ids(&list), ["kept"]);
    let version = list["version"].as_u64().expect("a version");
    assert!(version > later, "{version} after {later}");
    // Whoever watched goes on, with the whole list, as nobody knows what changed since.
    let seen = observer.stop_at(version);
    let last = seen.lists.iter().rfind(|list| list.version == version).expect("told");
    assert!(last.full && last.servers.len() == 1);
    let bytes = std::fs::read(file).expect("the backup");
    std::fs::write(file, &bytes[..bytes.len() - 3]).expect("cut off");
    let cut = run(&["registry", "restore", file, "--data", &format!("{data}2"), "--name", "r1"]);
    let said = String::from_utf8_lossy(&cut.stderr).into_owned();
    assert!(cut.status.code() == Some(1) && said.contains("list.backup: damaged"), "{said}");
}

#[test]
fn replicas_join_and_are_removed_but_never_so_that_no_majority_is_left() {
    let mut service = Service::start(program(), "members", 3);
    let ops = service.ops();
    add(&ops, "s1", 1);
    let (discovery, own_ops, replica) = (free().to_string(), free().to_string(), free().to_string());
    let list = ops.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
    let data = service.folder.0.join("r4");
    let log = service.folder.0.join("r4.log");
    let mut command = Command::new(program());
    command.args(["registry", "join", "--name", "r4", "--data"]).arg(&data);
    command.args(["--discovery", &discovery, "--ops", &own_ops, "--replica", &replica, "--registry", &list]);
    let joined = Process::start(&mut command, &log);
    joined.wait_for_line("ready");
    assert_eq!(ids(&whole(discovery.parse().expect("an address"))), ["s1"]);
    let removed = run(&["registry", "remove", "r1", "--registry", &list]);
    assert!(removed.status.success(), "{}", String::from_utf8_lossy(&removed.stderr));
    add(&ops[1..], "s2", 1);
    service.kill(0);
    // Of r2, r3 and r4 one is dead: without another no majority would answer.
    service.kill(2);
    pause(2500);
    let left = format!("{},{own_ops}", ops[1]);
    let refused = run(&["registry", "remove", "r2", "--registry", &left]);
    assert_eq!(refused.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&refused.stderr).contains("no majority"), "{refused:?}");
    let dead = run(&["registry", "remove", "r3", "--registry", &left]);
    assert!(dead.status.success(), "{}", String::from_utf8_lossy(&dead.stderr));
    let own = own_ops.parse().expect("an address");
    add(&[own], "s3", 1);
    let discovery = discovery.parse().expect("an address");
    wait_for("the one that joined tells all", || {
        (ids(&whole(discovery)) == ["s1", "s2", "s3"]).then_some(())
    });
}

#[test]
fn a_replica_far_behind_is_sent_a_snapshot_and_logs_stay_short() {
    let settings = "[registry]\nsnapshot_every = 50\nkeep_entries = 10\n";
    let mut service = Service::start_with(program(), "snapshot", 3, settings);
    let ops = service.ops();
    add(&ops, "s", 1);
    let leader = service.wait_for_leader();
    let away = (leader + 1) % 3;
    let before = service.status(away).expect("a status")["last_log"].as_u64().expect("a number");
    service.kill(away);
    for number in 2..400 {
        add(&ops, &format!("s{}", number % 40), number);
    }
    wait_for("a snapshot is taken", || (figure(ops[leader], "snapshot") > before + 300).then_some(()));
    let data = service.places[away].data.join("snapshot");
    let had = data.exists();
    service.launch(away);
    service.ready(away);
    assert!(data.exists() && !had, "the entries that it lacked are gone from the others' logs");
    assert_eq!(whole(service.places[away].discovery), whole(service.places[leader].discovery));
    // And all of it again from the disk.
    let version = whole(service.places[leader].discovery)["version"].clone();
    (0..3).for_each(|n| service.kill(n));
    service.heal();
    assert_eq!(whole(service.places[away].discovery)["version"], version);
}

// ---- Nodes ----------------------------------------------------------------------------------------------

/// The node's program, built beside this one by a build or a test of the whole workspace.
fn node() -> PathBuf {
    let node = program().with_file_name("shaletrail-node");
    assert!(node.exists(), "{}: build the workspace first (cargo build --workspace)", node.display());
    node
}

fn start_node(
    folder: &TempFolder,
    name: &str,
    discovery: &[SocketAddr],
    known: &Value,
) -> (Process, SocketAddr) {
    let ops = free();
    let settings = json!({
        "balancers": 1, "locality": "here", "membership-mode": "on_request", "round-s": 0.005,
        "weight-source": "off", "skus": ["box", "origin"],
        "family-info": {"mode": "aside", "origin-kind": 1},
        "grades": [{"name": "read", "effect": "free", "group": "all", "key-ttl-s": 5.0, "target-s": 4.0,
                    "hard-limit-s": 8.0}],
        "tenants": [{"name": "acme", "quota-per-s": 1000.0}],
        "guarantees": {"grace-to-answer-s": 0.02, "ask-every-s": 10.0, "cold-from": 0.3, "ramp-time-s": 8.0,
                       "drain-grace-s": 0.25, "fall-multiple": 3.0, "fall-s": 3.0},
        "limits": {"cancel": true, "probes": true, "peers": false, "parallel-tries": true, "retry-after": true,
                   "max-retry-after-s": 0.75, "max-attempts": 5, "dial-timeout-s": 5.0, "idle-close-s": 15.0}
    });
    let also: Vec<_> = discovery[1..].iter().map(ToString::to_string).collect();
    let config = json!({"name": name, "listen": "127.0.0.1:0", "discovery": discovery[0].to_string(),
                        "discovery_also": also, "seed": "8c1f30d27a5be964", "ops": ops.to_string(),
                        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
                        "known": known, "settings": settings});
    let file = folder.0.join(format!("{name}.json"));
    std::fs::write(&file, config.to_string()).expect("a configuration");
    let mut command = Command::new(node());
    command.env_clear().env("LB_CONFIG", &file);
    (Process::start(&mut command, &folder.0.join(format!("{name}.log"))), ops)
}

#[test]
fn nodes_follow_the_list_through_failures_of_the_service() {
    let mut service = Service::start(program(), "nodes", 3);
    let (ops, discovery) = (service.ops(), service.discovery());
    for n in 0..3 {
        add(&ops, &format!("s{n}"), 1);
    }
    let nodes: Vec<_> = (0..4)
        .map(|n| {
            let mut known = discovery.clone();
            known.rotate_left(n % 3);
            start_node(&service.folder, &format!("n{n}"), &known, &Value::Null)
        })
        .collect();
    let listed = |ops: SocketAddr, count: u64| {
        wait_for("a node follows", || (figure(ops, "hosts_listed") == count).then_some(()));
    };
    let all_list = |count| nodes.iter().for_each(|(_, ops)| listed(*ops, count));
    all_list(3);
    let mut count = 3;
    for round in 0..4 {
        let leader = service.wait_for_leader();
        match round {
            0 => service.kill(leader),
            1 => service.process(leader).signal("STOP"),
            2 => service.isolate(leader, Way::Cut, Way::Cut),
            _ => (0..3).for_each(|n| service.kill(n)),
        }
        if round < 3 {
            add(&ops, &format!("more{round}"), 1);
            count += 1;
            all_list(count);
        }
        service.heal();
        add(&ops, &format!("then{round}"), 1);
        count += 1;
        all_list(count);
    }
    for (node, ops) in &nodes {
        assert!(figure(*ops, "hosts_listed") == count && !node.log().contains("panicked"));
    }
}

#[test]
fn a_node_is_moved_to_another_service_in_the_middle_of_a_failover() {
    let mut before = Service::start(program(), "before", 3);
    let after = Service::start(program(), "after", 1);
    add(&before.ops(), "old", 1);
    // The other list is at lower versions, and is followed all the same.
    for number in 2..7 {
        add(&before.ops(), "old", number);
    }
    let known = before.discovery();
    let (node, door) = start_node(&before.folder, "n0", &known, &Value::Null);
    wait_for("it has the old list", || (figure(door, "hosts_listed") == 1).then_some(()));
    for n in 0..3 {
        add(&after.ops(), &format!("new{n}"), 1);
    }
    let leader = before.wait_for_leader();
    before.kill(leader);
    before.isolate((leader + 1) % 3, Way::Cut, Way::Cut);
    let file = before.folder.0.join("n0.json");
    let mut config: Value = serde_json::from_slice(&std::fs::read(&file).expect("read")).expect("JSON");
    config["discovery"] = json!(after.discovery()[0].to_string());
    config["discovery_also"] = json!("elsewhere");
    std::fs::write(&file, config.to_string()).expect("written");
    node.signal("HUP");
    wait_for("a wrong file is refused", || (figure(door, "reconfig_failed") == 1).then_some(()));
    config["discovery_also"] = json!([]);
    std::fs::write(&file, config.to_string()).expect("written");
    node.signal("HUP");
    wait_for("it has the new list", || (figure(door, "hosts_listed") == 3).then_some(()));
    add(&after.ops(), "newer", 1);
    wait_for("it follows there", || (figure(door, "hosts_listed") == 4).then_some(()));
}

/// Measured before: such a node never followed a change again.
#[test]
fn a_service_that_lost_its_data_ends_no_list_and_a_restored_one_is_followed() {
    let mut service = Service::start(program(), "lost", 1);
    let (ops, discovery) = (service.ops(), service.discovery());
    let version = (0..5).map(|n| add(&ops, &format!("s{n}"), 1)).max();
    let (node, door) = start_node(&service.folder, "n0", &discovery, &Value::Null);
    wait_for("it has the list", || (figure(door, "hosts_listed") == 5).then_some(()));
    let file = service.folder.0.join("list.backup");
    let file = file.to_str().expect("a path").to_owned();
    assert!(run(&["registry", "backup", &file, "--registry", &ops[0].to_string()]).status.success());
    service.kill(0);
    let data = service.places[0].data.clone();
    std::fs::remove_dir_all(&data).expect("lost");
    service.launch(0);
    service.ready(0);
    add(&ops, "new", 1);
    assert!(whole(discovery[0])["version"].as_u64() < version);
    pause(3000);
    assert_eq!(figure(door, "hosts_listed"), 5, "the last good list stands");
    service.kill(0);
    std::fs::remove_dir_all(&data).expect("cleared");
    assert!(run(&["registry", "restore", &file, "--data", data.to_str().expect("a path")]).status.success());
    service.launch(0);
    service.ready(0);
    add(&ops, "newer", 1);
    wait_for("it follows again", || (figure(door, "hosts_listed") == 6).then_some(()));
    drop(node);
}

#[test]
fn wrong_calls_end_with_2_and_one_line_that_says_what_was_expected() {
    let folder = TempFolder::new("wrong");
    let file = folder.0.join("wrong.toml");
    std::fs::write(&file, "[registry]\nname = \"r1\"\nheartbeat = 5\n").expect("written");
    let file = file.to_str().expect("a path");
    let out = run(&["config", "check", file]);
    let said = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!(out.status.code(), Some(2));
    assert!(
        said.contains("wrong.toml: line 3, column 1") && said.contains("did you mean `heartbeat_ms`"),
        "{said}"
    );
    assert_eq!(said.lines().count(), 1);
    assert_eq!(run(&["registry", "--peers", "r1"]).status.code(), Some(2));
    assert_eq!(
        run(&["registry", "--peers", "r2=127.0.0.1:1", "--replica", "127.0.0.1:1"]).status.code(),
        Some(2)
    );
    assert_eq!(run(&["list", "--registry", "127.0.0.1:1"]).status.code(), Some(1));
    let shown = run(&["config", "show"]);
    std::fs::write(file, &shown.stdout).expect("written");
    assert!(run(&["config", "check", file]).status.success());
}
