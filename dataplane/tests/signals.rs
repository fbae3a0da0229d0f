//! SIGHUP and SIGTERM. The only test of its process, as signals reach all tests of a process.

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
        let second = Coordinator::at("127.0.0.3", first.port).await;
        let path = std::env::temp_dir().join(format!("shaletrail-signals-{}.conf", first.port));
        std::fs::write(&path, settings(first.port, &["127.0.0.3"])).expect("a settings file");
        let started = settings(first.port, &["127.0.0.2"]).parse().expect("settings");
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let running = tokio::task::spawn_local(shaletrail_dataplane::run(started, PathBuf::from(&path), log));
        first.connected().await;

        // when
        send("-HUP");
        first.publish(shaletrail_protocol::internal::PollResponse { isolated: true, ..Default::default() });
        second.connected().await;
        send("-TERM");
        let ended = running.await.expect("no panic");

        // then
        assert!(ended.is_ok(), "{ended:?}");
        second.received_shutdown_notice().await;
        std::fs::remove_file(&path).expect("the settings file");
    });
}

fn send(signal: &str) {
    let status = Command::new("kill").arg(signal).arg(std::process::id().to_string()).status();
    assert!(status.expect("kill").success());
}
