//! The command line: what each subcommand says, and the exit codes that supervisors go by.

mod common;

use common::{end_of, folder, settings_file, shaletrail, Ended, PATH_VARIABLE};

/// What both roles need.
const COMMON: &str = "\
nodeName=machine-1
ip=127.0.0.1
zone=hall-a
ephemeralPorts=7660,7675
seedNodes=127.0.0.1:8146
";

fn run(arguments: &[&str]) -> Ended {
    end_of(shaletrail(arguments))
}

#[test]
fn given_no_settings_when_help_is_asked_for_then_all_roles_are_listed() {
    let ended = run(&["--help"]);

    assert_eq!(ended.code, Some(0), "{ended:?}");
    for role in ["data-plane", "coordinator", "settings"] {
        assert!(ended.stdout.contains(role), "{role} is not listed: {}", ended.stdout);
    }
}

#[test]
fn given_no_settings_when_help_on_settings_is_asked_for_then_its_actions_are_listed() {
    let ended = run(&["settings", "--help"]);

    assert_eq!(ended.code, Some(0), "{ended:?}");
    for action in ["check", "show"] {
        assert!(ended.stdout.contains(action), "{action} is not listed: {}", ended.stdout);
    }
}

#[test]
fn given_a_role_when_its_help_is_asked_for_then_its_options_are_told() {
    for role in ["data-plane", "coordinator"] {
        let ended = run(&[role, "--help"]);

        assert_eq!(ended.code, Some(0), "{ended:?}");
        for option in ["--settings", "--log-level", PATH_VARIABLE] {
            assert!(ended.stdout.contains(option), "{option} is not told: {}", ended.stdout);
        }
    }
}

#[test]
fn given_a_role_that_is_not_there_when_it_is_started_then_the_line_is_refused_with_a_word_on_it() {
    let ended = run(&["load-balancer"]);

    assert_eq!(ended.code, Some(1), "{ended:?}");
    assert!(ended.stderr.contains("load-balancer"), "{}", ended.stderr);
    assert_eq!(ended.stdout, "");
}

#[test]
fn given_no_settings_file_when_a_role_starts_then_it_says_how_to_name_one() {
    for role in ["data-plane", "coordinator"] {
        let ended = run(&[role]);

        assert_eq!(ended.code, Some(2), "{ended:?}");
        assert_eq!(
            ended.stderr,
            "shaletrail: no settings file: set SHALETRAIL_BOOT or give --settings FILE\n"
        );
    }
}

#[test]
fn given_a_file_that_is_not_there_when_a_role_starts_then_its_path_is_told() {
    let path = folder("file-that-is-not-there").join("missing.conf");
    let path = path.to_str().expect("a path in UTF-8");

    for role in ["data-plane", "coordinator"] {
        let ended = run(&[role, "--settings", path]);

        assert_eq!(ended.code, Some(2), "{ended:?}");
        assert!(ended.stderr.starts_with(&format!("shaletrail: settings file {path}: ")), "{}", ended.stderr);
    }
}

#[test]
fn given_the_path_in_the_environment_when_a_role_starts_then_that_file_is_read() {
    let file = settings_file(&folder("path-in-the-environment"), "nodeName=machine-1\n");
    let mut command = shaletrail(&["coordinator"]);
    command.env(PATH_VARIABLE, &file);

    let ended = end_of(command);

    assert_eq!(ended.code, Some(2), "{ended:?}");
    assert_eq!(ended.stderr, "shaletrail: ip: missing, expected an IPv4 address\n");
}

#[test]
fn given_a_path_on_the_command_line_when_the_environment_names_another_then_the_command_line_goes_first() {
    let folder = folder("command-line-goes-first");
    let file = settings_file(&folder, &COMMON.replace("7660,7675", "7660"));
    let mut command = shaletrail(&["coordinator", "--settings", &file]);
    command.env(PATH_VARIABLE, folder.join("missing.conf"));

    let ended = end_of(command);

    assert_eq!(ended.code, Some(2), "{ended:?}");
    assert!(
        ended.stderr.starts_with("shaletrail: ephemeralPorts: '7660' found, expected "),
        "{}",
        ended.stderr
    );
}

#[test]
fn given_a_wrong_value_when_a_role_starts_then_key_value_and_what_was_expected_are_told() {
    let file = settings_file(&folder("wrong-value"), &format!("{COMMON}bounds.drainMs=soon\n"));

    for role in ["data-plane", "coordinator"] {
        let ended = run(&[role, "--settings", &file]);

        assert_eq!(ended.code, Some(2), "{ended:?}");
        assert_eq!(ended.stderr, "shaletrail: bounds.drainMs: 'soon' found, expected a number over 0\n");
    }
}

#[test]
fn given_settings_without_a_listener_that_the_role_needs_when_it_starts_then_the_listener_is_named() {
    let folder = folder("missing-listener");
    let cases = [
        ("data-plane", "", "listenersMap.ingress"),
        ("data-plane", "listenersMap.ingress=127.0.0.1:8144\n", "listenersMap.readiness"),
        ("coordinator", "", "listenersMap.controlPlane"),
        ("coordinator", "listenersMap.controlPlane=127.0.0.1:8146\n", "dataDir"),
    ];

    for (role, more, key) in cases {
        let file = settings_file(&folder, &format!("{COMMON}{more}"));

        let ended = run(&[role, "--settings", &file]);

        assert_eq!(ended.code, Some(2), "{ended:?}");
        assert_eq!(ended.stderr, format!("shaletrail: {key}: missing, the role needs it\n"));
    }
}

#[test]
fn given_a_log_level_that_is_not_there_when_a_role_starts_then_the_levels_are_told() {
    let file = settings_file(&folder("log-level"), COMMON);

    let ended = run(&["data-plane", "--settings", &file, "--log-level", "loud"]);

    assert_eq!(ended.code, Some(2), "{ended:?}");
    assert_eq!(
        ended.stderr,
        "shaletrail: --log-level: 'loud' found, expected error, warning, info or debug\n"
    );
}

#[test]
fn given_a_proper_file_when_it_is_checked_then_it_is_right() {
    let file = settings_file(&folder("proper-file-checked"), COMMON);

    let ended = run(&["settings", "check", &file]);

    assert_eq!(ended.code, Some(0), "{ended:?}");
    assert_eq!(ended.stdout, format!("{file}: right\n"));
    assert_eq!(ended.stderr, "");
}

#[test]
fn given_keys_that_are_not_known_when_a_file_is_checked_then_they_are_passed_over() {
    let file =
        settings_file(&folder("unknown-keys"), &format!("{COMMON}limits.somethingNew=7\nno value here\n"));

    let ended = run(&["settings", "check", &file]);

    assert_eq!(ended.code, Some(0), "{ended:?}");
}

#[test]
fn given_a_wrong_file_when_it_is_checked_or_shown_then_the_first_error_is_told_and_nothing_else() {
    let file = settings_file(&folder("wrong-file"), &COMMON.replace("ip=127.0.0.1", "ip=here"));

    for action in ["check", "show"] {
        let ended = run(&["settings", action, &file]);

        assert_eq!(ended.code, Some(2), "{ended:?}");
        assert_eq!(ended.stderr, "shaletrail: ip: 'here' found, expected an IPv4 address\n");
        assert_eq!(ended.stdout, "");
    }
}

#[test]
fn given_a_file_with_few_keys_when_it_is_shown_then_defaults_stand_beside_what_it_says() {
    let file = settings_file(&folder("shown"), &format!("{COMMON}bounds.graceS=6\n"));

    let ended = run(&["settings", "show", &file]);

    assert_eq!(ended.code, Some(0), "{ended:?}");
    for line in ["node_name: \"machine-1\"", "grace: 6s", "drain: 2s", "bootstrap: false", "ingress: None"] {
        assert!(ended.stdout.contains(line), "{line} is not shown: {}", ended.stdout);
    }
}
