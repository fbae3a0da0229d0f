//! The request plan of a run: everything that the clients will send, generated before the run from the seed. The same
//! scenario and seed give the same plan, whatever the fleet answers.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::scenario::{Effect, FaultKind, Scenario};

/// One planned request. Its retries are not planned: they depend on the answers.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedRequest {
    /// Time to send it, in seconds from the start of the run, including the warm-up.
    pub at_s: f64,
    pub zone: u8,
    pub class: u8,
    pub tenant: u16,
    pub key: u32,
    /// Its work in seconds of a core of speed 1.
    pub work_s: f64,
    /// The work that the client announces, which is only roughly right.
    pub hint_us: u64,
    /// Whether it exceeds its tenant's quota.
    pub over_share: bool,
}

/// First key of the flash crowds; all ordinary keys are below it.
const FIRST_CROWD_KEY: u32 = 1 << 24;
/// Sum of all tenants' quotas, as a share of the cores' capacity.
const QUOTA_SHARE_OF_CAPACITY: f64 = 0.87;

/// Draws indices with given weights. Holds the cumulative sums of the weights.
struct WeightedIndex(Vec<f64>);

impl WeightedIndex {
    fn new(weights: impl Iterator<Item = f64>) -> Self {
        let mut sum = 0.0;
        let cumulative = weights.map(|weight| {
            sum += weight;
            sum
        });
        WeightedIndex(cumulative.collect())
    }

    fn draw(&self, rng: &mut StdRng) -> usize {
        let total = self.0.last().copied().unwrap_or(0.0);
        let at = rng.random_range(0.0..1.0) * total;
        self.0.partition_point(|sum| *sum <= at).min(self.0.len() - 1)
    }
}

/// A tenant's quota of requests per second over all nodes, without retries.
pub fn quota(scenario: &Scenario, tenant: usize) -> f64 {
    scenario.capacity() * scenario.tenants[tenant].share * QUOTA_SHARE_OF_CAPACITY
}

/// Factor by which surges multiply the load at this time of the measured period.
fn load_multiplier(scenario: &Scenario, at_s: f64) -> f64 {
    let now = scenario.faults.iter().filter(|fault| is_active(fault.at_s, fault.for_s, at_s));
    now.map(|fault| if let FaultKind::Surge { times } = fault.kind { times } else { 1.0 }).product()
}

/// Whether a period that starts at `from` contains `at`. Without a length it never ends.
pub fn is_active(from: f64, length: Option<f64>, at: f64) -> bool {
    from <= at && length.is_none_or(|length| at < from + length)
}

/// A log-normally distributed number with mean 1 and this coefficient of variation.
pub fn log_normal(rng: &mut StdRng, cv: f64) -> f64 {
    let sigma = (1.0 + cv * cv).ln().sqrt();
    // The sum of twelve uniform numbers approximates a normal distribution.
    let normal = (0..12).map(|_| rng.random_range(0.0..1.0f64)).sum::<f64>() - 6.0;
    (sigma * normal - sigma * sigma / 2.0).exp()
}

/// Generates the plan in order of time, with exponentially distributed gaps between the requests.
pub fn generate(scenario: &Scenario, seed: u64) -> Vec<PlannedRequest> {
    let mut rng = StdRng::seed_from_u64(seed);
    let classes = WeightedIndex::new(scenario.classes.iter().map(|c| c.share));
    let tenants = WeightedIndex::new(scenario.tenants.iter().map(|t| t.share));
    let load = &scenario.load;
    let ranks = WeightedIndex::new((0..load.keys).map(|rank| (rank as f64 + 3.0).powf(-load.zipf)));
    let end = scenario.lead_s + scenario.seconds;
    let zones = scenario.fleet.zones.len();
    let (mut at, mut plan) = (0.0, Vec::new());
    let mut recent_by_tenant = vec![std::collections::VecDeque::new(); scenario.tenants.len()];
    loop {
        let rate = scenario.per_s() * load_multiplier(scenario, at - scenario.lead_s);
        at += -(1.0 - rng.random_range(0.0..1.0f64)).ln() / rate.max(1e-9);
        if at >= end {
            return plan;
        }
        let class = classes.draw(&mut rng);
        let tenant = tenants.draw(&mut rng);
        let rank = ranks.draw(&mut rng);
        let drifted_rank = rank as f64 + (load.drift * at).floor();
        let mut key = (drifted_rank as u64 % load.keys as u64) as u32;
        let crowd = rng.random_range(0.0..1.0);
        let measured_s = at - scenario.lead_s;
        for (n, fault) in scenario.faults.iter().enumerate() {
            let FaultKind::FlashCrowd { share } = fault.kind else { continue };
            let read = scenario.classes[class].effect == Effect::Free;
            if read && crowd < share && is_active(fault.at_s, fault.for_s, measured_s) {
                key = FIRST_CROWD_KEY + n as u32;
            }
        }
        let work_s = scenario.classes[class].work_ms / 1e3 * log_normal(&mut rng, load.work_cv);
        let hint_us = (work_s * 1e6 * rng.random_range(0.7..1.4)) as u64;
        let recent: &mut std::collections::VecDeque<f64> = &mut recent_by_tenant[tenant];
        while recent.front().is_some_and(|early| *early < at - 1.0) {
            recent.pop_front();
        }
        let over_share = recent.len() as f64 >= quota(scenario, tenant);
        if !over_share {
            recent.push_back(at);
        }
        let zone = rng.random_range(0..zones) as u8;
        let (class, tenant) = (class as u8, tenant as u16);
        plan.push(PlannedRequest { at_s: at, zone, class, tenant, key, work_s, hint_us, over_share });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_seed_gives_one_plan_with_the_configured_load() {
        let text = "name='t'\nabout=''\nseconds=40.0\nlead_s=0.0\n[load]\nper_s=200.0\n\
                    [[fault]]\ndo='surge'\ntimes=3.0\nat_s=20.0\nfor_s=10.0\n\
                    [[fault]]\ndo='flash_crowd'\nshare=0.5\nat_s=0.0\nfor_s=10.0\n";
        let scenario = Scenario::parse("t", text).expect("a scenario");
        let plan = generate(&scenario, 7);
        assert_eq!(plan, generate(&scenario, 7));
        assert_ne!(plan[..20], generate(&scenario, 8)[..20]);
        let count = |from: f64, to: f64| plan.iter().filter(|a| (from..to).contains(&a.at_s)).count() as f64;
        assert!(
            (count(0.0, 20.0) / 4_000.0 - 1.0).abs() < 0.1 && (count(20.0, 30.0) / 6_000.0 - 1.0).abs() < 0.1
        );
        let crowd = plan.iter().filter(|a| a.key >= FIRST_CROWD_KEY);
        assert!(crowd.clone().all(|a| a.at_s < 10.0) && crowd.count() > 800);
        let mean = plan.iter().map(|a| a.work_s).sum::<f64>() / plan.len() as f64;
        assert!((mean / 0.077 - 1.0).abs() < 0.1, "{mean}");
    }
}
