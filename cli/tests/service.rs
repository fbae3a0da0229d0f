//! Tests of the list service with real processes: damaged files, a full disk, leases, backups, changes of
//! membership, and nodes that follow the list.

use std::net::SocketAddr;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use hyper::Method;
use serde_json::{json, Value};
use shaletrail_fault_lab::link::LinkCondition;
use shaletrail_fault_lab::observer::{get, numbered_registration, put, Observer};
use shaletrail_fault_lab::process::{wait_for, Process, TempFolder};
use shaletrail_fault_lab::registry::{free_addr, sleep_ms, RegistryCluster};
use shaletrail_registry_client::client::{entry_path, ChangeError};

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

fn read_list(discovery: SocketAddr) -> Value {
    wait_for("a list", || get(discovery, "/registry/instances").ok())
}

fn ids(list: &Value) -> Vec<&str> {
    let servers = list["servers"].as_array().expect("servers");
    servers.iter().filter_map(|server| server["id"].as_str()).collect()
}

fn metric(ops: SocketAddr, name: &str) -> u64 {
    get(ops, "/-/metrics").ok().and_then(|figures| figures[name].as_u64()).unwrap_or(0)
}

/// How a file is damaged: truncated, or one bit flipped.
enum Damage {
    CutTo(fn(u64) -> u64),
    Flip(fn(u64) -> u64),
    /// Flips a bit in the record of an entry, wherever it is in the log.
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

/// Offset of an entry's record in the log, behind the file's own pages.
fn record(file: &Path) -> u64 {
    let bytes = std::fs::read(file).expect("the log");
    let mark = b"\"id\":\"s7\"";
    bytes.windows(mark.len()).position(|window| window == mark).expect("the record of s7") as u64
}

#[test]
fn a_damaged_replica_names_the_file_and_is_rebuilt_from_the_others() {
    let mut service = RegistryCluster::start(program(), "damage", 3);
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
        wait_for("all replicas have all changes", || {
            (0..3)
                .all(|n| {
                    service
                        .status(n)
                        .is_some_and(|s| s["version"] == read_list(service.replicas[0].discovery)["version"])
                })
                .then_some(())
        });
        service.kill(victim);
        let file = service.replicas[victim].data.join(name);
        damage(&file, &how);
        add(&ops, "while:away?", round as u64 + 1);
        service.launch(victim);
        service.wait_until_ready(victim);
        let log = service.process(victim).log();
        assert!(log.contains(&format!("{}: damaged", file.display())), "round {round}: {log}");
        assert!(log.contains("rebuilt from the others"), "{log}");
        let (rebuilt, other) =
            (service.replicas[victim].discovery, service.replicas[(victim + 1) % 3].discovery);
        wait_for("the rebuilt replica returns the same list", || {
            (read_list(rebuilt) == read_list(other)).then_some(())
        });
    }
}

#[test]
fn a_damaged_single_replica_names_the_file_and_does_not_start() {
    let mut service = RegistryCluster::start(program(), "alone", 1);
    add(&service.ops(), "s7", 1);
    service.kill(0);
    let log = service.replicas[0].data.join("log.redb");
    let at = record(&log);
    let whole_file = std::fs::read(&log).expect("the log");
    // The log is truncated at many offsets, and one bit of the record is flipped. The replica must never
    // start with less than was acknowledged.
    let mut cases: Vec<Vec<u8>> = (0..24).map(|n| whole_file[..whole_file.len() * n / 24].to_vec()).collect();
    let mut flipped = whole_file.clone();
    flipped[at as usize + 4] ^= 1;
    cases.push(flipped);
    for (n, bytes) in cases.into_iter().enumerate() {
        std::fs::write(&log, bytes).expect("the file is damaged");
        let out = service.command(0).output().expect("the program runs");
        let output_text = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(out.status.code(), Some(1), "case {n}: {output_text}");
        assert!(output_text.contains("log.redb: damaged"), "case {n}: {output_text}");
    }
    std::fs::write(&log, whole_file).expect("the file is repaired");
    service.launch(0);
    service.wait_until_ready(0);
    assert_eq!(ids(&read_list(service.replicas[0].discovery)), ["s7"]);
}

#[test]
fn a_full_disk_stops_changes_but_not_reads_and_loses_nothing_acknowledged() {
    let mut service = RegistryCluster::start(program(), "full", 1);
    add(&service.ops(), "first", 1);
    service.kill(0);
    // The process's limit on file sizes, in KiB, simulates a full disk: writes beyond it fail.
    let size = std::fs::metadata(service.replicas[0].data.join("log.redb")).expect("the log").len() / 1024;
    let start = service.command(0);
    let command_words = std::iter::once(start.get_program()).chain(start.get_args());
    let command_words: Vec<_> = command_words.map(|arg| format!("'{}'", arg.to_string_lossy())).collect();
    let limited = format!("trap '' XFSZ; ulimit -f {}; exec {}", size + 8, command_words.join(" "));
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
        let (status, not_run) = raw_call(ops[0], "PUT", &path, &body);
        if status == 200 {
            held.push(id);
            return None;
        }
        Some((status, not_run))
    });
    let (status, not_run) = refused.expect("the limit is reached");
    assert_eq!((status, not_run), (500, false), "a change that failed midway may have been made");
    assert_eq!(
        raw_call(ops[0], "PUT", "/registry/instances/more", br#"{"addr":"127.0.0.1:1"}"#),
        (503, true)
    );
    assert_eq!(raw_call(ops[0], "GET", "/-/ready", b"").0, 503);
    assert!(process.log().contains("the log can't be written"), "{}", process.log());
    let list = read_list(service.replicas[0].discovery);
    assert!(held.iter().all(|id| ids(&list).contains(&id.as_str())), "reads still succeed");
    drop(process);
    service.launch(0);
    service.wait_until_ready(0);
    let list = read_list(service.replicas[0].discovery);
    assert!(
        held.iter().all(|id| ids(&list).contains(&id.as_str())),
        "every acknowledged change is in the list"
    );
    add(&ops, "after", 1);
}

/// Sends one call without retries. Returns the status, and whether the response says that nothing was
/// executed.
fn raw_call(addr: SocketAddr, method: &str, path: &str, body: &[u8]) -> (u16, bool) {
    use std::io::{Read, Write};
    let mut stream = std::net::TcpStream::connect(addr).expect("a connection");
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
fn a_partition_between_agents_and_registry_does_not_empty_the_list() {
    let service = RegistryCluster::start(program(), "leases", 3);
    let ops = service.ops();
    let lease = |id: &str, port: u16| json!({"addr": format!("127.0.0.1:{port}"), "lease_s": 2.0, "id": id});
    for n in 0..10 {
        register(&ops, &format!("s{n}"), &lease(&format!("s{n}"), 9)).expect("registered");
    }
    let renew = |ids: &[usize]| {
        let renewals: Vec<_> = ids.iter().map(|n| json!({"id": format!("s{n}")})).collect();
        let body = json!({ "renewals": renewals });
        let call = serde_json::to_vec(&body).expect("JSON");
        // Sent to a follower, which forwards it. 503 during an election of a leader, which may happen on a
        // busy machine.
        let status = raw_call(ops[1], "POST", "/registry/renew", &call).0;
        assert!(matches!(status, 200 | 503), "{status}");
    };
    // One of ten servers is no longer renewed: only its entry expires.
    let list = wait_for("one entry expires", || {
        renew(&[0, 1, 2, 3, 4, 5, 6, 7, 8]);
        let list = read_list(service.replicas[0].discovery);
        (ids(&list).len() < 10).then_some(list)
    });
    assert_eq!(ids(&list), ["s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"]);
    // No server is renewed any more: no entry expires, and the registry logs that expiry is stopped.
    let leader = wait_for("expiry stops", || (0..3).find(|n| metric(ops[*n], "expiry_held") == 9));
    assert!(service.process(leader).log().contains("EXPIRY STOPPED"));
    assert_eq!(ids(&read_list(service.replicas[0].discovery)).len(), 9);
    // An operator confirms the expiry of two entries.
    let list = ops.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
    let out = run(&["registry", "confirm", "--most", "2", "--registry", &list]);
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    wait_for("two entries expire", || {
        (ids(&read_list(service.replicas[0].discovery)).len() == 7).then_some(())
    });
    sleep_ms(500);
    assert_eq!(ids(&read_list(service.replicas[0].discovery)).len(), 7);
}

#[test]
fn an_agent_registers_its_server_while_it_answers_and_deregisters_it_at_the_end() {
    let service = RegistryCluster::start(program(), "agent", 1);
    let (ops, discovery) = (service.ops(), service.replicas[0].discovery);
    let server = free_addr();
    let log = service.folder.0.join("agent.log");
    let mut command = Command::new(program());
    command.args(["agent", "--registry", &ops[0].to_string(), "--id", "s-1", "--addr", &server.to_string()]);
    command.args(["--lease-s", "1", "--drain-s", "0.3"]);
    let mut agent = Process::start(&mut command, &log);
    sleep_ms(400);
    assert_eq!(
        raw_call(discovery, "GET", "/registry/instances", b"").0,
        503,
        "its server does not answer yet"
    );
    let listener = std::net::TcpListener::bind(server).expect("the server's address");
    std::thread::spawn(move || {
        use std::io::{Read, Write};
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 4096]);
            let _ =
                stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        }
    });
    let list = read_list(discovery);
    assert_eq!(ids(&list), ["s-1"]);
    assert!(list["servers"][0]["started_ms"].as_u64() > Some(1_600_000_000_000), "{list}");
    // Waits for much longer than the lease, with a restart of the registry.
    let mut service = service;
    service.kill(0);
    service.launch(0);
    service.wait_until_ready(0);
    sleep_ms(2500);
    assert_eq!(ids(&read_list(discovery)), ["s-1"]);
    let version = read_list(discovery)["version"].as_u64().expect("a version");
    agent.signal("TERM");
    let changes = format!("/registry/instances?from={version}&hold_ms=20000");
    let leaving = get(discovery, &changes).expect("a change");
    assert_eq!(leaving["servers"][0]["state"], "leaving");
    let changes = format!("/registry/instances?from={}&hold_ms=20000", leaving["version"]);
    assert_eq!(get(discovery, &changes).expect("a change")["servers"][0]["state"], "left");
    assert!(agent.wait_for_exit().success());
}

#[test]
fn a_restored_list_has_a_higher_version_than_any_that_clients_have_seen() {
    let mut service = RegistryCluster::start(program(), "backup", 1);
    let (ops, discovery) = (service.ops(), service.replicas[0].discovery);
    let observer = Observer::start("observer", vec![discovery], 1);
    add(&ops, "kept", 1);
    let file = service.folder.0.join("list.backup");
    let file = file.to_str().expect("a path");
    let backup = run(&["registry", "backup", file, "--registry", &ops[0].to_string()]);
    assert!(backup.status.success(), "{}", String::from_utf8_lossy(&backup.stderr));
    let later = add(&ops, "after", 1);
    wait_for("the observer has the last version", || (observer.version() == later).then_some(()));
    service.kill(0);
    let data = service.replicas[0].data.to_str().expect("a path").to_owned();
    let refused = run(&["registry", "restore", file, "--data", &data, "--name", "r1"]);
    assert_eq!(refused.status.code(), Some(1), "a restore does not overwrite existing data");
    std::fs::remove_dir_all(&data).expect("the data folder is removed");
    let restored = run(&["registry", "restore", file, "--data", &data, "--name", "r1"]);
    assert!(restored.status.success(), "{}", String::from_utf8_lossy(&restored.stderr));
    service.launch(0);
    service.wait_until_ready(0);
    let list = read_list(discovery);
    assert_eq!(ids(&list), ["kept"]);
    let version = list["version"].as_u64().expect("a version");
    assert!(version > later, "{version} after {later}");
    // A watcher gets the whole list, because the changes since its version are not known.
    let seen = observer.stop_at(version);
    let last = seen.lists.iter().rfind(|list| list.version == version).expect("the restored list");
    assert!(last.full && last.servers.len() == 1);
    let bytes = std::fs::read(file).expect("the backup");
    std::fs::write(file, &bytes[..bytes.len() - 3]).expect("the backup is truncated");
    let cut = run(&["registry", "restore", file, "--data", &format!("{data}2"), "--name", "r1"]);
    let output_text = String::from_utf8_lossy(&cut.stderr).into_owned();
    assert!(cut.status.code() == Some(1) && output_text.contains("list.backup: damaged"), "{output_text}");
}

#[test]
fn replicas_can_join_and_be_removed_only_if_a_majority_remains() {
    let mut service = RegistryCluster::start(program(), "members", 3);
    let ops = service.ops();
    add(&ops, "s1", 1);
    let (discovery, own_ops, replica) =
        (free_addr().to_string(), free_addr().to_string(), free_addr().to_string());
    let list = ops.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
    let data = service.folder.0.join("r4");
    let log = service.folder.0.join("r4.log");
    let mut command = Command::new(program());
    command.args(["registry", "join", "--name", "r4", "--data"]).arg(&data);
    command.args(["--discovery", &discovery, "--ops", &own_ops, "--replica", &replica, "--registry", &list]);
    let joined = Process::start(&mut command, &log);
    joined.wait_for_line("ready");
    assert_eq!(ids(&read_list(discovery.parse().expect("an address"))), ["s1"]);
    let removed = run(&["registry", "remove", "r1", "--registry", &list]);
    assert!(removed.status.success(), "{}", String::from_utf8_lossy(&removed.stderr));
    add(&ops[1..], "s2", 1);
    service.kill(0);
    // One of r2, r3 and r4 is dead: if another one were removed, no majority would answer.
    service.kill(2);
    sleep_ms(2500);
    let left = format!("{},{own_ops}", ops[1]);
    let refused = run(&["registry", "remove", "r2", "--registry", &left]);
    assert_eq!(refused.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&refused.stderr).contains("no majority"), "{refused:?}");
    let dead = run(&["registry", "remove", "r3", "--registry", &left]);
    assert!(dead.status.success(), "{}", String::from_utf8_lossy(&dead.stderr));
    let own = own_ops.parse().expect("an address");
    add(&[own], "s3", 1);
    let discovery = discovery.parse().expect("an address");
    wait_for("the replica that joined has all entries", || {
        (ids(&read_list(discovery)) == ["s1", "s2", "s3"]).then_some(())
    });
}

#[test]
fn a_replica_that_is_far_behind_gets_a_snapshot_and_logs_are_truncated() {
    let settings = "[registry]\nsnapshot_every = 50\nkeep_entries = 10\n";
    let mut service = RegistryCluster::start_with(program(), "snapshot", 3, settings);
    let ops = service.ops();
    add(&ops, "s", 1);
    let leader = service.wait_for_leader();
    let away = (leader + 1) % 3;
    let before = service.status(away).expect("a status")["last_log"].as_u64().expect("a number");
    service.kill(away);
    for number in 2..400 {
        add(&ops, &format!("s{}", number % 40), number);
    }
    wait_for("a snapshot is taken", || (metric(ops[leader], "snapshot") > before + 300).then_some(()));
    let data = service.replicas[away].data.join("snapshot");
    let had = data.exists();
    service.launch(away);
    service.wait_until_ready(away);
    assert!(data.exists() && !had, "the missing entries are no longer in the other replicas' logs");
    assert_eq!(read_list(service.replicas[away].discovery), read_list(service.replicas[leader].discovery));
    // All replicas restart from disk with the same version.
    let version = read_list(service.replicas[leader].discovery)["version"].clone();
    (0..3).for_each(|n| service.kill(n));
    service.heal();
    assert_eq!(read_list(service.replicas[away].discovery)["version"], version);
}

// ---- Nodes ----------------------------------------------------------------------------------------------

/// The node's program. A build or test of the whole workspace puts it beside this program.
fn node() -> PathBuf {
    let node = program().with_file_name("shaletrail-node");
    assert!(node.exists(), "{}: build the workspace first (cargo build --workspace)", node.display());
    node
}

fn start_node(
    folder: &TempFolder,
    name: &str,
    discovery: &[SocketAddr],
    known_servers: &Value,
) -> (Process, SocketAddr) {
    let ops = free_addr();
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
                        "known": known_servers, "settings": settings});
    let file = folder.0.join(format!("{name}.json"));
    std::fs::write(&file, config.to_string()).expect("a configuration");
    let mut command = Command::new(node());
    command.env_clear().env("LB_CONFIG", &file);
    (Process::start(&mut command, &folder.0.join(format!("{name}.log"))), ops)
}

#[test]
fn nodes_follow_the_list_through_failures_of_the_registry() {
    let mut service = RegistryCluster::start(program(), "nodes", 3);
    let (ops, discovery) = (service.ops(), service.discovery());
    for n in 0..3 {
        add(&ops, &format!("s{n}"), 1);
    }
    let nodes: Vec<_> = (0..4)
        .map(|n| {
            let mut discovery_addrs = discovery.clone();
            discovery_addrs.rotate_left(n % 3);
            start_node(&service.folder, &format!("n{n}"), &discovery_addrs, &Value::Null)
        })
        .collect();
    let listed = |ops: SocketAddr, count: u64| {
        wait_for("the node has the new list", || (metric(ops, "hosts_listed") == count).then_some(()));
    };
    let all_list = |count| nodes.iter().for_each(|(_, ops)| listed(*ops, count));
    all_list(3);
    let mut count = 3;
    for round in 0..4 {
        let leader = service.wait_for_leader();
        match round {
            0 => service.kill(leader),
            1 => service.process(leader).signal("STOP"),
            2 => service.isolate(leader, LinkCondition::Cut, LinkCondition::Cut),
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
        assert!(metric(*ops, "hosts_listed") == count && !node.log().contains("panicked"));
    }
}

#[test]
fn a_node_can_be_moved_to_another_registry_during_a_failover() {
    let mut before = RegistryCluster::start(program(), "before", 3);
    let after = RegistryCluster::start(program(), "after", 1);
    add(&before.ops(), "old", 1);
    // The other registry's list has lower versions than this one. The node must follow it nevertheless.
    for number in 2..7 {
        add(&before.ops(), "old", number);
    }
    let discovery_addrs = before.discovery();
    let (node, operator_api) = start_node(&before.folder, "n0", &discovery_addrs, &Value::Null);
    wait_for("the node has the old list", || (metric(operator_api, "hosts_listed") == 1).then_some(()));
    for n in 0..3 {
        add(&after.ops(), &format!("new{n}"), 1);
    }
    let leader = before.wait_for_leader();
    before.kill(leader);
    before.isolate((leader + 1) % 3, LinkCondition::Cut, LinkCondition::Cut);
    let file = before.folder.0.join("n0.json");
    let mut config: Value = serde_json::from_slice(&std::fs::read(&file).expect("read")).expect("JSON");
    config["discovery"] = json!(after.discovery()[0].to_string());
    config["discovery_also"] = json!("elsewhere");
    std::fs::write(&file, config.to_string()).expect("the configuration is written");
    node.signal("HUP");
    wait_for("an invalid configuration is refused", || {
        (metric(operator_api, "reconfig_failed") == 1).then_some(())
    });
    config["discovery_also"] = json!([]);
    std::fs::write(&file, config.to_string()).expect("the configuration is written");
    node.signal("HUP");
    wait_for("the node has the new list", || (metric(operator_api, "hosts_listed") == 3).then_some(()));
    add(&after.ops(), "newer", 1);
    wait_for("the node follows the new registry", || {
        (metric(operator_api, "hosts_listed") == 4).then_some(())
    });
}

/// A registry that lost its data has lower versions than the node's list. The node must keep its list, and
/// must follow again once the registry is restored; before, such a node never followed a change again.
#[test]
fn a_node_keeps_its_list_if_the_registry_lost_its_data_and_follows_a_restored_one() {
    let mut service = RegistryCluster::start(program(), "lost", 1);
    let (ops, discovery) = (service.ops(), service.discovery());
    let version = (0..5).map(|n| add(&ops, &format!("s{n}"), 1)).max();
    let (node, operator_api) = start_node(&service.folder, "n0", &discovery, &Value::Null);
    wait_for("the node has the list", || (metric(operator_api, "hosts_listed") == 5).then_some(()));
    let file = service.folder.0.join("list.backup");
    let file = file.to_str().expect("a path").to_owned();
    assert!(run(&["registry", "backup", &file, "--registry", &ops[0].to_string()]).status.success());
    service.kill(0);
    let data = service.replicas[0].data.clone();
    std::fs::remove_dir_all(&data).expect("the data folder is removed");
    service.launch(0);
    service.wait_until_ready(0);
    add(&ops, "new", 1);
    assert!(read_list(discovery[0])["version"].as_u64() < version);
    sleep_ms(3000);
    assert_eq!(metric(operator_api, "hosts_listed"), 5, "the node keeps its list");
    service.kill(0);
    std::fs::remove_dir_all(&data).expect("the data folder is removed");
    assert!(run(&["registry", "restore", &file, "--data", data.to_str().expect("a path")]).status.success());
    service.launch(0);
    service.wait_until_ready(0);
    add(&ops, "newer", 1);
    wait_for("the node follows again", || (metric(operator_api, "hosts_listed") == 6).then_some(()));
    drop(node);
}

#[test]
fn invalid_arguments_exit_with_2_and_one_line_that_says_what_was_expected() {
    let folder = TempFolder::new("wrong");
    let file = folder.0.join("wrong.toml");
    std::fs::write(&file, "[registry]\nname = \"r1\"\nheartbeat = 5\n").expect("the file is written");
    let file = file.to_str().expect("a path");
    let out = run(&["config", "check", file]);
    let output_text = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!(out.status.code(), Some(2));
    assert!(
        output_text.contains("wrong.toml: line 3, column 1")
            && output_text.contains("did you mean `heartbeat_ms`"),
        "{output_text}"
    );
    assert_eq!(output_text.lines().count(), 1);
    assert_eq!(run(&["registry", "--peers", "r1"]).status.code(), Some(2));
    assert_eq!(
        run(&["registry", "--peers", "r2=127.0.0.1:1", "--replica", "127.0.0.1:1"]).status.code(),
        Some(2)
    );
    assert_eq!(run(&["list", "--registry", "127.0.0.1:1"]).status.code(), Some(1));
    let shown = run(&["config", "show"]);
    std::fs::write(file, &shown.stdout).expect("the file is written");
    assert!(run(&["config", "check", file]).status.success());
}
