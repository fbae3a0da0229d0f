//! Tests of the command line: the output of each subcommand, and the exit codes that process supervisors rely on.

mod common;

use common::{run_to_end, settings_file, shaletrail, test_folder, ProcessOutput, SETTINGS_PATH_VARIABLE};

/// The keys that both roles require.
const COMMON_SETTINGS: &str = "\
nodeName=machine-1
ip=127.0.0.1
zone=hall-a
ephemeralPorts=7660,7675
seedNodes=127.0.0.1:8146
";

fn run(arguments: &[&str]) -> ProcessOutput {
    run_to_end(shaletrail(arguments))
}

#[test]
fn help_lists_all_subcommands() {
    let output = run(&["--help"]);

    assert_eq!(output.code, Some(0), "{output:?}");
    for role in ["data-plane", "coordinator", "settings"] {
        assert!(output.stdout.contains(role), "{role} is not listed: {}", output.stdout);
    }
}

#[test]
fn settings_help_lists_its_actions() {
    let output = run(&["settings", "--help"]);

    assert_eq!(output.code, Some(0), "{output:?}");
    for action in ["check", "show"] {
        assert!(output.stdout.contains(action), "{action} is not listed: {}", output.stdout);
    }
}

#[test]
fn role_help_lists_its_options() {
    for role in ["data-plane", "coordinator"] {
        let output = run(&[role, "--help"]);

        assert_eq!(output.code, Some(0), "{output:?}");
        for option in ["--settings", "--log-level", SETTINGS_PATH_VARIABLE] {
            assert!(output.stdout.contains(option), "{option} is not listed: {}", output.stdout);
        }
    }
}

#[test]
fn error_names_unknown_subcommand() {
    let output = run(&["load-balancer"]);

    assert_eq!(output.code, Some(1), "{output:?}");
    assert!(output.stderr.contains("load-balancer"), "{}", output.stderr);
    assert_eq!(output.stdout, "");
}

#[test]
fn error_without_settings_path_says_how_to_give_one() {
    for role in ["data-plane", "coordinator"] {
        let output = run(&[role]);

        assert_eq!(output.code, Some(2), "{output:?}");
        assert_eq!(
            output.stderr,
            "shaletrail: no settings file: set SHALETRAIL_BOOT or give --settings FILE\n"
        );
    }
}

#[test]
fn error_names_missing_file() {
    let path = test_folder("missing-file").join("missing.conf");
    let path = path.to_str().expect("a path in UTF-8");

    for role in ["data-plane", "coordinator"] {
        let output = run(&[role, "--settings", path]);

        assert_eq!(output.code, Some(2), "{output:?}");
        assert!(
            output.stderr.starts_with(&format!("shaletrail: settings file {path}: ")),
            "{}",
            output.stderr
        );
    }
}

#[test]
fn path_can_come_from_the_environment() {
    let file = settings_file(&test_folder("path-from-environment"), "nodeName=machine-1\n");
    let mut command = shaletrail(&["coordinator"]);
    command.env(SETTINGS_PATH_VARIABLE, &file);

    let output = run_to_end(command);

    assert_eq!(output.code, Some(2), "{output:?}");
    assert_eq!(output.stderr, "shaletrail: ip: missing, expected an IPv4 address\n");
}

#[test]
fn command_line_path_has_precedence() {
    let folder = test_folder("path-precedence");
    let file = settings_file(&folder, &COMMON_SETTINGS.replace("7660,7675", "7660"));
    let mut command = shaletrail(&["coordinator", "--settings", &file]);
    command.env(SETTINGS_PATH_VARIABLE, folder.join("missing.conf"));

    let output = run_to_end(command);

    assert_eq!(output.code, Some(2), "{output:?}");
    assert!(
        output.stderr.starts_with("shaletrail: ephemeralPorts: '7660' found, expected "),
        "{}",
        output.stderr
    );
}

#[test]
fn error_names_invalid_value() {
    let file =
        settings_file(&test_folder("invalid-value"), &format!("{COMMON_SETTINGS}bounds.drainMs=soon\n"));

    for role in ["data-plane", "coordinator"] {
        let output = run(&[role, "--settings", &file]);

        assert_eq!(output.code, Some(2), "{output:?}");
        assert_eq!(output.stderr, "shaletrail: bounds.drainMs: 'soon' found, expected a number over 0\n");
    }
}

#[test]
fn error_names_missing_key_of_role() {
    let folder = test_folder("missing-listener");
    let cases = [
        ("data-plane", "", "listenersMap.ingress"),
        ("data-plane", "listenersMap.ingress=127.0.0.1:8144\n", "listenersMap.readiness"),
        ("coordinator", "", "listenersMap.controlPlane"),
        ("coordinator", "listenersMap.controlPlane=127.0.0.1:8146\n", "dataDir"),
    ];

    for (role, more, key) in cases {
        let file = settings_file(&folder, &format!("{COMMON_SETTINGS}{more}"));

        let output = run(&[role, "--settings", &file]);

        assert_eq!(output.code, Some(2), "{output:?}");
        assert_eq!(output.stderr, format!("shaletrail: {key}: missing, the role needs it\n"));
    }
}

#[test]
fn unknown_log_level_lists_the_levels() {
    let file = settings_file(&test_folder("unknown-log-level"), COMMON_SETTINGS);

    let output = run(&["data-plane", "--settings", &file, "--log-level", "loud"]);

    assert_eq!(output.code, Some(2), "{output:?}");
    assert_eq!(
        output.stderr,
        "shaletrail: --log-level: 'loud' found, expected error, warning, info or debug\n"
    );
}

#[test]
fn check_accepts_valid_file() {
    let file = settings_file(&test_folder("check-valid-file"), COMMON_SETTINGS);

    let output = run(&["settings", "check", &file]);

    assert_eq!(output.code, Some(0), "{output:?}");
    assert_eq!(output.stdout, format!("{file}: right\n"));
    assert_eq!(output.stderr, "");
}

#[test]
fn check_warns_of_losses_that_too_few_zones_cannot_tolerate() {
    let places = "zones.hall-1=north\nzones.hall-2=north\nfaultTolerance.zones=1\nfaultTolerance.regions=1\n";
    let file = settings_file(&test_folder("check-few-zones"), &format!("{COMMON_SETTINGS}{places}"));

    let output = run(&["settings", "check", &file]);

    assert_eq!(output.code, Some(0), "{output:?}");
    let warning = |key: &str, present: usize| {
        format!(
            "{file}: warning: faultTolerance.{key}: 1 cannot be tolerated, this takes 3, and zones names {present}\n"
        )
    };
    assert_eq!(output.stdout, format!("{file}: right\n{}{}", warning("zones", 2), warning("regions", 1)));
}

#[test]
fn check_does_not_warn_of_losses_that_the_zones_allow() {
    let places = "zones.hall-1=a\nzones.hall-2=b\nzones.hall-3=c\n";
    let tolerance = "faultTolerance.zones=1\nfaultTolerance.regions=1\n";
    for lines in [format!("{places}{tolerance}"), tolerance.to_owned()] {
        let file = settings_file(&test_folder("check-zones"), &format!("{COMMON_SETTINGS}{lines}"));

        let output = run(&["settings", "check", &file]);

        assert_eq!(output.stdout, format!("{file}: right\n"));
    }
}

#[test]
fn check_ignores_unknown_keys() {
    let file = settings_file(
        &test_folder("unknown-keys"),
        &format!("{COMMON_SETTINGS}limits.somethingNew=7\nno value here\n"),
    );

    let output = run(&["settings", "check", &file]);

    assert_eq!(output.code, Some(0), "{output:?}");
}

#[test]
fn check_and_show_report_the_first_error() {
    let file =
        settings_file(&test_folder("invalid-file"), &COMMON_SETTINGS.replace("ip=127.0.0.1", "ip=here"));

    for action in ["check", "show"] {
        let output = run(&["settings", action, &file]);

        assert_eq!(output.code, Some(2), "{output:?}");
        assert_eq!(output.stderr, "shaletrail: ip: 'here' found, expected an IPv4 address\n");
        assert_eq!(output.stdout, "");
    }
}

#[test]
fn show_includes_defaults() {
    let file = settings_file(&test_folder("show-defaults"), &format!("{COMMON_SETTINGS}bounds.graceS=6\n"));

    let output = run(&["settings", "show", &file]);

    assert_eq!(output.code, Some(0), "{output:?}");
    for line in ["node_name: \"machine-1\"", "grace: 6s", "drain: 2s", "bootstrap: false", "ingress: None"] {
        assert!(output.stdout.contains(line), "{line} is not shown: {}", output.stdout);
    }
}
