//! All that clients will ask in a run, drawn ahead from the seed. Pure: the same scenario and seed give the same
//! plan, whatever the fleet answers.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::scenario::{Effect, Scenario, What};

/// One request, before any of its tries.
#[derive(Clone, Debug, PartialEq)]
pub struct Asked {
    /// From the start of the run, the lead included.
    pub at_s: f64,
    pub zone: u8,
    pub class: u8,
    pub tenant: u16,
    pub key: u32,
    /// What it costs a core of speed 1.
    pub work_s: f64,
    /// The work that the client says, roughly.
    pub hint_us: u64,
    /// Beyond its tenant's share.
    pub over_share: bool,
}

/// Keys from here on are those of flash crowds.
const CROWD_KEYS: u32 = 1 << 24;
/// All tenants' quotas together, of what the cores can do.
const QUOTA_OF_CAPACITY: f64 = 0.87;

/// Draws numbers with given weights.
struct Weighted(Vec<f64>);

impl Weighted {
    fn new(weights: impl Iterator<Item = f64>) -> Self {
        let mut sum = 0.0;
        let sums = weights.map(|weight| {
            sum += weight;
            sum
        });
        Weighted(sums.collect())
    }

    fn draw(&self, chance: &mut StdRng) -> usize {
        let all = self.0.last().copied().unwrap_or(0.0);
        let at = chance.random_range(0.0..1.0) * all;
        self.0.partition_point(|sum| *sum <= at).min(self.0.len() - 1)
    }
}

/// A tenant's quota of first tries a second, over all nodes.
pub fn quota(scenario: &Scenario, tenant: usize) -> f64 {
    scenario.capacity() * scenario.tenants[tenant].share * QUOTA_OF_CAPACITY
}

/// By how much the load is multiplied at a time of the judged part.
fn surge(scenario: &Scenario, at_s: f64) -> f64 {
    let now = scenario.faults.iter().filter(|fault| during(fault.at_s, fault.for_s, at_s));
    now.map(|fault| if let What::Surge { times } = fault.what { times } else { 1.0 }).product()
}

pub fn during(from: f64, length: Option<f64>, at: f64) -> bool {
    from <= at && length.is_none_or(|length| at < from + length)
}

/// Log-normal with mean 1 and this coefficient of variation.
pub fn log_normal(chance: &mut StdRng, cv: f64) -> f64 {
    let sigma = (1.0 + cv * cv).ln().sqrt();
    // A sum of twelve even draws stands in for a normal one.
    let normal = (0..12).map(|_| chance.random_range(0.0..1.0f64)).sum::<f64>() - 6.0;
    (sigma * normal - sigma * sigma / 2.0).exp()
}

pub fn draw(scenario: &Scenario, seed: u64) -> Vec<Asked> {
    let mut chance = StdRng::seed_from_u64(seed);
    let classes = Weighted::new(scenario.classes.iter().map(|c| c.share));
    let tenants = Weighted::new(scenario.tenants.iter().map(|t| t.share));
    let load = &scenario.load;
    let ranks = Weighted::new((0..load.keys).map(|rank| (rank as f64 + 3.0).powf(-load.zipf)));
    let end = scenario.lead_s + scenario.seconds;
    let zones = scenario.fleet.zones.len();
    let (mut at, mut plan) = (0.0, Vec::new());
    let mut sent = vec![std::collections::VecDeque::new(); scenario.tenants.len()];
    loop {
        let rate = scenario.per_s() * surge(scenario, at - scenario.lead_s);
        at += -(1.0 - chance.random_range(0.0..1.0f64)).ln() / rate.max(1e-9);
        if at >= end {
            return plan;
        }
        let class = classes.draw(&mut chance);
        let tenant = tenants.draw(&mut chance);
        let rank = ranks.draw(&mut chance);
        let drifted = rank as f64 + (load.drift * at).floor();
        let mut key = (drifted as u64 % load.keys as u64) as u32;
        let crowd = chance.random_range(0.0..1.0);
        let judged = at - scenario.lead_s;
        for (n, fault) in scenario.faults.iter().enumerate() {
            let What::FlashCrowd { share } = fault.what else { continue };
            let read = scenario.classes[class].effect == Effect::Free;
            if read && crowd < share && during(fault.at_s, fault.for_s, judged) {
                key = CROWD_KEYS + n as u32;
            }
        }
        let work_s = scenario.classes[class].work_ms / 1e3 * log_normal(&mut chance, load.work_cv);
        let hint_us = (work_s * 1e6 * chance.random_range(0.7..1.4)) as u64;
        let recent: &mut std::collections::VecDeque<f64> = &mut sent[tenant];
        while recent.front().is_some_and(|early| *early < at - 1.0) {
            recent.pop_front();
        }
        let over_share = recent.len() as f64 >= quota(scenario, tenant);
        if !over_share {
            recent.push_back(at);
        }
        let zone = chance.random_range(0..zones) as u8;
        let (class, tenant) = (class as u8, tenant as u16);
        plan.push(Asked { at_s: at, zone, class, tenant, key, work_s, hint_us, over_share });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_seed_gives_one_plan_and_the_load_that_was_asked_for() {
        let text = "name='t'\nabout=''\nseconds=40.0\nlead_s=0.0\n[load]\nper_s=200.0\n\
                    [[fault]]\ndo='surge'\ntimes=3.0\nat_s=20.0\nfor_s=10.0\n\
                    [[fault]]\ndo='flash_crowd'\nshare=0.5\nat_s=0.0\nfor_s=10.0\n";
        let scenario = Scenario::parse("t", text).expect("a scenario");
        let plan = draw(&scenario, 7);
        assert_eq!(plan, draw(&scenario, 7));
        assert_ne!(plan[..20], draw(&scenario, 8)[..20]);
        let count = |from: f64, to: f64| plan.iter().filter(|a| (from..to).contains(&a.at_s)).count() as f64;
        assert!(
            (count(0.0, 20.0) / 4_000.0 - 1.0).abs() < 0.1 && (count(20.0, 30.0) / 6_000.0 - 1.0).abs() < 0.1
        );
        let crowd = plan.iter().filter(|a| a.key >= CROWD_KEYS);
        assert!(crowd.clone().all(|a| a.at_s < 10.0) && crowd.count() > 800);
        let mean = plan.iter().map(|a| a.work_s).sum::<f64>() / plan.len() as f64;
        assert!((mean / 0.077 - 1.0).abs() < 0.1, "{mean}");
    }
}
