//! Replicas as processes with faults between them; the checkers see only what clients saw.

use std::path::Path;
use std::time::{Duration, Instant};

use shaletrail_fault_lab::chance::Chance;
use shaletrail_fault_lab::checker::check;
use shaletrail_fault_lab::link::Way;
use shaletrail_fault_lab::observer::{get, Observer, Writer};
use shaletrail_fault_lab::process::wait_for;
use shaletrail_fault_lab::service::{pause, Service};

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
    CutLeader,
    /// The leader is heard and hears nobody, or the other way round.
    DeafLeader,
    MuteLeader,
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
    Fault::CutLeader,
    Fault::DeafLeader,
    Fault::MuteLeader,
    Fault::SlowLinks,
    Fault::LossyLinks,
    Fault::RollingRestart,
    Fault::WipeFollower,
];

/// Changes go on through whatever single fault; a service that can't go on until the fault ends says so here.
fn goes_on(fault: Fault) -> bool {
    !matches!(fault, Fault::KillAll | Fault::SlowLinks | Fault::LossyLinks)
}

fn inject(service: &mut Service, fault: Fault, chance: &mut Chance) {
    let leader = service.wait_for_leader();
    let follower = (leader + 1 + chance.below(service.places.len() - 1)) % service.places.len();
    match fault {
        Fault::KillLeader => service.kill(leader),
        Fault::KillFollower => service.kill(follower),
        Fault::KillAll => (0..service.places.len()).for_each(|n| service.kill(n)),
        Fault::StopLeader => service.process(leader).signal("STOP"),
        Fault::StopFollower => service.process(follower).signal("STOP"),
        Fault::CutLeader => service.isolate(leader, Way::Cut, Way::Cut),
        Fault::DeafLeader => service.isolate(leader, Way::Open, Way::Cut),
        Fault::MuteLeader => service.isolate(leader, Way::Cut, Way::Open),
        Fault::SlowLinks => {
            let ms = 10 + chance.below(60) as u64;
            (0..service.places.len()).for_each(|n| service.isolate(n, Way::Slow(ms), Way::Slow(ms)));
        }
        Fault::LossyLinks => {
            let one_in = 10 + chance.below(20) as u64;
            (0..service.places.len())
                .for_each(|n| service.isolate(n, Way::Lossy(one_in), Way::Lossy(one_in)));
        }
        Fault::RollingRestart => {
            for n in 0..service.places.len() {
                service.process(n).signal("TERM");
                wait_for("a replica ends on SIGTERM", || {
                    service.places[n].process.as_mut().map(|p| p.wait_for_exit())
                });
                service.launch(n);
                service.ready(n);
            }
        }
        Fault::WipeFollower => {
            service.kill(follower);
            std::fs::remove_dir_all(&service.places[follower].data).expect("its data can be removed");
            service.launch(follower);
        }
    }
}

/// Plays the faults in an order drawn from the seed under changes, and lets the checkers judge.
fn play(name: &str, replicas: usize, faults: &[Fault], seed: u64) {
    let mut chance = Chance::new(name, seed);
    let mut service = Service::start(program(), name, replicas);
    let (ops, discovery) = (service.ops(), service.discovery());
    let writers: Vec<Writer> =
        (0..3).map(|n| Writer::start(&format!("w{n}"), ops.clone(), Duration::from_millis(15))).collect();
    let observers: Vec<Observer> = (0..4)
        .map(|n| {
            // One of them knows a single replica only.
            let known = if n == 3 { vec![discovery[0]] } else { discovery.clone() };
            Observer::start(&format!("observer {n}"), known, chance.seed + n)
        })
        .collect();
    let mut left: Vec<Fault> = faults.to_vec();
    while !left.is_empty() {
        let fault = left.swap_remove(chance.below(left.len()));
        let before = Instant::now();
        println!("{fault:?}");
        inject(&mut service, fault, &mut chance);
        if goes_on(fault) {
            let after = Instant::now();
            wait_for(&format!("a change is acknowledged in spite of {fault:?}"), || {
                writers.iter().any(|writer| writer.acknowledged_since(after) > 0).then_some(())
            });
        }
        pause(200 + chance.below(800) as u64);
        service.heal();
        let healed = Instant::now();
        wait_for("changes go on", || {
            writers.iter().all(|writer| writer.acknowledged_since(healed) > 0).then_some(())
        });
        println!("  {:.1} s, version {}", before.elapsed().as_secs_f64(), observers[0].version());
    }
    let acknowledged: Vec<_> = writers.into_iter().flat_map(Writer::stop).collect();
    let last = acknowledged.iter().map(|ack| ack.version).max().expect("some changes held");
    let seen: Vec<_> = observers.into_iter().map(|observer| observer.stop_at(last)).collect();
    let breaches = check(&seen, &acknowledged);
    assert!(breaches.is_empty(), "seed {}: {breaches:#?}", chance.seed);
    assert!(acknowledged.len() > 50, "only {} changes were acknowledged", acknowledged.len());
    let whole = |n: usize| get(service.places[n].discovery, "/registry/instances").expect("a list");
    let version = |list: &serde_json::Value| list["version"].as_u64();
    wait_for("all replicas tell the same list", || {
        let lists: Vec<_> = (0..replicas).map(whole).collect();
        lists.iter().all(|list| *list == lists[0] && version(list) >= Some(last)).then_some(())
    });
}

#[test]
fn three_replicas_lose_nothing_and_never_go_back() {
    play("three", 3, &FAULTS, 8101);
}

#[test]
fn five_replicas_lose_nothing_and_never_go_back() {
    play("five", 5, &[Fault::KillLeader, Fault::DeafLeader, Fault::StopLeader, Fault::WipeFollower], 8102);
}
