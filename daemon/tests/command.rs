//! The command line: the output of each subcommand, and the exit codes that supervisors rely on.

mod common;

use common::{run_to_end, settings_file, shaletrail, test_folder, Finished, PATH_VARIABLE};

/// The keys that both roles need.
const COMMON_SETTINGS: &str = "\
nodeName=machine-1
ip=127.0.0.1
zone=hall-a
ephemeralPorts=7660,7675
seedNodes=127.0.0.1:8146
";

fn run(arguments: &[&str]) -> Finished {
    run_to_end(shaletrail(arguments))
}

#[test]
fn help_lists_all_subcommands() {
    let finished = run(&["--help"]);

    assert_eq!(finished.code, Some(0), "{finished:?}");
    for role in ["data-plane", "coordinator", "settings"] {
        assert!(finished.stdout.contains(role), "{role} is not listed: {}", finished.stdout);
    }
}

#[test]
fn settings_help_lists_its_actions() {
    let finished = run(&["settings", "--help"]);

    assert_eq!(finished.code, Some(0), "{finished:?}");
    for action in ["check", "show"] {
        assert!(finished.stdout.contains(action), "{action} is not listed: {}", finished.stdout);
    }
}

#[test]
fn role_help_lists_its_options() {
    for role in ["data-plane", "coordinator"] {
        let finished = run(&[role, "--help"]);

        assert_eq!(finished.code, Some(0), "{finished:?}");
        for option in ["--settings", "--log-level", PATH_VARIABLE] {
            assert!(finished.stdout.contains(option), "{option} is not listed: {}", finished.stdout);
        }
    }
}

#[test]
fn unknown_subcommand_is_named() {
    let finished = run(&["load-balancer"]);

    assert_eq!(finished.code, Some(1), "{finished:?}");
    assert!(finished.stderr.contains("load-balancer"), "{}", finished.stderr);
    assert_eq!(finished.stdout, "");
}

#[test]
fn missing_path_says_how_to_give_one() {
    for role in ["data-plane", "coordinator"] {
        let finished = run(&[role]);

        assert_eq!(finished.code, Some(2), "{finished:?}");
        assert_eq!(
            finished.stderr,
            "shaletrail: no settings file: set SHALETRAIL_BOOT or give --settings FILE\n"
        );
    }
}

#[test]
fn missing_file_is_named() {
    let path = test_folder("file-that-is-not-there").join("missing.conf");
    let path = path.to_str().expect("a path in UTF-8");

    for role in ["data-plane", "coordinator"] {
        let finished = run(&[role, "--settings", path]);

        assert_eq!(finished.code, Some(2), "{finished:?}");
        assert!(
            finished.stderr.starts_with(&format!("shaletrail: settings file {path}: ")),
            "{}",
            finished.stderr
        );
    }
}

#[test]
fn path_can_come_from_the_environment() {
    let file = settings_file(&test_folder("path-in-the-environment"), "nodeName=machine-1\n");
    let mut command = shaletrail(&["coordinator"]);
    command.env(PATH_VARIABLE, &file);

    let finished = run_to_end(command);

    assert_eq!(finished.code, Some(2), "{finished:?}");
    assert_eq!(finished.stderr, "shaletrail: ip: missing, expected an IPv4 address\n");
}

#[test]
fn command_line_path_has_precedence() {
    let folder = test_folder("command-line-goes-first");
    let file = settings_file(&folder, &COMMON_SETTINGS.replace("7660,7675", "7660"));
    let mut command = shaletrail(&["coordinator", "--settings", &file]);
    command.env(PATH_VARIABLE, folder.join("missing.conf"));

    let finished = run_to_end(command);

    assert_eq!(finished.code, Some(2), "{finished:?}");
    assert!(
        finished.stderr.starts_with("shaletrail: ephemeralPorts: '7660' found, expected "),
        "{}",
        finished.stderr
    );
}

#[test]
fn invalid_value_is_named() {
    let file = settings_file(&test_folder("wrong-value"), &format!("{COMMON_SETTINGS}bounds.drainMs=soon\n"));

    for role in ["data-plane", "coordinator"] {
        let finished = run(&[role, "--settings", &file]);

        assert_eq!(finished.code, Some(2), "{finished:?}");
        assert_eq!(finished.stderr, "shaletrail: bounds.drainMs: 'soon' found, expected a number over 0\n");
    }
}

#[test]
fn missing_key_of_a_role_is_named() {
    let folder = test_folder("missing-listener");
    let cases = [
        ("data-plane", "", "listenersMap.ingress"),
        ("data-plane", "listenersMap.ingress=127.0.0.1:8144\n", "listenersMap.readiness"),
        ("coordinator", "", "listenersMap.controlPlane"),
        ("coordinator", "listenersMap.controlPlane=127.0.0.1:8146\n", "dataDir"),
    ];

    for (role, more, key) in cases {
        let file = settings_file(&folder, &format!("{COMMON_SETTINGS}{more}"));

        let finished = run(&[role, "--settings", &file]);

        assert_eq!(finished.code, Some(2), "{finished:?}");
        assert_eq!(finished.stderr, format!("shaletrail: {key}: missing, the role needs it\n"));
    }
}

#[test]
fn unknown_log_level_lists_the_levels() {
    let file = settings_file(&test_folder("log-level"), COMMON_SETTINGS);

    let finished = run(&["data-plane", "--settings", &file, "--log-level", "loud"]);

    assert_eq!(finished.code, Some(2), "{finished:?}");
    assert_eq!(
        finished.stderr,
        "shaletrail: --log-level: 'loud' found, expected error, warning, info or debug\n"
    );
}

#[test]
fn check_accepts_valid_file() {
    let file = settings_file(&test_folder("proper-file-checked"), COMMON_SETTINGS);

    let finished = run(&["settings", "check", &file]);

    assert_eq!(finished.code, Some(0), "{finished:?}");
    assert_eq!(finished.stdout, format!("{file}: right\n"));
    assert_eq!(finished.stderr, "");
}

#[test]
fn check_ignores_unknown_keys() {
    let file = settings_file(
        &test_folder("unknown-keys"),
        &format!("{COMMON_SETTINGS}limits.somethingNew=7\nno value here\n"),
    );

    let finished = run(&["settings", "check", &file]);

    assert_eq!(finished.code, Some(0), "{finished:?}");
}

#[test]
fn check_and_show_report_the_first_error() {
    let file = settings_file(&test_folder("wrong-file"), &COMMON_SETTINGS.replace("ip=127.0.0.1", "ip=here"));

    for action in ["check", "show"] {
        let finished = run(&["settings", action, &file]);

        assert_eq!(finished.code, Some(2), "{finished:?}");
        assert_eq!(finished.stderr, "shaletrail: ip: 'here' found, expected an IPv4 address\n");
        assert_eq!(finished.stdout, "");
    }
}

#[test]
fn show_includes_defaults() {
    let file = settings_file(&test_folder("shown"), &format!("{COMMON_SETTINGS}bounds.graceS=6\n"));

    let finished = run(&["settings", "show", &file]);

    assert_eq!(finished.code, Some(0), "{finished:?}");
    for line in ["node_name: \"machine-1\"", "grace: 6s", "drain: 2s", "bootstrap: false", "ingress: None"] {
        assert!(finished.stdout.contains(line), "{line} is not shown: {}", finished.stdout);
    }
}
