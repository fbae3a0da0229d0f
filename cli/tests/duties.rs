//! Tests of duties with real processes and injected faults. The checker sees only what the fenced counter
//! accepted.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use hyper::Method;
use serde_json::{json, Value};
use shaletrail_fault_lab::fenced_counter::{check, CandidateProcess, FencedCounter};
use shaletrail_fault_lab::link::LinkCondition;
use shaletrail_fault_lab::observer::{get, numbered_registration, send};
use shaletrail_fault_lab::process::{group_members, wait_for, Process};
use shaletrail_fault_lab::registry::{sleep_ms, RegistryCluster};
use shaletrail_fault_lab::rng::SeededRng;
use shaletrail_registry_client::client::{duty_path, ChangeError};

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_shaletrail-fleet"))
}

fn run(args: &[&str]) -> Output {
    Command::new(program()).args(args).output().expect("the program runs")
}

fn output_text(out: &Output) -> String {
    String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr)
}

/// A registry, a fenced counter, and candidates whose command increments the counter while they hold the
/// duty.
struct TestCluster {
    runners: Vec<CandidateProcess>,
    service: RegistryCluster,
    guarded: FencedCounter,
    lease_s: f64,
    between_ms: u64,
}

impl TestCluster {
    fn new(
        name: &str,
        replicas: usize,
        runners: usize,
        lease_s: f64,
        guard: bool,
        between_ms: u64,
    ) -> TestCluster {
        let service = RegistryCluster::start(program(), name, replicas);
        let guarded = FencedCounter::start(guard);
        let mut cluster = TestCluster { runners: Vec::new(), service, guarded, lease_s, between_ms };
        for n in 0..runners {
            let runner = cluster.runner(n);
            cluster.runners.push(runner);
            // Candidates queue in this order.
            wait_for("the candidate is in the queue", || {
                cluster.queue().contains(&format!("c{n}")).then_some(())
            });
        }
        cluster
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

    fn duty_status(&self) -> Option<Value> {
        self.service.ops().iter().find_map(|addr| get(*addr, &duty_path("counter", "")).ok())
    }

    /// Ids of the holder and the waiting candidates, in the order of the queue.
    fn queue(&self) -> Vec<String> {
        let Some(duty) = self.duty_status() else { return Vec::new() };
        let waiters = duty["waiters"].as_array().into_iter().flatten();
        std::iter::once(&duty["holder"])
            .chain(waiters)
            .filter_map(|id| id.as_str().map(str::to_owned))
            .collect()
    }

    fn holder(&self) -> usize {
        wait_for("a holder", || {
            let holder = self.duty_status()?["holder"].as_str()?.to_owned();
            self.runners.iter().position(|runner| runner.id == holder)
        })
    }

    fn fence(&self) -> u64 {
        wait_for("the duty", || self.duty_status()?["fence"].as_u64())
    }

    /// Waits until a holder with a newer fencing number has incremented the counter, and returns that number.
    fn wait_for_newer_holder(&self, fence: u64) -> u64 {
        wait_for(&format!("a holder newer than fence {fence} increments the counter"), || {
            let last = self.guarded.accepted().last()?.fence;
            (last > fence).then_some(last)
        })
    }

    /// Waits until the counter has been incremented further, by any holder.
    fn wait_for_increments(&self, what: &str) {
        let before = self.guarded.accepted().len();
        wait_for(what, || (self.guarded.accepted().len() > before + 3).then_some(()));
    }

    /// Checks that the old holder made its last call before the new holder made its first.
    fn assert_no_overlap(&self, old: u64, new: u64) {
        let ((_, last), (first, _)) = (
            self.guarded.calls(old).expect("calls of the old holder"),
            self.guarded.calls(new).expect("calls of the new holder"),
        );
        assert!(last < first, "fence {old} made a call {:?} after the first of fence {new}", last - first);
    }

    fn restart(&mut self, n: usize) {
        let runner = self.runner(n);
        self.runners[n] = runner;
    }

    fn check_history(&self, what: &str) {
        let violations = check(&self.guarded.accepted());
        assert!(violations.is_empty(), "{what}: {violations:#?}");
    }
}

#[test]
fn a_holder_that_dies_hangs_or_is_partitioned_has_stopped_before_the_next_starts() {
    let mut cluster = TestCluster::new("holders", 3, 3, 1.0, true, 0);
    let mut last_fence: u64 = cluster.wait_for_newer_holder(0);
    let next = |cluster: &TestCluster, what: &str, last_fence: &mut u64| {
        let new = cluster.wait_for_newer_holder(*last_fence);
        cluster.assert_no_overlap(*last_fence, new);
        cluster.check_history(what);
        *last_fence = new;
    };
    // The holder is killed by SIGKILL: its command ends with it.
    let n = cluster.holder();
    let old_group = cluster.runners[n].group().expect("a supervisor");
    cluster.runners[n].process.kill();
    wait_for("the holder's process group has ended", || group_members(old_group).is_empty().then_some(()));
    next(&cluster, "killed", &mut last_fence);
    cluster.restart(n);
    // Only the holder is suspended, and its command keeps running: the supervisor ends it in time.
    let n = cluster.holder();
    let old_group = cluster.runners[n].group().expect("a supervisor");
    cluster.runners[n].process.signal("STOP");
    next(&cluster, "stopped alone", &mut last_fence);
    assert!(group_members(old_group).is_empty(), "the supervisor has ended the command");
    cluster.runners[n].process.signal("CONT");
    wait_for("the old holder is in the queue again", || {
        cluster.queue().contains(&format!("c{n}")).then_some(())
    });
    // Only the supervisor dies: the command ends with it and is restarted under the same fencing number.
    let n = cluster.holder();
    let supervisor = cluster.runners[n].group().expect("a supervisor");
    let before = cluster.guarded.accepted().len();
    let _ = Command::new("kill").args(["-KILL", &supervisor.to_string()]).status();
    wait_for("the supervisor's group has ended", || group_members(supervisor).is_empty().then_some(()));
    wait_for("the counter is incremented again", || {
        (cluster.guarded.accepted().len() > before + 3).then_some(())
    });
    // The holder is partitioned from all replicas, in both directions or in one: it ends its command by its
    // own clock.
    for (toward_registry, from_registry) in [
        (LinkCondition::Cut, LinkCondition::Cut),
        (LinkCondition::Open, LinkCondition::Cut),
        (LinkCondition::Cut, LinkCondition::Open),
    ] {
        let n = cluster.holder();
        last_fence = last_fence.max(cluster.fence());
        cluster.wait_for_increments("the holder increments the counter");
        cluster.runners[n].links.iter().for_each(|link| link.set(toward_registry, from_registry));
        next(&cluster, "cut off", &mut last_fence);
        cluster.runners[n].links.iter().for_each(shaletrail_fault_lab::link::Link::heal);
        wait_for("the old holder is in the queue again", || {
            cluster.queue().contains(&format!("c{n}")).then_some(())
        });
    }
    // The holder is partitioned only from the leader: its renewals reach the leader through another replica.
    let (n, leader, fence) = (cluster.holder(), cluster.service.wait_for_leader(), cluster.fence());
    cluster.runners[n].links[leader].set(LinkCondition::Cut, LinkCondition::Cut);
    sleep_ms(3000);
    cluster.wait_for_increments("the holder increments the counter");
    if cluster.service.leader() == Some(leader) && cluster.fence() != fence {
        // On a busy machine a lease of one second may still end. Then the hand-over must be in order.
        println!("lost while partitioned only from the leader");
    }
    // The holder is on the minority side together with the leader: it loses the duty to a candidate on the
    // majority side.
    cluster.runners[n].links[leader].heal();
    cluster.wait_for_increments("the holder increments the counter");
    let (n, leader) = (cluster.holder(), cluster.service.wait_for_leader());
    last_fence = cluster.fence();
    cluster.service.isolate(leader, LinkCondition::Cut, LinkCondition::Cut);
    for (m, runner) in cluster.runners.iter().enumerate() {
        for (replica, link) in runner.links.iter().enumerate() {
            if (m == n) != (replica == leader) {
                link.set(LinkCondition::Cut, LinkCondition::Cut);
            }
        }
    }
    next(&cluster, "on the minority's side", &mut last_fence);
    cluster.runners.iter().flat_map(|runner| &runner.links).for_each(shaletrail_fault_lab::link::Link::heal);
    cluster.service.heal();
    wait_for("all candidates are in the queue again", || (cluster.queue().len() == 3).then_some(()));
    let leader = cluster.service.wait_for_leader();
    // The registry's leader dies: the counter goes on once there is a new leader.
    cluster.service.kill(leader);
    cluster.wait_for_increments("the counter is incremented without the old leader");
    cluster.check_history("after all faults");
}

#[test]
fn a_change_delayed_past_its_lease_is_refused_and_does_harm_without_fencing() {
    for guard in [true, false] {
        let cluster = TestCluster::new(if guard { "slept" } else { "unguarded" }, 1, 2, 1.0, guard, 500);
        let first = cluster.wait_for_newer_holder(0);
        // The holder and its command are suspended between reading the counter and changing it.
        let n = cluster.holder();
        cluster.runners[n].process.signal("STOP");
        cluster.runners[n].signal_group("STOP");
        let second = cluster.wait_for_newer_holder(first);
        assert!(second > first);
        let refused = cluster.guarded.refused();
        // When they resume, the delayed call may be sent before the supervisor kills the group; the kernel
        // decides the order.
        cluster.runners[n].signal_group("CONT");
        cluster.runners[n].process.signal("CONT");
        wait_for("the old holder is in the queue again", || {
            cluster.queue().contains(&format!("c{n}")).then_some(())
        });
        cluster.wait_for_increments("the next holder increments the counter");
        println!("guard {guard}: {} late calls refused", cluster.guarded.refused() - refused);
        if guard {
            cluster.check_history("guarded");
        }
    }
    // The same without a supervisor, so that the delayed call is certainly sent.
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
        wait_for("the old holder has read the counter", || guarded.calls(1));
        old.signal("STOP");
        let _new = start("2", "0");
        wait_for("the new holder increments the counter", || (guarded.accepted().len() > 3).then_some(()));
        old.signal("CONT");
        if guard {
            assert_eq!(old.wait_for_exit().code(), Some(1), "the delayed call is refused");
            assert!(old.log().contains("fencing number 1 is old"), "{}", old.log());
            assert!(check(&guarded.accepted()).is_empty());
        } else {
            wait_for("the checker finds a violation", || {
                (!check(&guarded.accepted()).is_empty()).then_some(())
            });
        }
    }
}

#[test]
fn grants_survive_leader_failures_lost_answers_restarts_and_clock_jumps() {
    let mut cluster = TestCluster::new("grants", 3, 0, 1.0, true, 0);
    // The leader dies while candidates acquire: one of them holds the duty, whether or not it learned of the
    // grant.
    for n in 0..3 {
        let leader = cluster.service.wait_for_leader();
        let fence = cluster.duty_status().map_or(0, |duty| duty["fence"].as_u64().unwrap_or(0));
        cluster.runners.iter_mut().for_each(|runner| runner.process.kill());
        cluster.runners = vec![cluster.runner(2 * n), cluster.runner(2 * n + 1)];
        sleep_ms(20 * n as u64);
        cluster.service.kill(leader);
        let next = cluster.wait_for_newer_holder(fence);
        assert!(next > fence);
        cluster.wait_for_increments("one of the candidates increments the counter");
        cluster.service.heal();
        cluster.check_history("the leader died during a grant");
    }
    // The answer to an acquire is lost: the grant is in the log, but the candidate does not know of it.
    cluster.runners.iter_mut().for_each(|runner| runner.process.kill());
    let fence = cluster.fence();
    wait_for("the duty has no holder", || cluster.queue().is_empty().then_some(()));
    let lost = cluster.runner(7);
    lost.links.iter().for_each(|link| link.set(LinkCondition::Open, LinkCondition::Cut));
    cluster.runners = vec![lost];
    wait_for("the duty is granted without the candidate's knowledge", || {
        (cluster.fence() > fence).then_some(())
    });
    cluster.runners[0].links.iter().for_each(shaletrail_fault_lab::link::Link::heal);
    cluster.wait_for_newer_holder(fence);
    // All replicas die and restart: the holder continues or acquires again, but there are never two holders.
    let before = cluster.fence();
    (0..3).for_each(|n| cluster.service.kill(n));
    cluster.service.heal();
    cluster.wait_for_increments("the counter is incremented after the restart");
    assert!(cluster.fence() >= before, "fencing numbers never decrease");
    cluster.check_history("the registry was restarted");
    // The wall clocks of all replicas jump forward and back by an hour.
    let fence = cluster.fence();
    for step in ["3600000", "-3600000", "0"] {
        (0..3).for_each(|n| std::fs::write(cluster.service.wall_clock_file(n), step).expect("a step"));
        sleep_ms(1500);
        cluster.wait_for_increments("the counter is incremented after the clock jump");
    }
    assert_eq!(cluster.fence(), fence, "no lease ended because of a clock jump");
    cluster.check_history("clock jumps");
}

#[test]
fn operators_can_show_and_move_a_duty_and_its_checkpoint_refuses_an_old_holder() {
    let mut cluster = TestCluster::new("operator", 1, 3, 2.0, true, 0);
    let ops = cluster.service.ops()[0].to_string();
    let with = |args: &[&str]| run(&[args, &["--registry", &ops]].concat());
    let first = cluster.wait_for_newer_holder(0);
    let duty: Value =
        serde_json::from_slice(&with(&["duty", "show", "counter", "--json"]).stdout).expect("JSON");
    assert_eq!((&duty["holder"], &duty["fence"]), (&json!("c0"), &json!(first)));
    assert_eq!(duty["waiters"], json!(["c1", "c2"]));
    assert!(duty["since_ms"].as_u64() > Some(0) && duty["checkpoint_version"] == json!(0));
    // Transfer to the last candidate in the queue; the old holder confirms that it has stopped.
    let out = with(&["duty", "transfer", "counter", "--to", "c2"]);
    assert!(out.status.success(), "{}", output_text(&out));
    let second = cluster.wait_for_newer_holder(first);
    cluster.assert_no_overlap(first, second);
    assert_eq!(cluster.queue(), ["c2", "c1", "c0"]);
    let out = with(&["duty", "list"]);
    assert!(
        output_text(&out).contains("counter: held by c2") && output_text(&out).contains("an operator asked"),
        "{}",
        output_text(&out)
    );
    // Transfer to a dead candidate: the next in the queue holds the duty after a lease.
    cluster.runners[1].process.kill();
    assert!(with(&["duty", "transfer", "counter", "--to", "c1"]).status.success());
    let third = cluster.wait_for_newer_holder(second);
    assert_eq!(cluster.holder(), 0, "{:?}", cluster.duty_status());
    cluster.assert_no_overlap(second, third);
    let out = with(&["duty", "transfer", "counter", "--to", "c1"]);
    assert_eq!(out.status.code(), Some(1));
    assert!(output_text(&out).contains("c1 is not in line for it"), "{}", output_text(&out));
    // Only the holder can write the checkpoint, and each version only once.
    let set = |fence: u64, expect: u64, data: &str| {
        let body = json!({"fence": fence, "expect": expect, "data": data});
        send::<Value>(&cluster.service.ops(), Method::PUT, &duty_path("counter", "checkpoint"), &body)
    };
    let refused = |done: Result<Value, ChangeError>, words: &str| match done {
        Err(ChangeError::Refused { why, .. }) => assert!(why.contains(words), "{why}"),
        done => panic!("{words}: {done:?}"),
    };
    assert_eq!(set(third, 0, "step 1").expect("checkpoint written")["version"], json!(1));
    assert_eq!(set(third, 0, "step 1").expect("the call is idempotent")["version"], json!(1));
    refused(set(third, 0, "another"), "checkpoint version 0 is not the last: that is 1");
    refused(set(second, 1, "by an old holder"), "is not the holder's");
    refused(set(third, 1, &"x".repeat(20_000)), "at most 16384 bytes");
    // Changes of the list under a fence: those of the holder are accepted, those of an old holder are
    // refused.
    let change = |fence: u64| {
        let mut registry = shaletrail_registry_client::client::RegistryClient::new(cluster.service.ops());
        registry
            .set_fence(Some(&shaletrail_registry_protocol::duty::Fence { duty: "counter".into(), fence }));
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let body = json!(numbered_registration("s1", 1));
        runtime.block_on(registry.send::<Value>(
            Method::PUT,
            "/registry/instances/s1",
            &body,
            Duration::from_secs(9),
        ))
    };
    assert!(change(third).is_ok());
    refused(change(second), "is not the holder's");
    // Released by an operator, the duty passes to the next in the queue, or to the same candidate with a new
    // fencing number if nobody waits.
    assert!(with(&["duty", "release", "counter"]).status.success());
    let fourth = cluster.wait_for_newer_holder(third);
    assert_eq!(cluster.holder(), 2);
    let out = with(&["duty", "checkpoint", "counter"]);
    assert_eq!(String::from_utf8_lossy(&out.stdout), "step 1", "the checkpoint passes to the next holder");
    let out = with(&["duty", "remove", "counter"]);
    assert!(output_text(&out).contains("held or waited for"), "{}", output_text(&out));
    // SIGTERM ends the command and releases the duty, with exit code 0.
    cluster.runners[2].process.signal("TERM");
    assert_eq!(cluster.runners[2].process.wait_for_exit().code(), Some(0));
    let fifth = cluster.wait_for_newer_holder(fourth);
    cluster.assert_no_overlap(fourth, fifth);
    cluster.check_history("moved by an operator");
}

#[test]
fn a_successful_command_ends_the_run_and_a_failing_one_is_retried_until_the_limit() {
    let service = RegistryCluster::start(program(), "commands", 1);
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
    assert!(
        output_text(&out).contains("failed 3 times in a row, the last time with 7"),
        "{}",
        output_text(&out)
    );
    // A command that ignores SIGTERM is killed with its children before another candidate may hold the duty.
    let log = service.folder.0.join("stubborn.log");
    let mut stubborn = Command::new(program());
    let script = "trap '' TERM; echo begun; sleep 1000 & while :; do sleep 0.1; done";
    stubborn.args(["duty", "run", "job", "--registry", &ops, "--lease-s", "1", "--", "bash", "-c", script]);
    let mut stubborn = Process::start(&mut stubborn, &log);
    stubborn.wait_for_line("begun");
    let supervisor = shaletrail_fault_lab::process::children(stubborn.id())[0];
    stubborn.signal("TERM");
    assert_eq!(stubborn.wait_for_exit().code(), Some(0));
    assert!(group_members(supervisor).is_empty(), "the whole process group has ended");
    for (args, words) in [
        (vec!["duty", "run", "a/b", "--", "true"], "duty: id: 1 to 128"),
        (vec!["duty", "run", "x", "--lease-s", "0.1", "--", "true"], "0.5 to 30 seconds expected, got 0.1"),
        (vec!["duty", "run", "x", "--failures", "0", "--", "true"], "1 or more expected"),
        (vec!["duty", "run", "x"], "required"),
    ] {
        let out = run(&args);
        assert_eq!(out.status.code(), Some(2), "{args:?}: {}", output_text(&out));
        assert!(output_text(&out).contains(words), "{args:?}: {}", output_text(&out));
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
fn after_a_restore_fencing_numbers_are_higher_and_nothing_is_granted_too_early() {
    let mut cluster = TestCluster::new("restored", 1, 1, 1.0, true, 0);
    let ops = cluster.service.ops();
    let backup = cluster.service.folder.0.join("backup");
    cluster.wait_for_newer_holder(0);
    let out = run(&["registry", "backup", &backup.display().to_string(), "--registry", &ops[0].to_string()]);
    assert!(out.status.success(), "{}", output_text(&out));
    // A holder that is not in the backup.
    cluster.runners[0].process.signal("TERM");
    cluster.runners[0].process.wait_for_exit();
    cluster.runners = vec![cluster.runner(1)];
    let unknown = cluster.wait_for_newer_holder(1);
    cluster.service.kill(0);
    let data = cluster.service.replicas[0].data.clone();
    std::fs::rename(&data, cluster.service.folder.0.join("lost")).expect("the data folder is moved");
    let out =
        run(&["registry", "restore", &backup.display().to_string(), "--data", &data.display().to_string()]);
    assert!(out.status.success(), "{}", output_text(&out));
    cluster.service.launch(0);
    cluster.service.wait_until_ready(0);
    let restored = Instant::now();
    let out = run(&["duty", "list", "--registry", &ops[0].to_string()]);
    assert!(output_text(&out).contains("RESTORED FROM A BACKUP"), "{}", output_text(&out));
    let end = Instant::now() + Duration::from_secs(120);
    while cluster.guarded.newest() <= unknown {
        assert!(
            Instant::now() < end,
            "not granted again after the longest lease: {:?}",
            cluster.duty_status()
        );
        sleep_ms(100);
    }
    let (newest, first) = (cluster.guarded.newest(), cluster.guarded.newest());
    let granted = cluster.guarded.calls(first).expect("a call of the new holder").0;
    assert!(granted - restored > Duration::from_secs(25), "{:?}", granted - restored);
    assert!(newest > unknown + (1 << 32), "{newest}");
    cluster.check_history("restored");
}

#[test]
fn one_keeper_at_a_time_takes_backups_and_only_entries_of_dead_servers_expire() {
    let service = RegistryCluster::start(program(), "keepers", 3);
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
    let duty_status = |name: &str| get(ops[0], &duty_path(name, "")).ok();
    let first = wait_for("backups", || (backups().len() == 3).then(|| backups()[0].clone()));
    let holder =
        wait_for("a holder", || duty_status("registry-backup")?["holder"].as_str().map(str::to_owned));
    keepers[usize::from(holder == "k1")].kill();
    wait_for("the other keeper takes backups", || {
        let duty = duty_status("registry-backup")?;
        let newest = backups().last().cloned()?;
        let fence = format!("registry-{:020}", duty["fence"].as_u64()?);
        (duty["holder"].as_str().is_some_and(|id| id != holder) && newest.starts_with(&fence)).then_some(())
    });
    wait_for("old backups are deleted", || {
        (!backups().contains(&first) && backups().len() <= 4).then_some(())
    });
    // The newest backup can be restored.
    let newest = folder.join(backups().pop().expect("a backup"));
    let data = service.folder.0.join("restored");
    let out =
        run(&["registry", "restore", &newest.display().to_string(), "--data", &data.display().to_string()]);
    assert!(out.status.success(), "{}", output_text(&out));
    // Entries of servers that answer stay, although their agents are silent; entries of dead servers expire
    // after the keeper has confirmed it.
    let alive = FencedCounter::start(true);
    let dead_addr = shaletrail_fault_lab::registry::free_addr();
    let register = |id: &str, addr: SocketAddr, lease: Option<f64>| {
        let mut body = json!({"addr": addr.to_string()});
        if let Some(lease) = lease {
            body["lease_s"] = json!(lease);
        }
        let path = shaletrail_registry_client::client::entry_path(id, "");
        send::<Value>(&ops, Method::PUT, &path, &body).expect("registered");
    };
    for n in 0..5 {
        register(&format!("other{n}"), alive.addr, None);
    }
    for n in 0..3 {
        register(&format!("gone{n}"), dead_addr, Some(1.0));
    }
    let ids = || -> Vec<String> {
        let list = service.discovery().iter().find_map(|addr| get(*addr, "/registry/instances").ok());
        let servers =
            list.map(|list| list["servers"].as_array().cloned().unwrap_or_default()).unwrap_or_default();
        servers.iter().filter_map(|server| server["id"].as_str().map(str::to_owned)).collect()
    };
    wait_for("the entries of dead servers expire", || (ids().len() == 5).then_some(()));
    for n in 0..3 {
        register(&format!("cut{n}"), alive.addr, Some(1.0));
    }
    let log = || keepers.iter().map(Process::log).collect::<String>();
    wait_for("the keeper logs why entries stay", || log().contains("their agents are cut off").then_some(()));
    assert!(log().contains("3 servers are gone and may expire"), "{}", log());
    assert_eq!(ids().len(), 8, "{:?}", ids());
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    KillHolder,
    KillSupervisor,
    StopHolder,
    StopHolderAndCommand,
    PartitionHolder,
    HolderCannotReceive,
    HolderCannotSend,
    SlowHolder,
    LossyHolder,
    KillLeader,
    StopLeader,
    PartitionLeader,
    LeaderCannotReceive,
    KillRegistry,
    Transfer,
    StepClocks,
}

const FAULTS: [Fault; 16] = [
    Fault::KillHolder,
    Fault::KillSupervisor,
    Fault::StopHolder,
    Fault::StopHolderAndCommand,
    Fault::PartitionHolder,
    Fault::HolderCannotReceive,
    Fault::HolderCannotSend,
    Fault::SlowHolder,
    Fault::LossyHolder,
    Fault::KillLeader,
    Fault::StopLeader,
    Fault::PartitionLeader,
    Fault::LeaderCannotReceive,
    Fault::KillRegistry,
    Fault::Transfer,
    Fault::StepClocks,
];

fn inject(cluster: &mut TestCluster, fault: Fault, random: &mut SeededRng) {
    let n = cluster.holder();
    let leader = cluster.service.wait_for_leader();
    let links = |cluster: &TestCluster, toward_registry, from_registry| {
        cluster.runners[n].links.iter().for_each(|link| link.set(toward_registry, from_registry))
    };
    match fault {
        Fault::KillHolder => cluster.runners[n].process.kill(),
        Fault::KillSupervisor => {
            if let Some(supervisor) = cluster.runners[n].group() {
                let _ = Command::new("kill").args(["-KILL", &supervisor.to_string()]).status();
            }
        }
        Fault::StopHolder => cluster.runners[n].process.signal("STOP"),
        Fault::StopHolderAndCommand => {
            cluster.runners[n].process.signal("STOP");
            cluster.runners[n].signal_group("STOP");
        }
        Fault::PartitionHolder => links(cluster, LinkCondition::Cut, LinkCondition::Cut),
        Fault::HolderCannotReceive => links(cluster, LinkCondition::Open, LinkCondition::Cut),
        Fault::HolderCannotSend => links(cluster, LinkCondition::Cut, LinkCondition::Open),
        Fault::SlowHolder => {
            let ms = 50 + random.below(300) as u64;
            links(cluster, LinkCondition::Slow(ms), LinkCondition::Slow(ms));
        }
        Fault::LossyHolder => {
            let one_in = 2 + random.below(6) as u64;
            links(cluster, LinkCondition::Lossy(one_in), LinkCondition::Lossy(one_in));
        }
        Fault::KillLeader => cluster.service.kill(leader),
        Fault::StopLeader => cluster.service.process(leader).signal("STOP"),
        Fault::PartitionLeader => cluster.service.isolate(leader, LinkCondition::Cut, LinkCondition::Cut),
        Fault::LeaderCannotReceive => {
            cluster.service.isolate(leader, LinkCondition::Open, LinkCondition::Cut)
        }
        Fault::KillRegistry => (0..3).for_each(|n| cluster.service.kill(n)),
        Fault::Transfer => {
            let ops = cluster.service.ops();
            let _ = run(&["duty", "transfer", "counter", "--registry", &ops[0].to_string()]);
        }
        Fault::StepClocks => {
            for n in 0..3 {
                let step = (random.below(7_200_000) as i64 - 3_600_000).to_string();
                std::fs::write(cluster.service.wall_clock_file(n), step).expect("a step");
            }
        }
    }
}

/// Random faults for so long, or each fault once; `LAB_MINUTES` asks for longer.
#[test]
fn whatever_fails_the_counter_misses_no_step_and_repeats_none() {
    let mut random = SeededRng::new("duties", 8201);
    let mut cluster = TestCluster::new("faults", 3, 4, 1.0, true, 2);
    let minutes = std::env::var("LAB_MINUTES").ok().and_then(|text| text.parse::<f64>().ok());
    let end = minutes.map(|minutes| Instant::now() + Duration::from_secs_f64(minutes * 60.0));
    let mut left = FAULTS.to_vec();
    let mut played = 0;
    while !left.is_empty() && end.is_none_or(|end| Instant::now() < end) {
        let fault = left.swap_remove(random.below(left.len()));
        if left.is_empty() && end.is_some() {
            left = FAULTS.to_vec();
        }
        let before = cluster.fence();
        inject(&mut cluster, fault, &mut random);
        // In a third of the cases a second fault is added.
        if random.below(3) == 0 {
            let second = [Fault::KillLeader, Fault::StopHolder, Fault::Transfer][random.below(3)];
            if cluster.service.leader().is_some()
                && cluster.duty_status().is_some_and(|duty| duty["holder"].is_string())
            {
                println!("{fault:?} and {second:?}");
                inject(&mut cluster, second, &mut random);
            }
        } else {
            println!("{fault:?}");
        }
        sleep_ms(200 + random.below(2500) as u64);
        cluster.service.heal();
        for n in 0..cluster.runners.len() {
            cluster.runners[n].links.iter().for_each(shaletrail_fault_lab::link::Link::heal);
            if cluster.runners[n].process.has_ended() {
                cluster.restart(n);
            }
            cluster.runners[n].signal_group("CONT");
            cluster.runners[n].process.signal("CONT");
        }
        cluster.wait_for_increments(&format!("the counter is incremented after {fault:?}"));
        cluster.check_history(&format!("seed {}, {fault:?}", random.seed));
        assert!(cluster.fence() >= before, "fencing numbers never decrease");
        played += 1;
    }
    let accepted = cluster.guarded.accepted();
    let distinct_fences = accepted.windows(2).filter(|pair| pair[0].fence != pair[1].fence).count() + 1;
    println!(
        "{played} faults, {} increments accepted under {distinct_fences} fencing numbers, {} late calls refused",
        accepted.len(),
        cluster.guarded.refused()
    );
    assert!(distinct_fences > 3, "only {distinct_fences} fencing numbers");
}

/// 200 candidates queue for a duty that each holder releases at once. A hand-over must wake only the next
/// candidate, and the others must not call more often than otherwise (no thundering herd).
#[test]
fn a_hand_over_among_200_candidates_wakes_only_the_next_one() {
    const WAITERS: usize = 200;
    let service = RegistryCluster::start(program(), "herd", 1);
    let ops: SocketAddr = service.ops()[0];
    let calls =
        || get(ops, "/-/metrics").ok().and_then(|figures| figures["duty_calls"].as_u64()).expect("figures");
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("a runtime");
    let lease_s = 8.0;
    let (fence_sender, fences) = std::sync::mpsc::channel();
    for n in 0..WAITERS as u64 {
        let fence_sender = fence_sender.clone();
        runtime.spawn(async move {
            let mut client = shaletrail_registry_client::duty::DutyClient::new(
                vec![ops],
                "herd",
                &format!("w{n}"),
                n,
                lease_s,
            )
            .expect("a client of the duty");
            loop {
                let Ok(fence) = client.acquire(|_| {}).await else { return };
                if fence_sender.send(fence).is_err() {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
                client.release(shaletrail_registry_protocol::duty::HandoverReason::Released).await;
            }
        });
    }
    let timeout = Duration::from_secs(60);
    // Once each candidate has held the duty, all of them are in the queue.
    let mut last = 0;
    for _ in 0..WAITERS {
        let fence = fences.recv_timeout(timeout).expect("a hand-over");
        assert!(fence > last, "fencing numbers increase");
        last = fence;
    }
    let (began, before) = (Instant::now(), calls());
    let hand_overs = 300;
    for _ in 0..hand_overs {
        fences.recv_timeout(timeout).expect("a hand-over");
    }
    let (took, calls_made) = (began.elapsed().as_secs_f64(), calls() - before);
    // Calls per hand-over: the renewal that was waiting, a release, an acquire and a renewal. Calls per
    // waiting candidate: a renewal in each quarter of a lease.
    let expected_calls = hand_overs as f64 * 5.0 + WAITERS as f64 * (took / (lease_s / 4.0) + 1.0);
    println!(
        "{hand_overs} hand-overs in {took:.1} s: {calls_made} calls, expected at most {expected_calls:.0}"
    );
    assert!(
        (calls_made as f64) < expected_calls * 1.5,
        "{calls_made} calls, expected at most {expected_calls:.0}"
    );
    runtime.shutdown_background();
}
