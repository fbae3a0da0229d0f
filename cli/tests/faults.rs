//! Tests of the registry with replicas as processes and injected faults. The checkers see only what clients
//! saw.

use std::path::Path;
use std::time::{Duration, Instant};

use shaletrail_fault_lab::checker::check;
use shaletrail_fault_lab::link::LinkCondition;
use shaletrail_fault_lab::observer::{get, Observer, Writer};
use shaletrail_fault_lab::process::wait_for;
use shaletrail_fault_lab::registry::{sleep_ms, RegistryCluster};
use shaletrail_fault_lab::rng::SeededRng;

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_shaletrail-fleet"))
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    KillLeader,
    KillFollower,
    KillAll,
    StopLeader,
    StopFollower,
    PartitionLeader,
    /// The leader can send but not receive.
    LeaderCannotReceive,
    /// The leader can receive but not send.
    LeaderCannotSend,
    SlowLinks,
    LossyLinks,
    RollingRestart,
    WipeFollower,
}

const FAULTS: [Fault; 12] = [
    Fault::KillLeader,
    Fault::KillFollower,
    Fault::KillAll,
    Fault::StopLeader,
    Fault::StopFollower,
    Fault::PartitionLeader,
    Fault::LeaderCannotReceive,
    Fault::LeaderCannotSend,
    Fault::SlowLinks,
    Fault::LossyLinks,
    Fault::RollingRestart,
    Fault::WipeFollower,
];

/// Whether changes must be acknowledged while the fault lasts. Under the faults named here the service may
/// stop until they end.
fn must_make_progress(fault: Fault) -> bool {
    !matches!(fault, Fault::KillAll | Fault::SlowLinks | Fault::LossyLinks)
}

fn inject(service: &mut RegistryCluster, fault: Fault, random: &mut SeededRng) {
    let leader = service.wait_for_leader();
    let follower = (leader + 1 + random.below(service.replicas.len() - 1)) % service.replicas.len();
    match fault {
        Fault::KillLeader => service.kill(leader),
        Fault::KillFollower => service.kill(follower),
        Fault::KillAll => (0..service.replicas.len()).for_each(|n| service.kill(n)),
        Fault::StopLeader => service.process(leader).signal("STOP"),
        Fault::StopFollower => service.process(follower).signal("STOP"),
        Fault::PartitionLeader => service.isolate(leader, LinkCondition::Cut, LinkCondition::Cut),
        Fault::LeaderCannotReceive => service.isolate(leader, LinkCondition::Open, LinkCondition::Cut),
        Fault::LeaderCannotSend => service.isolate(leader, LinkCondition::Cut, LinkCondition::Open),
        Fault::SlowLinks => {
            let ms = 10 + random.below(60) as u64;
            (0..service.replicas.len())
                .for_each(|n| service.isolate(n, LinkCondition::Slow(ms), LinkCondition::Slow(ms)));
        }
        Fault::LossyLinks => {
            let one_in = 10 + random.below(20) as u64;
            (0..service.replicas.len())
                .for_each(|n| service.isolate(n, LinkCondition::Lossy(one_in), LinkCondition::Lossy(one_in)));
        }
        Fault::RollingRestart => {
            for n in 0..service.replicas.len() {
                service.process(n).signal("TERM");
                wait_for("a replica ends on SIGTERM", || {
                    service.replicas[n].process.as_mut().map(|p| p.wait_for_exit())
                });
                service.launch(n);
                service.wait_until_ready(n);
            }
        }
        Fault::WipeFollower => {
            service.kill(follower);
            std::fs::remove_dir_all(&service.replicas[follower].data).expect("its data can be removed");
            service.launch(follower);
        }
    }
}

/// Injects the faults in a random order while clients write and watch, and then runs the checkers.
fn run_faults(name: &str, replicas: usize, faults: &[Fault], seed: u64) {
    let mut random = SeededRng::new(name, seed);
    let mut service = RegistryCluster::start(program(), name, replicas);
    let (ops, discovery) = (service.ops(), service.discovery());
    let writers: Vec<Writer> =
        (0..3).map(|n| Writer::start(&format!("w{n}"), ops.clone(), Duration::from_millis(15))).collect();
    let observers: Vec<Observer> = (0..4)
        .map(|n| {
            // One observer knows only a single replica.
            let known = if n == 3 { vec![discovery[0]] } else { discovery.clone() };
            Observer::start(&format!("observer {n}"), known, random.seed + n)
        })
        .collect();
    let mut remaining: Vec<Fault> = faults.to_vec();
    while !remaining.is_empty() {
        let fault = remaining.swap_remove(random.below(remaining.len()));
        let before = Instant::now();
        println!("{fault:?}");
        inject(&mut service, fault, &mut random);
        if must_make_progress(fault) {
            let after = Instant::now();
            wait_for(&format!("a change is acknowledged in spite of {fault:?}"), || {
                writers.iter().any(|writer| writer.acknowledged_since(after) > 0).then_some(())
            });
        }
        sleep_ms(200 + random.below(800) as u64);
        service.heal();
        let healed = Instant::now();
        wait_for("all writers continue", || {
            writers.iter().all(|writer| writer.acknowledged_since(healed) > 0).then_some(())
        });
        println!("  {:.1} s, version {}", before.elapsed().as_secs_f64(), observers[0].version());
    }
    let acknowledged: Vec<_> = writers.into_iter().flat_map(Writer::stop).collect();
    let last = acknowledged.iter().map(|ack| ack.version).max().expect("an acknowledged change");
    let seen: Vec<_> = observers.into_iter().map(|observer| observer.stop_at(last)).collect();
    let violations = check(&seen, &acknowledged);
    assert!(violations.is_empty(), "seed {}: {violations:#?}", random.seed);
    assert!(acknowledged.len() > 50, "only {} changes were acknowledged", acknowledged.len());
    let list_of = |n: usize| get(service.replicas[n].discovery, "/registry/instances").expect("a list");
    let version = |list: &serde_json::Value| list["version"].as_u64();
    wait_for("all replicas return the same list", || {
        let lists: Vec<_> = (0..replicas).map(list_of).collect();
        lists.iter().all(|list| *list == lists[0] && version(list) >= Some(last)).then_some(())
    });
}

#[test]
fn three_replicas_lose_no_acknowledged_change_and_versions_never_decrease() {
    run_faults("three", 3, &FAULTS, 8101);
}

#[test]
fn five_replicas_lose_no_acknowledged_change_and_versions_never_decrease() {
    run_faults(
        "five",
        5,
        &[Fault::KillLeader, Fault::LeaderCannotReceive, Fault::StopLeader, Fault::WipeFollower],
        8102,
    );
}
