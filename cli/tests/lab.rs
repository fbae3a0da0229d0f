//! Tests of the lab's commands: verdicts and exit codes, replay, all kinds of faults, and the death of the
//! lab itself.

use std::path::Path;
use std::process::{Command, Output};

use serde_json::Value;
use shaletrail_fault_lab::process::{children, wait_for, Process, TempFolder};

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_shaletrail-fleet"))
}

fn lab(args: &[&str]) -> Output {
    Command::new(program()).arg("lab").args(args).output().expect("the program")
}

/// A scenario small enough for a busy machine. The limit of lateness is high, so that the run is not void,
/// and the tests assert no speed.
fn small(folder: &TempFolder, more: &str) -> String {
    let file = folder.0.join("small.toml");
    let text = format!(
        "name = 'small'\nabout = 'a small fleet'\nseconds = 8.0\nlead_s = 2.0\nlateness_ms = 1000.0\n{more}\n\
         [load]\nper_s = 40.0\nkeys = 100\n"
    );
    std::fs::write(&file, text).expect("a scenario");
    file.to_str().expect("a path").to_owned()
}

fn report(out: &Output) -> Value {
    serde_json::from_slice(&out.stdout)
        .unwrap_or_else(|e| panic!("{e}: {}", String::from_utf8_lossy(&out.stderr)))
}

/// Checks the rules that must hold even on a busy machine.
fn assert_unconditional_rules(report: &Value) {
    for rule in ["lost", "repeated_effect", "foreign_ids", "long_messages", "crashed"] {
        assert_eq!(report["rules"][rule], 0, "{rule}: {}", report["rules"]);
    }
}

#[test]
fn a_run_is_judged_and_reported_and_can_be_replayed() {
    let folder = TempFolder::new("lab-run");
    // Agents run as processes, as in production.
    let file = small(&folder, "[fleet]\nservers = 4\nnodes = 2\nzones = ['a', 'b']\nagent_processes = true\n[hold]\nbreaches = 1000000");
    let out = folder.0.join("out");
    let dir = out.to_str().expect("a path");
    let first = lab(&["run", &file, "--seed", "5", "--out", dir, "--json"]);
    let report_json = report(&first);
    assert_eq!(
        (first.status.code(), &report_json["verdict"], &report_json["seed"]),
        (Some(0), &"pass".into(), &5.into())
    );
    assert_unconditional_rules(&report_json);
    let share = report_json["served_share_per_s"].as_array().expect("shares");
    assert!(share.len() == 8 && report_json["attempts_per_request"].as_f64() >= Some(1.0), "{report_json}");
    for file in ["report.json", "report.md", "answers.svg", "work.svg", "scenario.toml"] {
        assert!(out.join(file).metadata().is_ok_and(|meta| meta.len() > 0), "{file}");
    }
    let again = report(&lab(&["replay", dir, "--json"]));
    assert_eq!((&again["seed"], &again["requests"]), (&report_json["seed"], &report_json["requests"]));
    // A rule that can't hold fails the run; a lab that is too late makes it void.
    let strict = small(&folder, "[fleet]\nservers = 2\nnodes = 1\n[hold]\nattempts_per_request = 0.5");
    let fails = lab(&["run", &strict, "--json"]);
    assert_eq!((fails.status.code(), &report(&fails)["verdict"]), (Some(1), &"fail".into()));
    let text =
        std::fs::read_to_string(&strict).expect("read").replace("lateness_ms = 1000.0", "lateness_ms = 0.1");
    std::fs::write(&strict, text).expect("the scenario is written");
    let void = lab(&["run", &strict, "--json"]);
    assert_eq!((void.status.code(), &report(&void)["verdict"]), (Some(3), &"void".into()));
}

#[test]
fn invalid_scenarios_exit_with_2_and_one_line_that_says_what_was_expected() {
    let folder = TempFolder::new("lab-wrong");
    for (more, says) in [
        ("[fleet]\nnodes = 0", "fleet.nodes: 1 to 60 expected, got 0"),
        ("[fleet]\nsevers = 3", "unknown field `severs`"),
        ("[[fault]]\nat_s = 1.0\ndo = 'kil_nodes'\nwhom = 'all'", "unknown variant `kil_nodes`"),
        ("[[fault]]\nat_s = 1.0\ndo = 'kill_nodes'\nwhom = 'n9'", "fault 1: `n9`: n0 to n2 expected"),
        ("[[fault]]\nat_s = 1.0\ndo = 'cut_zone'\nzone = 'x'", "fault 1: zone `x`: one of marousi"),
        ("[[fault]]\nat_s = 99.0\ndo = 'stop_origin'", "fault 1: at_s: 0 to 8 expected, got 99"),
        ("[[fault]]\nat_s = 1.0\ndo = 'stop_origin'\ntimes = 3", "unknown field `times`"),
    ] {
        let file = small(&folder, more);
        let out = lab(&["check", &file]);
        let said = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(
            said.contains(says) && said.contains("small.toml") && said.lines().count() == 1,
            "{more}: {said}"
        );
        assert_eq!(out.status.code(), Some(2));
    }
    assert_eq!(lab(&["run", "no-such-scenario"]).status.code(), Some(2));
    assert_eq!(lab(&["run", "calm", "--node", "/nowhere"]).status.code(), Some(2));
    let file = small(&folder, "");
    assert_eq!(lab(&["sweep", &file, "--vary", "load.nothing"]).status.code(), Some(2));
}

#[test]
fn all_kinds_of_faults_run_without_breaking_the_unconditional_rules() {
    let folder = TempFolder::new("lab-faults");
    let faults = [
        "do = 'kill_servers'\nwhom = 'cache-0'",
        "do = 'silence_servers'\nwhom = 'cache-1'",
        "do = 'pause_servers'\nwhom = 'cache-2'",
        "do = 'slow_servers'\nwhom = 'cache-3'\ntimes = 3.0",
        "do = 'server_errors'\nwhom = 'cache-4'\nshare = 0.5\nclass = 'settings-read'",
        "do = 'drain_servers'\nwhom = 'cache-5'",
        "do = 'disable_servers'\nwhom = 'cache-6'",
        "do = 'slow_origin'\ntimes = 2.0",
        "do = 'stop_nodes'\nwhom = 'n0'",
        "do = 'kill_replicas'\nwhom = 'r1'",
        "do = 'cut_zone'\nzone = 'halandri'\none_way = true",
        "do = 'slow_zone'\nzone = 'kallithea'\ndelay_ms = 20.0\nloss = 0.05\nkb_per_s = 500.0",
        "do = 'reset_zone'\nzone = 'marousi'",
        "do = 'surge'\ntimes = 2.0",
        "do = 'flash_crowd'\nshare = 0.3",
        "do = 'retry_storm'\nretries = 4",
        "do = 'replace'\nshare = 0.25\nbatch = 1",
        "do = 'upgrade_nodes'",
    ];
    let mut text = "[fleet]\nservers = 8\nreplicas = 3\n[servers]\ndrain_s = 1.0\n".to_owned();
    for (n, fault) in faults.iter().enumerate() {
        text += &format!("[[fault]]\nat_s = {:.1}\nfor_s = 3.0\n{fault}\n", 0.2 * n as f64);
    }
    text += "[[fault]]\nat_s = 2.0\ndo = 'cold_servers'\nwhom = 'share:0.2'\n";
    text += "[[fault]]\nat_s = 4.0\ndo = 'move_discovery'\n";
    let out = lab(&["run", &small(&folder, &text), "--json"]);
    let report_json = report(&out);
    assert_eq!(report_json["bands"].as_array().map(Vec::len), Some(faults.len() + 2));
    assert_unconditional_rules(&report_json);
}

#[test]
fn a_lab_that_dies_leaves_no_process_behind() {
    let folder = TempFolder::new("lab-dies");
    let file = small(&folder, "[fleet]\nservers = 3\nnodes = 2\nagent_processes = true");
    for signal in ["KILL", "INT"] {
        let mut command = Command::new(program());
        let mut lab = Process::start(command.args(["lab", "run", &file]), &folder.0.join("lab.log"));
        // The guard, a replica, two nodes, and three agents.
        let running =
            wait_for("the lab's processes run", || Some(children(lab.id())).filter(|ids| ids.len() >= 7));
        lab.signal(signal);
        assert!(!lab.wait_for_exit().success());
        wait_for("all processes have ended", || {
            let still_running = |id: &&u32| {
                let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
                // A zombie that its new parent has not reaped yet counts as ended.
                stat.rsplit_once(')').is_some_and(|(_, rest)| !rest.starts_with(" Z"))
            };
            running.iter().filter(still_running).count().eq(&0).then_some(())
        });
    }
}
