//! Duties by processes with faults between them. The checker sees only what the guarded thing accepted.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use hyper::Method;
use serde_json::{json, Value};
use shaletrail_fault_lab::chance::Chance;
use shaletrail_fault_lab::fenced_counter::{check, CandidateProcess, FencedCounter};
use shaletrail_fault_lab::link::Way;
use shaletrail_fault_lab::observer::{get, numbered_registration, send};
use shaletrail_fault_lab::process::{group_members, wait_for, Process};
use shaletrail_fault_lab::service::{pause, Service};
use shaletrail_registry_client::changes::{duty_path, ChangeError};

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_shaletrail-fleet"))
}

fn run(args: &[&str]) -> Output {
    Command::new(program()).args(args).output().expect("the program runs")
}

fn said(out: &Output) -> String {
    String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr)
}

/// A service, a guarded counter, and candidates that count on it.
struct Play {
    runners: Vec<CandidateProcess>,
    service: Service,
    guarded: FencedCounter,
    lease_s: f64,
    between_ms: u64,
}

impl Play {
    fn new(name: &str, replicas: usize, runners: usize, lease_s: f64, guard: bool, between_ms: u64) -> Play {
        let service = Service::start(program(), name, replicas);
        let guarded = FencedCounter::start(guard);
        let mut play = Play { runners: Vec::new(), service, guarded, lease_s, between_ms };
        for n in 0..runners {
            let runner = play.runner(n);
            play.runners.push(runner);
            // In the line in this order.
            wait_for("it stands in line", || play.line().contains(&format!("c{n}")).then_some(()));
        }
        play
    }

    fn runner(&self, n: usize) -> CandidateProcess {
        let (at, between) = (self.guarded.addr.to_string(), self.between_ms.to_string());
        let count = ["lab", "count", "--at", &at, "--between-ms", &between];
        let command: Vec<&str> = program().to_str().into_iter().chain(count).collect();
        let log = self.service.folder.0.join(format!("c{n}.log"));
        CandidateProcess::start(
            program(),
            &self.service.ops(),
            &format!("c{n}"),
            self.lease_s,
            &log,
            &command,
        )
    }

    fn show(&self) -> Option<Value> {
        self.service.ops().iter().find_map(|addr| get(*addr, &duty_path("counter", "")).ok())
    }

    /// Holder and waiters.
    fn line(&self) -> Vec<String> {
        let Some(duty) = self.show() else { return Vec::new() };
        let waiters = duty["waiters"].as_array().into_iter().flatten();
        std::iter::once(&duty["holder"])
            .chain(waiters)
            .filter_map(|id| id.as_str().map(str::to_owned))
            .collect()
    }

    fn holder(&self) -> usize {
        wait_for("a holder", || {
            let holder = self.show()?["holder"].as_str()?.to_owned();
            self.runners.iter().position(|runner| runner.id == holder)
        })
    }

    fn fence(&self) -> u64 {
        wait_for("the duty", || self.show()?["fence"].as_u64())
    }

    /// Waits until a holder after this fencing number has counted.
    fn counted_after(&self, fence: u64) -> u64 {
        wait_for(&format!("a holder after fence {fence} counts"), || {
            let last = self.guarded.accepted().last()?.fence;
            (last > fence).then_some(last)
        })
    }

    /// The counter goes on, whoever holds.
    fn goes_on(&self, what: &str) {
        let before = self.guarded.accepted().len();
        wait_for(what, || (self.guarded.accepted().len() > before + 3).then_some(()));
    }

    /// The holder of the old fencing number had ended before the next one began.
    fn never_together(&self, old: u64, new: u64) {
        let ((_, last), (first, _)) = (
            self.guarded.calls(old).expect("the old one called"),
            self.guarded.calls(new).expect("the new one"),
        );
        assert!(last < first, "fence {old} called {:?} after fence {new} began", last - first);
    }

    fn restart(&mut self, n: usize) {
        let runner = self.runner(n);
        self.runners[n] = runner;
    }

    fn judge(&self, what: &str) {
        let breaches = check(&self.guarded.accepted());
        assert!(breaches.is_empty(), "{what}: {breaches:#?}");
    }
}

#[test]
fn a_holder_that_dies_stands_still_or_is_cut_off_has_ended_before_the_next_begins() {
    let mut play = Play::new("holders", 3, 3, 1.0, true, 0);
    let mut seen: u64 = play.counted_after(0);
    let next = |play: &Play, what: &str, seen: &mut u64| {
        let new = play.counted_after(*seen);
        play.never_together(*seen, new);
        play.judge(what);
        *seen = new;
    };
    // SIGKILL: the command goes with it.
    let n = play.holder();
    let gone = play.runners[n].group().expect("a supervisor");
    play.runners[n].process.kill();
    wait_for("its group has ended", || group_members(gone).is_empty().then_some(()));
    next(&play, "killed", &mut seen);
    play.restart(n);
    // Alone it stands still, and its command runs on: the supervisor ends that in time.
    let n = play.holder();
    let gone = play.runners[n].group().expect("a supervisor");
    play.runners[n].process.signal("STOP");
    next(&play, "stopped alone", &mut seen);
    assert!(group_members(gone).is_empty(), "the supervisor has ended the command");
    play.runners[n].process.signal("CONT");
    wait_for("it is in line again", || play.line().contains(&format!("c{n}")).then_some(()));
    // The supervisor alone dies: the command goes with it, and is started anew under the same fence.
    let n = play.holder();
    let supervisor = play.runners[n].group().expect("a supervisor");
    let before = play.guarded.accepted().len();
    let _ = Command::new("kill").args(["-KILL", &supervisor.to_string()]).status();
    wait_for("its group has ended", || group_members(supervisor).is_empty().then_some(()));
    wait_for("counts on", || (play.guarded.accepted().len() > before + 3).then_some(()));
    // Cut off from all, in both ways, or in one: it ends its command by its own clock.
    for (there, back) in [(Way::Cut, Way::Cut), (Way::Open, Way::Cut), (Way::Cut, Way::Open)] {
        let n = play.holder();
        seen = seen.max(play.fence());
        play.goes_on("the holder counts");
        play.runners[n].links.iter().for_each(|link| link.set(there, back));
        next(&play, "cut off", &mut seen);
        play.runners[n].links.iter().for_each(shaletrail_fault_lab::link::Link::heal);
        wait_for("it is in line again", || play.line().contains(&format!("c{n}")).then_some(()));
    }
    // Cut off from the leader alone, it is heard through another replica.
    let (n, leader, fence) = (play.holder(), play.service.wait_for_leader(), play.fence());
    play.runners[n].links[leader].set(Way::Cut, Way::Cut);
    pause(3000);
    play.goes_on("the holder counts");
    if play.service.leader() == Some(leader) && play.fence() != fence {
        // On a busy machine a lease of a second may end all the same; never without a hand-over in order.
        println!("lost while cut off from the leader alone");
    }
    // A holder with the leader on the minority's side loses; a candidate on the majority's side gains.
    play.runners[n].links[leader].heal();
    play.goes_on("the holder counts");
    let (n, leader) = (play.holder(), play.service.wait_for_leader());
    seen = play.fence();
    play.service.isolate(leader, Way::Cut, Way::Cut);
    for (m, runner) in play.runners.iter().enumerate() {
        for (replica, link) in runner.links.iter().enumerate() {
            if (m == n) != (replica == leader) {
                link.set(Way::Cut, Way::Cut);
            }
        }
    }
    next(&play, "on the minority's side", &mut seen);
    play.runners.iter().flat_map(|runner| &runner.links).for_each(shaletrail_fault_lab::link::Link::heal);
    play.service.heal();
    wait_for("all are in line again", || (play.line().len() == 3).then_some(()));
    let leader = play.service.wait_for_leader();
    // The registry's leader dies: nobody loses what it holds for longer than the next takes to lead.
    play.service.kill(leader);
    play.goes_on("the counter goes on without the old leader");
    play.judge("all of it");
}

#[test]
fn a_change_that_slept_through_its_lease_is_refused_and_without_the_fence_it_does_harm() {
    for guard in [true, false] {
        let play = Play::new(if guard { "slept" } else { "unguarded" }, 1, 2, 1.0, guard, 500);
        let first = play.counted_after(0);
        // Stopped whole, between its reading and its change.
        let n = play.holder();
        play.runners[n].process.signal("STOP");
        play.runners[n].signal_group("STOP");
        let second = play.counted_after(first);
        assert!(second > first);
        let refused = play.guarded.refused();
        // Before its supervisor's group is killed as overdue, its last call gets out: the order of the two is the kernel's.
        play.runners[n].signal_group("CONT");
        play.runners[n].process.signal("CONT");
        wait_for("it is in line again", || play.line().contains(&format!("c{n}")).then_some(()));
        play.goes_on("the next one counts");
        println!("guard {guard}: {} late calls refused", play.guarded.refused() - refused);
        if guard {
            play.judge("guarded");
        }
    }
    // Made sure of: the same read and change without a supervisor beside it.
    for guard in [true, false] {
        let guarded = FencedCounter::start(guard);
        let folder = shaletrail_fault_lab::process::TempFolder::new("late");
        let at = guarded.addr.to_string();
        let start = |fence: &str, between: &str| {
            let mut command = Command::new(program());
            command.args(["lab", "count", "--at", &at, "--between-ms", between]);
            command.env("SHALETRAIL_DUTY", "counter").env("SHALETRAIL_FENCE", fence);
            Process::start(&mut command, &folder.0.join("log"))
        };
        let mut old = start("1", "2000");
        wait_for("the old one has read", || guarded.calls(1));
        old.signal("STOP");
        let _new = start("2", "0");
        wait_for("the new one counts", || (guarded.accepted().len() > 3).then_some(()));
        old.signal("CONT");
        if guard {
            assert_eq!(old.wait_for_exit().code(), Some(1), "it is refused");
            assert!(old.log().contains("fencing number 1 is old"), "{}", old.log());
            assert!(check(&guarded.accepted()).is_empty());
        } else {
            wait_for("the checker notices", || (!check(&guarded.accepted()).is_empty()).then_some(()));
        }
    }
}

#[test]
fn grants_survive_leaders_that_die_answers_that_are_lost_restarts_and_clocks_that_jump() {
    let mut play = Play::new("grants", 3, 0, 1.0, true, 0);
    // The leader dies while candidates ask: whether the grant was known to its candidate or not, one of them holds.
    for n in 0..3 {
        let leader = play.service.wait_for_leader();
        let fence = play.show().map_or(0, |duty| duty["fence"].as_u64().unwrap_or(0));
        play.runners.iter_mut().for_each(|runner| runner.process.kill());
        play.runners = vec![play.runner(2 * n), play.runner(2 * n + 1)];
        pause(20 * n as u64);
        play.service.kill(leader);
        let next = play.counted_after(fence);
        assert!(next > fence);
        play.goes_on("one of them counts");
        play.service.heal();
        play.judge("a leader died while granting");
    }
    // The answer to an acquire is lost: the candidate is in the log and does not know.
    play.runners.iter_mut().for_each(|runner| runner.process.kill());
    let fence = play.fence();
    wait_for("nobody holds", || play.line().is_empty().then_some(()));
    let lost = play.runner(7);
    lost.links.iter().for_each(|link| link.set(Way::Open, Way::Cut));
    play.runners = vec![lost];
    wait_for("granted without its knowing", || (play.fence() > fence).then_some(()));
    play.runners[0].links.iter().for_each(shaletrail_fault_lab::link::Link::heal);
    play.counted_after(fence);
    // The whole registry dies and comes back: the holder goes on, or begins anew; never two.
    let before = play.fence();
    (0..3).for_each(|n| play.service.kill(n));
    play.service.heal();
    play.goes_on("counts after the restart");
    assert!(play.fence() >= before, "fencing numbers only grow");
    play.judge("the registry was restarted");
    // An hour forth and back, at all replicas, the leader's labels among them.
    let fence = play.fence();
    for step in ["3600000", "-3600000", "0"] {
        (0..3).for_each(|n| std::fs::write(play.service.wall(n), step).expect("a step"));
        pause(1500);
        play.goes_on("counts whatever the wall clock shows");
    }
    assert_eq!(play.fence(), fence, "no lease ended by a clock that jumped");
    play.judge("clocks");
}

#[test]
fn an_operator_sees_and_moves_a_duty_and_its_checkpoint_takes_no_old_holder() {
    let mut play = Play::new("operator", 1, 3, 2.0, true, 0);
    let ops = play.service.ops()[0].to_string();
    let with = |args: &[&str]| run(&[args, &["--registry", &ops]].concat());
    let first = play.counted_after(0);
    let duty: Value =
        serde_json::from_slice(&with(&["duty", "show", "counter", "--json"]).stdout).expect("JSON");
    assert_eq!((&duty["holder"], &duty["fence"]), (&json!("c0"), &json!(first)));
    assert_eq!(duty["waiters"], json!(["c1", "c2"]));
    assert!(duty["since_ms"].as_u64() > Some(0) && duty["checkpoint_version"] == json!(0));
    // To one further back in line; the old holder confirms that it has stopped.
    let out = with(&["duty", "transfer", "counter", "--to", "c2"]);
    assert!(out.status.success(), "{}", said(&out));
    let second = play.counted_after(first);
    play.never_together(first, second);
    assert_eq!(play.line(), ["c2", "c1", "c0"]);
    let out = with(&["duty", "list"]);
    assert!(
        said(&out).contains("counter: held by c2") && said(&out).contains("an operator asked"),
        "{}",
        said(&out)
    );
    // To one that died: the next in line has it after a lease.
    play.runners[1].process.kill();
    assert!(with(&["duty", "transfer", "counter", "--to", "c1"]).status.success());
    let third = play.counted_after(second);
    assert_eq!(play.holder(), 0, "{:?}", play.show());
    play.never_together(second, third);
    let out = with(&["duty", "transfer", "counter", "--to", "c1"]);
    assert_eq!(out.status.code(), Some(1));
    assert!(said(&out).contains("c1 is not in line for it"), "{}", said(&out));
    // The checkpoint: by the holder only, and each version once.
    let set = |fence: u64, expect: u64, data: &str| {
        let body = json!({"fence": fence, "expect": expect, "data": data});
        send::<Value>(&play.service.ops(), Method::PUT, &duty_path("counter", "checkpoint"), &body)
    };
    let refused = |done: Result<Value, ChangeError>, words: &str| match done {
        Err(ChangeError::Refused { why, .. }) => assert!(why.contains(words), "{why}"),
        done => panic!("{words}: {done:?}"),
    };
    assert_eq!(set(third, 0, "step 1").expect("kept")["version"], json!(1));
    assert_eq!(set(third, 0, "step 1").expect("twice is once")["version"], json!(1));
    refused(set(third, 0, "another"), "checkpoint version 0 is not the last: that is 1");
    refused(set(second, 1, "by an old holder"), "is not the holder's");
    refused(set(third, 1, &"x".repeat(20_000)), "at most 16384 bytes");
    // Changes of the list under a fence: the holder's hold, an old one's don't.
    let change = |fence: u64| {
        let mut changes = shaletrail_registry_client::changes::Changes::new(play.service.ops());
        changes.under(Some(&shaletrail_registry_protocol::duty::Fence { duty: "counter".into(), fence }));
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let body = json!(numbered_registration("s1", 1));
        runtime.block_on(changes.put::<Value>(
            Method::PUT,
            "/registry/instances/s1",
            &body,
            Duration::from_secs(9),
        ))
    };
    assert!(change(third).is_ok());
    refused(change(second), "is not the holder's");
    // Released by an operator, it goes to the next; without one, back to the same under a new fence.
    assert!(with(&["duty", "release", "counter"]).status.success());
    let fourth = play.counted_after(third);
    assert_eq!(play.holder(), 2);
    let out = with(&["duty", "checkpoint", "counter"]);
    assert_eq!(String::from_utf8_lossy(&out.stdout), "step 1", "what a holder leaves goes with the duty");
    let out = with(&["duty", "remove", "counter"]);
    assert!(said(&out).contains("held or waited for"), "{}", said(&out));
    // SIGTERM ends the command, releases, and is no failure.
    play.runners[2].process.signal("TERM");
    assert_eq!(play.runners[2].process.wait_for_exit().code(), Some(0));
    let fifth = play.counted_after(fourth);
    play.never_together(fourth, fifth);
    play.judge("moved by hand");
}

#[test]
fn a_command_that_is_done_ends_the_duty_and_one_that_fails_is_tried_again_and_then_handed_on() {
    let service = Service::start(program(), "commands", 1);
    let ops = service.ops()[0].to_string();
    let with = |args: &[&str], command: &str| {
        let begin = ["duty", "run", "job", "--registry", &ops, "--lease-s", "1"];
        run(&[&begin, args, &["--", "bash", "-c", command]].concat())
    };
    let out = with(&[], "echo $SHALETRAIL_DUTY $SHALETRAIL_FENCE; (sleep 1000 &) ; exit 0");
    assert_eq!((out.status.code(), String::from_utf8_lossy(&out.stdout).trim()), (Some(0), "job 1"));
    let out = with(&["--failures", "3"], "echo again; exit 7");
    assert_eq!(out.status.code(), Some(1));
    assert_eq!(String::from_utf8_lossy(&out.stdout).matches("again").count(), 3);
    assert!(said(&out).contains("failed 3 times in a row, the last time with 7"), "{}", said(&out));
    // One that ignores TERM is killed before the lease may pass on; its own children with it.
    let log = service.folder.0.join("stubborn.log");
    let mut stubborn = Command::new(program());
    let script = "trap '' TERM; echo begun; sleep 1000 & while :; do sleep 0.1; done";
    stubborn.args(["duty", "run", "job", "--registry", &ops, "--lease-s", "1", "--", "bash", "-c", script]);
    let mut stubborn = Process::start(&mut stubborn, &log);
    stubborn.wait_for_line("begun");
    let supervisor = shaletrail_fault_lab::process::children(stubborn.id())[0];
    stubborn.signal("TERM");
    assert_eq!(stubborn.wait_for_exit().code(), Some(0));
    assert!(group_members(supervisor).is_empty(), "all of its group has ended");
    for (args, words) in [
        (vec!["duty", "run", "a/b", "--", "true"], "duty: id: 1 to 128"),
        (vec!["duty", "run", "x", "--lease-s", "0.1", "--", "true"], "0.5 to 30 seconds expected, got 0.1"),
        (vec!["duty", "run", "x", "--failures", "0", "--", "true"], "1 or more expected"),
        (vec!["duty", "run", "x"], "required"),
    ] {
        let out = run(&args);
        assert_eq!(out.status.code(), Some(2), "{args:?}: {}", said(&out));
        assert!(said(&out).contains(words), "{args:?}: {}", said(&out));
    }
    let wrong =
        |path: &str, body: &Value, words: &str| match send::<Value>(&service.ops(), Method::POST, path, body)
        {
            Err(ChangeError::Refused { why, .. }) => assert!(why.contains(words), "{path}: {why}"),
            done => panic!("{path}: {done:?}"),
        };
    let candidate = json!({"id": "x", "life": 1});
    wrong("/registry/duties/x/acquire", &json!({"who": candidate, "lease_s": 31}), "lease_s: 0.5 to 30");
    wrong(
        "/registry/duties/x/acquire",
        &json!({"who": {"id": "x", "life": u64::MAX}, "lease_s": 1}),
        "life:",
    );
    wrong("/registry/duties/x/renew", &json!({"who": candidate, "hold_ms": 0}), "x is not in line");
    wrong("/registry/duties/x/renew", &json!({"hold": 0}), "unknown field `hold`");
    wrong("/registry/duties/nothing/transfer", &json!({"fence": 1}), "no such duty");
    wrong("/registry/duties/x/else", &json!({}), "no such call");
}

#[test]
fn after_a_restore_fencing_numbers_go_on_beyond_and_nothing_is_granted_too_early() {
    let mut play = Play::new("restored", 1, 1, 1.0, true, 0);
    let ops = play.service.ops();
    let backup = play.service.folder.0.join("backup");
    play.counted_after(0);
    let out = run(&["registry", "backup", &backup.display().to_string(), "--registry", &ops[0].to_string()]);
    assert!(out.status.success(), "{}", said(&out));
    // A holder that the backup does not know.
    play.runners[0].process.signal("TERM");
    play.runners[0].process.wait_for_exit();
    play.runners = vec![play.runner(1)];
    let unknown = play.counted_after(1);
    play.service.kill(0);
    let data = play.service.places[0].data.clone();
    std::fs::rename(&data, play.service.folder.0.join("lost")).expect("moved");
    let out =
        run(&["registry", "restore", &backup.display().to_string(), "--data", &data.display().to_string()]);
    assert!(out.status.success(), "{}", said(&out));
    play.service.launch(0);
    play.service.ready(0);
    let restored = Instant::now();
    let out = run(&["duty", "list", "--registry", &ops[0].to_string()]);
    assert!(said(&out).contains("RESTORED FROM A BACKUP"), "{}", said(&out));
    let end = Instant::now() + Duration::from_secs(120);
    while play.guarded.newest() <= unknown {
        assert!(Instant::now() < end, "granted again after the longest lease: {:?}", play.show());
        pause(100);
    }
    let (newest, first) = (play.guarded.newest(), play.guarded.newest());
    let granted = play.guarded.calls(first).expect("it called").0;
    assert!(granted - restored > Duration::from_secs(25), "{:?}", granted - restored);
    assert!(newest > unknown + (1 << 32), "{newest}");
    play.judge("restored");
}

#[test]
fn keepers_take_backups_one_at_a_time_and_let_only_those_expire_that_are_gone() {
    let service = Service::start(program(), "keepers", 3);
    let ops = service.ops();
    let addrs: Vec<String> = ops.iter().map(ToString::to_string).collect();
    let folder = service.folder.0.join("backups");
    let keeper = |id: &str| {
        let mut command = Command::new(program());
        command.args(["registry", "keeper", "--registry", &addrs.join(","), "--id", id, "--lease-s", "1"]);
        command.args(["--every-s", "0.5", "--keep", "3", "--backups"]).arg(&folder);
        Process::start(&mut command, &service.folder.0.join(id))
    };
    let mut keepers = [keeper("k0"), keeper("k1")];
    let backups = || {
        let entries = std::fs::read_dir(&folder).into_iter().flatten().flatten();
        let mut names: Vec<String> = entries.map(|e| e.file_name().to_string_lossy().into_owned()).collect();
        names.retain(|name| name.ends_with(".backup"));
        names.sort();
        names
    };
    let show = |name: &str| get(ops[0], &duty_path(name, "")).ok();
    let first = wait_for("backups", || (backups().len() == 3).then(|| backups()[0].clone()));
    let holder = wait_for("a holder", || show("registry-backup")?["holder"].as_str().map(str::to_owned));
    keepers[usize::from(holder == "k1")].kill();
    wait_for("the other one takes them", || {
        let duty = show("registry-backup")?;
        let newest = backups().last().cloned()?;
        let fence = format!("registry-{:020}", duty["fence"].as_u64()?);
        (duty["holder"].as_str().is_some_and(|id| id != holder) && newest.starts_with(&fence)).then_some(())
    });
    wait_for("old ones go", || (!backups().contains(&first) && backups().len() <= 4).then_some(()));
    // A backup is one: it can be restored.
    let newest = folder.join(backups().pop().expect("a backup"));
    let data = service.folder.0.join("restored");
    let out =
        run(&["registry", "restore", &newest.display().to_string(), "--data", &data.display().to_string()]);
    assert!(out.status.success(), "{}", said(&out));
    // Servers that answer while their agents are silent stay; those that are gone go, with a keeper's word.
    let there = FencedCounter::start(true);
    let gone = shaletrail_fault_lab::service::free();
    let register = |id: &str, addr: SocketAddr, lease: Option<f64>| {
        let mut body = json!({"addr": addr.to_string()});
        if let Some(lease) = lease {
            body["lease_s"] = json!(lease);
        }
        let path = shaletrail_registry_client::changes::entry_path(id, "");
        send::<Value>(&ops, Method::PUT, &path, &body).expect("registered");
    };
    for n in 0..5 {
        register(&format!("other{n}"), there.addr, None);
    }
    for n in 0..3 {
        register(&format!("gone{n}"), gone, Some(1.0));
    }
    let ids = || -> Vec<String> {
        let list = service.discovery().iter().find_map(|addr| get(*addr, "/registry/instances").ok());
        let servers =
            list.map(|list| list["servers"].as_array().cloned().unwrap_or_default()).unwrap_or_default();
        servers.iter().filter_map(|server| server["id"].as_str().map(str::to_owned)).collect()
    };
    wait_for("those that are gone expire", || (ids().len() == 5).then_some(()));
    for n in 0..3 {
        register(&format!("cut{n}"), there.addr, Some(1.0));
    }
    let log = || keepers.iter().map(Process::log).collect::<String>();
    wait_for("the keeper says why they stay", || log().contains("their agents are cut off").then_some(()));
    assert!(log().contains("3 servers are gone and may expire"), "{}", log());
    assert_eq!(ids().len(), 8, "{:?}", ids());
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    KillHolder,
    KillMinder,
    StopHolder,
    StopHolderWhole,
    CutHolder,
    DeafHolder,
    MuteHolder,
    SlowHolder,
    LossyHolder,
    KillLeader,
    StopLeader,
    CutLeader,
    DeafLeader,
    KillRegistry,
    Transfer,
    StepClocks,
}

const FAULTS: [Fault; 16] = [
    Fault::KillHolder,
    Fault::KillMinder,
    Fault::StopHolder,
    Fault::StopHolderWhole,
    Fault::CutHolder,
    Fault::DeafHolder,
    Fault::MuteHolder,
    Fault::SlowHolder,
    Fault::LossyHolder,
    Fault::KillLeader,
    Fault::StopLeader,
    Fault::CutLeader,
    Fault::DeafLeader,
    Fault::KillRegistry,
    Fault::Transfer,
    Fault::StepClocks,
];

fn inject(play: &mut Play, fault: Fault, chance: &mut Chance) {
    let n = play.holder();
    let leader = play.service.wait_for_leader();
    let links =
        |play: &Play, there, back| play.runners[n].links.iter().for_each(|link| link.set(there, back));
    match fault {
        Fault::KillHolder => play.runners[n].process.kill(),
        Fault::KillMinder => {
            if let Some(supervisor) = play.runners[n].group() {
                let _ = Command::new("kill").args(["-KILL", &supervisor.to_string()]).status();
            }
        }
        Fault::StopHolder => play.runners[n].process.signal("STOP"),
        Fault::StopHolderWhole => {
            play.runners[n].process.signal("STOP");
            play.runners[n].signal_group("STOP");
        }
        Fault::CutHolder => links(play, Way::Cut, Way::Cut),
        Fault::DeafHolder => links(play, Way::Open, Way::Cut),
        Fault::MuteHolder => links(play, Way::Cut, Way::Open),
        Fault::SlowHolder => {
            let ms = 50 + chance.below(300) as u64;
            links(play, Way::Slow(ms), Way::Slow(ms));
        }
        Fault::LossyHolder => {
            let one_in = 2 + chance.below(6) as u64;
            links(play, Way::Lossy(one_in), Way::Lossy(one_in));
        }
        Fault::KillLeader => play.service.kill(leader),
        Fault::StopLeader => play.service.process(leader).signal("STOP"),
        Fault::CutLeader => play.service.isolate(leader, Way::Cut, Way::Cut),
        Fault::DeafLeader => play.service.isolate(leader, Way::Open, Way::Cut),
        Fault::KillRegistry => (0..3).for_each(|n| play.service.kill(n)),
        Fault::Transfer => {
            let ops = play.service.ops();
            let _ = run(&["duty", "transfer", "counter", "--registry", &ops[0].to_string()]);
        }
        Fault::StepClocks => {
            for n in 0..3 {
                let step = (chance.below(7_200_000) as i64 - 3_600_000).to_string();
                std::fs::write(play.service.wall(n), step).expect("a step");
            }
        }
    }
}

/// Random faults for so long, or each fault once; `LAB_MINUTES` asks for longer.
#[test]
fn whatever_fails_the_counter_misses_no_step_and_repeats_none() {
    let mut chance = Chance::new("duties", 8201);
    let mut play = Play::new("faults", 3, 4, 1.0, true, 2);
    let minutes = std::env::var("LAB_MINUTES").ok().and_then(|text| text.parse::<f64>().ok());
    let end = minutes.map(|minutes| Instant::now() + Duration::from_secs_f64(minutes * 60.0));
    let mut left = FAULTS.to_vec();
    let mut played = 0;
    while !left.is_empty() && end.is_none_or(|end| Instant::now() < end) {
        let fault = left.swap_remove(chance.below(left.len()));
        if left.is_empty() && end.is_some() {
            left = FAULTS.to_vec();
        }
        let before = play.fence();
        inject(&mut play, fault, &mut chance);
        // A second one into the first, now and then.
        if chance.below(3) == 0 {
            let second = [Fault::KillLeader, Fault::StopHolder, Fault::Transfer][chance.below(3)];
            if play.service.leader().is_some() && play.show().is_some_and(|duty| duty["holder"].is_string()) {
                println!("{fault:?} and {second:?}");
                inject(&mut play, second, &mut chance);
            }
        } else {
            println!("{fault:?}");
        }
        pause(200 + chance.below(2500) as u64);
        play.service.heal();
        for n in 0..play.runners.len() {
            play.runners[n].links.iter().for_each(shaletrail_fault_lab::link::Link::heal);
            if play.runners[n].process.has_ended() {
                play.restart(n);
            }
            play.runners[n].signal_group("CONT");
            play.runners[n].process.signal("CONT");
        }
        play.goes_on(&format!("the counter goes on after {fault:?}"));
        play.judge(&format!("seed {}, {fault:?}", chance.seed));
        assert!(play.fence() >= before, "fencing numbers only grow");
        played += 1;
    }
    let accepted = play.guarded.accepted();
    let tenures = accepted.windows(2).filter(|pair| pair[0].fence != pair[1].fence).count() + 1;
    println!(
        "{played} faults, {} steps accepted in {tenures} tenures, {} late calls refused",
        accepted.len(),
        play.guarded.refused()
    );
    assert!(tenures > 3, "only {tenures} tenures");
}

/// 200 candidates and a holder that lets go again and again: each hand-over wakes the next one, and the others ask as
/// seldom as ever.
#[test]
fn a_line_of_200_is_no_herd() {
    const WAITERS: usize = 200;
    let service = Service::start(program(), "herd", 1);
    let ops: SocketAddr = service.ops()[0];
    let calls =
        || get(ops, "/-/metrics").ok().and_then(|figures| figures["duty_calls"].as_u64()).expect("figures");
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("a runtime");
    let lease_s = 8.0;
    let (told, fences) = std::sync::mpsc::channel();
    for n in 0..WAITERS as u64 {
        let told = told.clone();
        runtime.spawn(async move {
            let mut seat =
                shaletrail_registry_client::duty::Seat::new(vec![ops], "herd", &format!("w{n}"), n, lease_s)
                    .expect("a seat");
            loop {
                let Ok(fence) = seat.win(|_| {}).await else { return };
                if told.send(fence).is_err() {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
                seat.release(shaletrail_registry_protocol::duty::Why::Released).await;
            }
        });
    }
    let patience = Duration::from_secs(60);
    // All are in line once each has had it.
    let mut last = 0;
    for _ in 0..WAITERS {
        let fence = fences.recv_timeout(patience).expect("a hand-over");
        assert!(fence > last, "fencing numbers only grow");
        last = fence;
    }
    let (began, before) = (Instant::now(), calls());
    let hand_overs = 300;
    for _ in 0..hand_overs {
        fences.recv_timeout(patience).expect("a hand-over");
    }
    let (took, made) = (began.elapsed().as_secs_f64(), calls() - before);
    // Each hand-over: the answer that was waited for, a release, an acquire and a renewal. Each waiter: a renewal each
    // quarter of a lease.
    let due = hand_overs as f64 * 5.0 + WAITERS as f64 * (took / (lease_s / 4.0) + 1.0);
    println!("{hand_overs} hand-overs in {took:.1} s: {made} calls, {due:.0} are due at most");
    assert!((made as f64) < due * 1.5, "{made} calls, {due:.0} are due");
    runtime.shutdown_background();
}
