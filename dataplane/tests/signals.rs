//! SIGHUP and SIGTERM. This file contains only one test, because a signal reaches all tests of a process.

mod common;

use std::path::PathBuf;
use std::process::Command;

use common::coordinator::Coordinator;
use common::{run, settings};

#[test]
fn sighup_reloads_seeds_and_sigterm_shuts_down() {
    run(async {
        // given
        let first = Coordinator::start().await;
        let second = Coordinator::start_at("127.0.0.3", first.port).await;
        let path = std::env::temp_dir().join(format!("shaletrail-signals-{}.conf", first.port));
        std::fs::write(&path, settings(first.port, &["127.0.0.3"])).expect("write settings file");
        let started = settings(first.port, &["127.0.0.2"]).parse().expect("valid settings");
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let running = tokio::task::spawn_local(shaletrail_dataplane::run(started, PathBuf::from(&path), log));
        first.wait_for_connection().await;

        // when
        send("-HUP");
        first.publish(shaletrail_protocol::internal::PollResponse { isolated: true, ..Default::default() });
        second.wait_for_connection().await;
        send("-TERM");
        let ended = running.await.expect("data plane task did not panic");

        // then
        assert!(ended.is_ok(), "{ended:?}");
        second.wait_for_shutdown_notice().await;
        std::fs::remove_file(&path).expect("remove settings file");
    });
}

fn send(signal: &str) {
    let status = Command::new("kill").arg(signal).arg(std::process::id().to_string()).status();
    assert!(status.expect("run kill").success());
}
