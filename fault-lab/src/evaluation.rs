//! Evaluates a run: checks the rules and computes the metrics, from what the emulated clients and servers recorded
//! alone. No I/O.
//!
//! A request's *worth* is its class's worth times its work; it is what the score `served_worth` counts.

use std::collections::{BTreeMap, HashMap};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::backends::{AttemptOutcome, AttemptRecord, OverloadCrash, ORIGIN};
use crate::clients::{Try, TryOutcome};
use crate::fleet::{StateNotice, ANSWER_GRACE_S, DRAIN_GRACE_S};
use crate::plan::PlannedRequest;
use crate::scenario::{Effect, Scenario};

/// Everything that was recorded in one run. Times are in seconds from the start of the run, lead time included.
#[derive(Clone)]
pub struct RunRecord {
    pub scenario: Scenario,
    pub seed: u64,
    /// The requests that the clients were to send, by request number.
    pub plan: Vec<PlannedRequest>,
    /// The tries of these requests, as the clients recorded them.
    pub tries: Vec<Try>,
    /// The attempts at the cache servers and the origin, as those recorded them.
    pub seen: Vec<AttemptRecord>,
    /// Stops of servers because of overload.
    pub falls: Vec<OverloadCrash>,
    pub notices: Vec<StateNotice>,
    /// When each version of the server list was first sent to a node: time and version.
    pub versions: Vec<(f64, u64)>,
    /// Number of attempts with a request id that no client had sent.
    pub foreign_ids: u64,
    /// Number of messages between nodes that were longer than allowed.
    pub long_messages: u64,
    /// By node: the intervals in which a fault of the scenario had killed or stopped its process.
    pub downtimes: Vec<Vec<(f64, f64)>>,
    /// Names of nodes that exited or panicked without a fault of the scenario.
    pub crashed: Vec<String>,
    /// Zone of each server, by its number.
    pub server_zones: Vec<u8>,
    pub bands: Vec<FaultInterval>,
    /// Delay of each request's actual send after its planned send, in microseconds.
    pub lateness: Histogram<u64>,
    pub cpu: Cpu,
}

/// Mean number of cores in use, by CPU time, from the time the fleet is ready to the end of the run. Processes that
/// ended meanwhile are not counted.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Cpu {
    /// The lab's own process: all emulated servers, clients and links.
    pub lab: f64,
    pub nodes: f64,
    pub replicas: f64,
    /// Number of cores of the machine.
    pub of: usize,
}

/// The interval in which a fault was active, in seconds from the start of the run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FaultInterval {
    /// Name of the variant of [`What`](crate::scenario::What).
    pub name: String,
    pub from_s: f64,
    /// `None` when the fault was active until the end.
    pub to_s: Option<f64>,
}

/// The platform's tolerance for latency of sockets, which it adds to each time limit.
const SOCKET_GRACE_S: f64 = 0.05;
/// Tolerance for the lab's own measurement error, added to each time limit for nodes.
const MEASUREMENT_GRACE_S: f64 = 0.03;
/// Factor by which worth beyond a tenant's share counts.
const OVER_SHARE_FACTOR: f64 = 0.05;
/// Length of the sliding window of `worst_window`.
const WINDOW_S: usize = 10;
/// The served share has recovered from a fault when it is at most `RECOVERY_TOLERANCE` below its mean over the
/// `BASELINE_S` seconds before the fault, for `RECOVERY_HOLD_S` seconds in a row.
const RECOVERY_TOLERANCE: f64 = 0.02;
const RECOVERY_HOLD_S: usize = 3;
const BASELINE_S: usize = 5;
/// An overload of the origin breaks the rule `origin_by_cold` when more than this share of its load came from misses
/// at cold servers.
const MAX_COLD_SHARE: f64 = 0.3;

/// Outcome of a run, judged by the scenario's conditions for a pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    Pass,
    Fail,
    /// The lab sent its requests too late, so that the run proves nothing.
    Void,
}

/// Outcomes of the requests sent in one second, of all requests or those of one class or zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OutcomeCounts {
    pub asked: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
}

impl OutcomeCounts {
    /// Share of the requests that was served; 1 when there were none.
    pub fn share(&self) -> f64 {
        if self.asked == 0 {
            return 1.0;
        }
        self.served as f64 / self.asked as f64
    }
}

/// Latency of the requests that were served, retries included, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Latency {
    pub p50_ms: f64,
    pub p90_ms: f64,
    pub p99_ms: f64,
    pub max_ms: f64,
}

/// The evaluation of one run: its verdict, its score and the measurements behind them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    pub scenario: String,
    pub verdict: Verdict,
    pub seed: u64,
    /// Why the verdict is not `pass`; empty when it is.
    pub reasons: Vec<String>,
    /// The score, as BRIEF defines it: 35% `whole`, 15% `worst_window`, 40% the worst class, 10% the worst tenant.
    pub served_worth: f64,
    /// Share of all requested worth that was served.
    pub whole: f64,
    /// Requested worth per second, of which the share `whole` was served.
    pub worth_asked_per_s: f64,
    /// Share served in the worst 10 s.
    pub worst_window: f64,
    pub by_class: BTreeMap<String, f64>,
    pub by_tenant: BTreeMap<String, f64>,
    /// Share of the requests sent in each second of the measurement period that were served.
    pub served_share_per_s: Vec<f64>,
    /// Longest time from the end of a fault until the served share has recovered; `None` when no fault ends, or when
    /// the share does not recover from one.
    pub recovery_s: Option<f64>,
    pub recovered: bool,
    pub requests: u64,
    /// Tries by the client, per request.
    pub tries_per_request: f64,
    /// Attempts by the nodes at the cache servers and the origin, per request.
    pub attempts_per_request: f64,
    pub origin_fetches_per_request: f64,
    /// Cache hits as a share of all hits and misses of reads.
    pub hit_share: f64,
    /// Attempts at cache servers of another zone than the node's, per request.
    pub crossings_per_request: f64,
    pub lateness_p99_ms: f64,
    pub lateness_max_ms: f64,
    pub cpu: Cpu,
    pub latency: BTreeMap<String, Latency>,
    /// Number of violations of each rule.
    pub rules: BTreeMap<String, u64>,
    /// How often the origin stopped because of overload.
    pub origin_stops: u64,
    pub bands: Vec<FaultInterval>,
    /// Length of the load before the measurement period. The times in `bands` count from the start of the run.
    pub lead_s: f64,
    /// Outcomes in each second of the measurement period, for `all`, each `class NAME` and each `zone NAME`.
    pub per_s: BTreeMap<String, Vec<OutcomeCounts>>,
    /// Attempts by the nodes at the cache servers and the origin, in each second.
    pub attempts_per_s: Vec<u64>,
    /// Reads at the origin in each second.
    pub origin_per_s: Vec<u64>,
    /// By zone: attempts at its cache servers in each second.
    pub zone_attempts_per_s: BTreeMap<String, Vec<u64>>,
    /// When each version of the server list was first sent to a node: seconds from the start of the measurement period,
    /// and version.
    pub versions: Vec<(f64, u64)>,
}

/// Outcome of a request after all its tries.
struct Outcome {
    answer: TryOutcome,
    after_s: f64,
    tries: u64,
}

fn outcomes(run: &RunRecord) -> Vec<Option<Outcome>> {
    let mut all: Vec<Option<Outcome>> = run.plan.iter().map(|_| None).collect();
    let mut order: Vec<&Try> = run.tries.iter().collect();
    order.sort_by_key(|one| (one.request, one.try_index));
    for one in order {
        let after_s = one.end_s - run.plan[one.request as usize].at_s;
        let tries = u64::from(one.try_index) + 1;
        all[one.request as usize] = Some(Outcome { answer: one.outcome, after_s, tries });
    }
    all
}

/// Share of its worth that a request earned, from 0 to 1.
fn earned(scenario: &Scenario, asked: &PlannedRequest, outcome: Option<&Outcome>) -> f64 {
    let class = &scenario.classes[asked.class as usize];
    match outcome {
        Some(e) if e.answer == TryOutcome::Served && e.after_s <= class.wanted_ms / 1e3 => 1.0,
        Some(e) if e.answer == TryOutcome::Served && e.after_s <= class.give_up_ms / 1e3 => class.late_worth,
        _ => 0.0,
    }
}

// ---- Rules ----------------------------------------------------------------------------------------------

fn was_down(run: &RunRecord, node: u16, from: f64, to: f64) -> bool {
    let times = run.downtimes.get(usize::from(node));
    times.is_some_and(|times| times.iter().any(|(left, back)| *left <= to && from <= *back))
}

/// Rule `lost`: each try gets one complete response that was made for its request, unless its node was down.
fn count_lost(run: &RunRecord) -> u64 {
    let broken = |one: &&Try| {
        one.outcome == TryOutcome::WrongBody
            || one.outcome == TryOutcome::ConnectionLost && !was_down(run, one.node, one.sent_s, one.end_s)
    };
    run.tries.iter().filter(broken).count() as u64
}

/// Rule `late`: each response arrives before its client's deadline, with the platform's grace time.
fn count_late(run: &RunRecord) -> u64 {
    let most = ANSWER_GRACE_S + SOCKET_GRACE_S + MEASUREMENT_GRACE_S;
    let late = |one: &&Try| {
        let over = one.outcome == TryOutcome::TimedOut || one.end_s > one.deadline_s + most;
        over && one.outcome != TryOutcome::Unreachable && !was_down(run, one.node, one.sent_s, one.end_s)
    };
    run.tries.iter().filter(late).count() as u64
}

/// Rule `repeated_effect`: no write takes effect twice. A single-shot write must not even be sent again when an
/// earlier attempt may have taken effect.
fn count_repeated_effects(run: &RunRecord) -> u64 {
    let request: HashMap<u64, u32> = run.tries.iter().map(|one| (one.id, one.request)).collect();
    let mut ran: HashMap<u32, u64> = HashMap::new();
    for seen in run.seen.iter().filter(|seen| seen.write) {
        let Some(number) = request.get(&seen.id) else { continue };
        let class = &run.scenario.classes[run.plan[*number as usize].class as usize];
        let counts = match class.effect {
            Effect::Free => false,
            Effect::Guarded => seen.outcome == AttemptOutcome::Served,
            Effect::SingleShot => matches!(
                seen.outcome,
                AttemptOutcome::Served | AttemptOutcome::Error | AttemptOutcome::Aborted
            ),
        };
        if counts {
            *ran.entry(*number).or_default() += 1;
        }
    }
    ran.values().map(|n| n - 1).sum()
}

/// Rule `after_drain`: a node sends nothing to a server once the drain grace time is over, counted from when discovery
/// told the node that the server leaves.
fn count_after_drain(run: &RunRecord) -> u64 {
    let node: HashMap<u64, u16> = run.tries.iter().map(|one| (one.id, one.node)).collect();
    let mut notices: HashMap<(u16, u16), Vec<(f64, bool)>> = HashMap::new();
    for one in &run.notices {
        notices.entry((one.node, one.server)).or_default().push((one.at_s, one.leaves));
    }
    let most = DRAIN_GRACE_S + SOCKET_GRACE_S + MEASUREMENT_GRACE_S;
    let late = |seen: &&AttemptRecord| {
        let Some(notices) = node.get(&seen.id).and_then(|node| notices.get(&(*node, seen.server))) else {
            return false;
        };
        let before = notices.iter().rfind(|(at, _)| *at + most < seen.at_s);
        let in_grace = notices.iter().filter(|(at, _)| *at + most >= seen.at_s && *at <= seen.at_s);
        before.is_some_and(|(_, leaves)| *leaves) && in_grace.clone().all(|(_, leaves)| *leaves)
    };
    run.seen.iter().filter(late).count() as u64
}

/// Rule `cold_pushed_over`: no cache server is overloaded while cold until it stops.
fn count_cold_overloads(run: &RunRecord) -> u64 {
    run.falls.iter().filter(|fall| fall.server != ORIGIN).count() as u64
}

/// Rule `origin_by_cold`: the origin does not stop from an overload caused by misses at cold servers.
fn count_origin_overloads_by_cold(run: &RunRecord) -> u64 {
    let cold: HashMap<u64, bool> =
        run.seen.iter().filter(|s| s.outcome == AttemptOutcome::Miss).map(|s| (s.id, s.cold)).collect();
    let by_cold = |fall: &&OverloadCrash| {
        let window = fall.at_s - run.scenario.origin.fall_s..=fall.at_s;
        let load = run.seen.iter().filter(|s| s.server == ORIGIN && window.contains(&s.at_s));
        let (all, of_cold) = load.fold((0, 0), |(all, of_cold), seen| {
            (all + 1, of_cold + usize::from(cold.get(&seen.id) == Some(&true)))
        });
        all > 0 && of_cold as f64 > MAX_COLD_SHARE * f64::from(all)
    };
    run.falls.iter().filter(|fall| fall.server == ORIGIN).filter(by_cold).count() as u64
}

fn count_violations(run: &RunRecord) -> BTreeMap<String, u64> {
    [
        ("lost", count_lost(run)),
        ("late", count_late(run)),
        ("repeated_effect", count_repeated_effects(run)),
        ("after_drain", count_after_drain(run)),
        ("cold_pushed_over", count_cold_overloads(run)),
        ("origin_by_cold", count_origin_overloads_by_cold(run)),
        ("foreign_ids", run.foreign_ids),
        ("long_messages", run.long_messages),
        ("crashed", run.crashed.len() as u64),
    ]
    .map(|(name, count)| (name.to_owned(), count))
    .into()
}

// ---- Metrics --------------------------------------------------------------------------------------------

/// Requested and earned worth of a group of requests.
#[derive(Clone, Copy, Default)]
struct Worth {
    asked: f64,
    earned: f64,
}

impl Worth {
    fn share(&self) -> f64 {
        if self.asked > 0.0 {
            // A class may earn more than is counted as requested, because of the factor for worth beyond the share.
            (self.earned / self.asked).min(1.0)
        } else {
            1.0
        }
    }
}

/// Worth that one tenant requested and earned in one second.
#[derive(Clone, Copy, Default)]
struct TenantWorth {
    /// Requested within its share.
    within: f64,
    /// Requested beyond its share.
    beyond: f64,
    earned: f64,
}

impl TenantWorth {
    /// Factors for requested and earned worth, because worth beyond the tenant's share counts only in part. Which of
    /// its requests were served does not matter: any of them can be those beyond the share.
    fn factors(&self) -> (f64, f64) {
        let asked = self.within + OVER_SHARE_FACTOR * self.beyond;
        let earned = self.earned.min(self.within) + OVER_SHARE_FACTOR * (self.earned - self.within).max(0.0);
        let ratio = |counted: f64, all: f64| if all > 0.0 { counted / all } else { 1.0 };
        (ratio(asked, self.within + self.beyond), ratio(earned, self.earned))
    }
}

fn worth_by_tenant_and_second(
    run: &RunRecord,
    outcomes: &[Option<Outcome>],
    second: impl Fn(f64) -> Option<usize>,
) -> HashMap<(u16, usize), TenantWorth> {
    let mut shares: HashMap<_, TenantWorth> = HashMap::new();
    for (asked, outcome) in run.plan.iter().zip(outcomes) {
        let Some(second) = second(asked.at_s) else { continue };
        let share = shares.entry((asked.tenant, second)).or_default();
        let worth = run.scenario.classes[asked.class as usize].worth * asked.work_s;
        *if asked.over_share { &mut share.beyond } else { &mut share.within } += worth;
        share.earned += worth * earned(&run.scenario, asked, outcome.as_ref());
    }
    shares
}

/// Seconds from the end of a fault (`to_s`) until the served share has recovered, by the rule at
/// `RECOVERY_TOLERANCE`; `None` when it does not. `shares` holds the served share of each second.
pub fn recovery(shares: &[f64], from_s: f64, to_s: f64) -> Option<f64> {
    let begin = (from_s.max(0.0) as usize).min(shares.len());
    let before = &shares[begin.saturating_sub(BASELINE_S)..begin];
    let baseline = if before.is_empty() { 1.0 } else { before.iter().sum::<f64>() / before.len() as f64 };
    // A fault that ends at a whole second is reverted slightly later; the 0.1 s keep that second in the search.
    let end = (to_s - 0.1).max(0.0).ceil() as usize;
    let recovered = (end..shares.len().saturating_sub(RECOVERY_HOLD_S - 1)).find(|n| {
        shares[*n..*n + RECOVERY_HOLD_S].iter().all(|share| *share >= baseline - RECOVERY_TOLERANCE)
    })?;
    Some((recovered as f64 - to_s).max(0.0))
}

fn quantiles(mut times: Vec<f64>) -> Latency {
    if times.is_empty() {
        return Latency::default();
    }
    times.sort_by(f64::total_cmp);
    let at = |q: f64| times[((times.len() - 1) as f64 * q) as usize] * 1e3;
    Latency { p50_ms: at(0.5), p90_ms: at(0.9), p99_ms: at(0.99), max_ms: at(1.0) }
}

/// Computes the metrics and rule violations of a run, and its verdict against the scenario's `hold` bounds.
pub fn evaluate(run: &RunRecord) -> Report {
    let scenario = &run.scenario;
    let lead = scenario.lead_s;
    let seconds = scenario.seconds.ceil() as usize;
    let second = |at_s: f64| (at_s >= lead).then_some((at_s - lead) as usize).filter(|s| *s < seconds);
    let outcomes = outcomes(run);
    let (mut whole, mut windows) = (Worth::default(), vec![Worth::default(); seconds]);
    let mut classes = vec![Worth::default(); scenario.classes.len()];
    let mut tenants = vec![Worth::default(); scenario.tenants.len()];
    let mut per_s: BTreeMap<String, Vec<OutcomeCounts>> = BTreeMap::new();
    let mut times: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    let (mut requests, mut tries) = (0_u64, 0);
    let shares = worth_by_tenant_and_second(run, &outcomes, second);
    for (asked, outcome) in run.plan.iter().zip(&outcomes) {
        let Some(second) = second(asked.at_s) else { continue };
        let class = &scenario.classes[asked.class as usize];
        let worth = class.worth * asked.work_s;
        let got = worth * earned(scenario, asked, outcome.as_ref());
        let (asked_counts, earned_counts) = shares[&(asked.tenant, second)].factors();
        for sum in [&mut whole, &mut windows[second], &mut classes[asked.class as usize]] {
            sum.asked += worth * asked_counts;
            sum.earned += got * earned_counts;
        }
        requests += 1;
        tries += outcome.as_ref().map_or(0, |e| e.tries);
        let answer = outcome.as_ref().map_or(TryOutcome::TimedOut, |e| e.answer);
        let zone = &scenario.fleet.zones[usize::from(asked.zone)];
        for name in ["all".to_owned(), format!("class {}", class.name), format!("zone {zone}")] {
            let count =
                &mut per_s.entry(name).or_insert_with(|| vec![OutcomeCounts::default(); seconds])[second];
            count.asked += 1;
            match answer {
                TryOutcome::Served => count.served += 1,
                TryOutcome::Refused => count.refused += 1,
                _ => count.failed += 1,
            }
        }
        if let (TryOutcome::Served, Some(outcome)) = (answer, outcome) {
            times.entry(class.name.clone()).or_default().push(outcome.after_s);
            times.entry("all".to_owned()).or_default().push(outcome.after_s);
        }
    }
    for ((tenant, _), share) in &shares {
        tenants[usize::from(*tenant)].asked += share.within;
        tenants[usize::from(*tenant)].earned += share.earned.min(share.within);
    }
    let sliding = windows.windows(WINDOW_S.min(seconds)).map(|window| {
        let sum = |of: fn(&Worth) -> f64| window.iter().map(of).sum();
        Worth { asked: sum(|w| w.asked), earned: sum(|w| w.earned) }.share()
    });
    let worst_window = sliding.fold(1.0, f64::min);
    let least = |all: &[Worth]| all.iter().map(Worth::share).fold(1.0, f64::min);
    let served_worth =
        0.35 * whole.share() + 0.15 * worst_window + 0.4 * least(&classes) + 0.1 * least(&tenants);
    let served: Vec<f64> =
        per_s.get("all").map(|all| all.iter().map(OutcomeCounts::share).collect()).unwrap_or_default();

    let in_period = |seen: &&AttemptRecord| second(seen.at_s).is_some();
    let seen: Vec<&AttemptRecord> = run.seen.iter().filter(in_period).collect();
    let (mut attempts_per_s, mut origin_per_s) = (vec![0; seconds], vec![0; seconds]);
    let mut zone_attempts: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    let (mut crossings, mut hits, mut misses, mut fetches) = (0, 0_u64, 0_u64, 0);
    for seen in &seen {
        let Some(second) = second(seen.at_s) else { continue };
        attempts_per_s[second] += 1;
        hits += u64::from(seen.outcome == AttemptOutcome::Hit);
        misses += u64::from(seen.outcome == AttemptOutcome::Miss && !seen.write);
        if seen.server == ORIGIN {
            fetches += u64::from(!seen.write);
            origin_per_s[second] += u64::from(!seen.write);
            continue;
        }
        let zone = run.server_zones.get(usize::from(seen.server)).copied().unwrap_or(0);
        crossings += u64::from(zone != seen.zone);
        let name = scenario.fleet.zones[usize::from(zone)].clone();
        zone_attempts.entry(name).or_insert_with(|| vec![0; seconds])[second] += 1;
    }
    let per = |n: u64| n as f64 / requests.max(1) as f64;

    let ends = run.bands.iter().filter_map(|band| Some((band.from_s - lead, band.to_s? - lead)));
    let recoveries: Vec<_> = ends.map(|(from, to)| recovery(&served, from, to)).collect();
    let recovered = recoveries.iter().all(Option::is_some);
    let recovery_s = recoveries.into_iter().flatten().reduce(f64::max).filter(|_| recovered);
    let name = |n: usize| scenario.classes[n].name.clone();
    let late = |q: f64| run.lateness.value_at_quantile(q) as f64 / 1e3;
    let mut report = Report {
        scenario: scenario.name.clone(),
        verdict: Verdict::Pass,
        seed: run.seed,
        reasons: Vec::new(),
        served_worth,
        whole: whole.share(),
        worth_asked_per_s: whole.asked / scenario.seconds,
        worst_window,
        by_class: classes.iter().enumerate().map(|(n, worth)| (name(n), worth.share())).collect(),
        by_tenant: scenario.tenants.iter().zip(&tenants).map(|(t, w)| (t.name.clone(), w.share())).collect(),
        served_share_per_s: served,
        recovery_s,
        recovered,
        requests,
        tries_per_request: per(tries),
        attempts_per_request: per(seen.len() as u64),
        origin_fetches_per_request: per(fetches),
        hit_share: hits as f64 / (hits + misses).max(1) as f64,
        crossings_per_request: per(crossings),
        lateness_p99_ms: late(0.99),
        lateness_max_ms: late(1.0),
        cpu: run.cpu,
        latency: times.into_iter().map(|(name, times)| (name, quantiles(times))).collect(),
        rules: count_violations(run),
        origin_stops: run.falls.iter().filter(|fall| fall.server == ORIGIN).count() as u64,
        bands: run.bands.clone(),
        lead_s: lead,
        per_s,
        attempts_per_s,
        origin_per_s,
        zone_attempts_per_s: zone_attempts,
        versions: run.versions.iter().map(|(at, version)| (at - lead, *version)).collect(),
    };
    report.reasons = reasons(scenario, &report);
    if report.lateness_p99_ms > scenario.lateness_ms {
        report.verdict = Verdict::Void;
        report.reasons.insert(0, lateness_reason(scenario, &report));
    } else if !report.reasons.is_empty() {
        report.verdict = Verdict::Fail;
    }
    report
}

fn lateness_reason(scenario: &Scenario, report: &Report) -> String {
    format!(
        "void: requests were sent {:.1} ms late (p99), more than the {:.1} ms allowed",
        report.lateness_p99_ms, scenario.lateness_ms
    )
}

fn reasons(scenario: &Scenario, report: &Report) -> Vec<String> {
    let hold = &scenario.hold;
    let mut reasons = Vec::new();
    let broken: Vec<String> =
        report.rules.iter().filter(|(_, n)| **n > 0).map(|(name, n)| format!("{name} {n}")).collect();
    if report.rules.values().sum::<u64>() > hold.breaches {
        reasons.push(format!("rule violations: {}", broken.join(", ")));
    }
    let mut least = |name: &str, bound: Option<f64>, value: f64| {
        if let Some(bound) = bound.filter(|bound| value < *bound) {
            reasons.push(format!("{name} is {value:.3}, below the required {bound}"));
        }
    };
    least("served_worth", hold.served_worth, report.served_worth);
    let worst = report.by_class.values().copied().fold(1.0, f64::min);
    least("the worst class", hold.worst_class, worst);
    let mut most = |name: &str, bound: Option<f64>, value: f64| {
        if let Some(bound) = bound.filter(|bound| value > *bound) {
            reasons.push(format!("{name} is {value:.3}, above the allowed {bound}"));
        }
    };
    most("attempts_per_request", hold.attempts_per_request, report.attempts_per_request);
    most("origin_fetches_per_request", hold.origin_fetches_per_request, report.origin_fetches_per_request);
    if let Some(bound) = hold.recovery_s {
        match report.recovery_s {
            Some(after) if after > bound => {
                reasons.push(format!("recovery took {after:.1} s, longer than the allowed {bound} s"));
            }
            None if !report.recovered => {
                reasons.push("the served share did not recover after a fault".to_owned())
            }
            _ => {}
        }
    }
    reasons
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::clients::TryOutcome;

    /// A run without violations: two nodes, two servers, one request of each of four classes every 0.1 s, all served.
    fn good_run() -> RunRecord {
        let text = "name='t'\nabout=''\nseconds=12.0\nlead_s=1.0\n[fleet]\nnodes=2\nservers=2\n";
        let scenario = Scenario::parse("t", text).expect("a scenario");
        let mut run = RunRecord {
            seed: 1,
            plan: Vec::new(),
            tries: Vec::new(),
            seen: Vec::new(),
            falls: Vec::new(),
            notices: Vec::new(),
            versions: Vec::new(),
            foreign_ids: 0,
            long_messages: 0,
            downtimes: vec![Vec::new(); 2],
            crashed: Vec::new(),
            server_zones: vec![0, 1],
            bands: Vec::new(),
            lateness: Histogram::new(3).expect("a histogram"),
            cpu: Cpu::default(),
            scenario,
        };
        for n in 0..480_u32 {
            let (class, at_s) = ((n % 4) as u8, 1.0 + f64::from(n / 4) * 0.1);
            let write = class > 1;
            run.plan.push(PlannedRequest {
                at_s,
                zone: 0,
                class,
                tenant: (n % 4) as u16,
                key: n,
                work_s: 0.07,
                hint_us: 70_000,
                over_share: false,
            });
            let (id, node, outcome) = (u64::from(n), (n % 2) as u16, TryOutcome::Served);
            let (deadline_s, end_s) = (at_s + 0.5, at_s + 0.1);
            run.tries.push(Try {
                request: n,
                id,
                try_index: 0,
                node,
                sent_s: at_s,
                deadline_s,
                end_s,
                outcome,
            });
            let (server, outcome) =
                if write { (ORIGIN, AttemptOutcome::Served) } else { ((n % 2) as u16, AttemptOutcome::Hit) };
            run.seen.push(AttemptRecord {
                at_s: at_s + 0.01,
                server,
                id,
                zone: 0,
                write,
                cold: false,
                outcome,
            });
        }
        run
    }

    /// Checks that an injected violation is counted once by its rule, and by no other rule.
    fn assert_violation(rule: &str, inject: impl Fn(&mut RunRecord)) {
        let mut run = good_run();
        inject(&mut run);
        let report = evaluate(&run);
        let broken: Vec<_> = report.rules.iter().filter(|(_, n)| **n > 0).collect();
        assert_eq!(broken, [(&rule.to_owned(), &1)]);
        assert_eq!(report.verdict, Verdict::Fail);
    }

    #[test]
    fn a_good_run_passes() {
        let report = evaluate(&good_run());
        assert_eq!((report.verdict, report.rules.values().sum::<u64>()), (Verdict::Pass, 0));
        assert!((report.served_worth - 1.0).abs() < 1e-9 && (report.attempts_per_request - 1.0).abs() < 1e-9);
        assert_eq!(report.requests, 480);
    }

    #[test]
    fn each_injected_violation_is_counted_by_its_rule() {
        assert_violation("lost", |run| run.tries[7].outcome = TryOutcome::ConnectionLost);
        assert_violation("lost", |run| run.tries[7].outcome = TryOutcome::WrongBody);
        assert_violation("late", |run| run.tries[7].end_s = run.tries[7].deadline_s + 0.11);
        assert_violation("late", |run| run.tries[7].outcome = TryOutcome::TimedOut);
        // A single-shot write (approval-number) is sent again although the first attempt may have taken effect.
        assert_violation("repeated_effect", |run| {
            let again = AttemptRecord {
                outcome: AttemptOutcome::Aborted,
                at_s: run.seen[3].at_s + 0.1,
                ..run.seen[3]
            };
            run.seen.push(again);
        });
        // A guarded write (install-filing) takes effect in two tries of one request.
        assert_violation("repeated_effect", |run| {
            run.tries.push(Try { id: 9_000, try_index: 1, ..run.tries[2] });
            run.seen.push(AttemptRecord { id: 9_000, ..run.seen[2] });
        });
        assert_violation("after_drain", |run| {
            run.notices.push(StateNotice {
                node: 0,
                server: 0,
                leaves: true,
                at_s: run.seen[476].at_s - 0.6,
            });
        });
        assert_violation("cold_pushed_over", |run| run.falls.push(OverloadCrash { at_s: 3.0, server: 1 }));
        assert_violation("origin_by_cold", |run| {
            for n in (2..40).step_by(4) {
                let miss = AttemptRecord {
                    server: 0,
                    write: false,
                    cold: true,
                    outcome: AttemptOutcome::Miss,
                    ..run.seen[n]
                };
                run.seen.push(miss);
            }
            run.falls.push(OverloadCrash { at_s: 2.0, server: ORIGIN });
        });
        assert_violation("foreign_ids", |run| run.foreign_ids = 1);
        assert_violation("long_messages", |run| run.long_messages = 1);
        assert_violation("crashed", |run| run.crashed.push("n0".to_owned()));
    }

    #[test]
    fn allowed_behaviour_is_no_violation() {
        let mut run = good_run();
        // A killed node need not answer; a duplicate that the origin dropped had no effect; an attempt that was
        // rejected may be sent again; a server that was listed as active again may be sent to.
        run.downtimes[1] = vec![(0.0, 2.0)];
        run.tries[7].outcome = TryOutcome::ConnectionLost;
        run.seen.push(AttemptRecord { outcome: AttemptOutcome::Duplicate, ..run.seen[2] });
        run.seen.push(AttemptRecord { outcome: AttemptOutcome::Rejected, ..run.seen[3] });
        run.notices.push(StateNotice { node: 0, server: 0, leaves: true, at_s: 1.0 });
        run.notices.push(StateNotice { node: 0, server: 0, leaves: false, at_s: 1.2 });
        assert_eq!(evaluate(&run).rules.values().sum::<u64>(), 0);
    }

    #[test]
    fn worth_recovery_and_amplification_are_counted() {
        let mut run = good_run();
        run.tries[0].end_s = run.tries[0].sent_s + 0.6;
        let late = evaluate(&run);
        assert!(late.by_class["settings-read"] < 1.0 && late.by_class["datasheet-read"] == 1.0);
        assert!((late.by_class["settings-read"] - (1.0 - 0.5 / 120.0)).abs() < 1e-9);
        // A fault from second 5 to 7 of the measurement period (6 to 8 of the run), and nothing served from 5 to 9.
        let mut run = good_run();
        for one in &mut run.tries {
            if (6.0..10.0).contains(&one.sent_s) {
                one.outcome = TryOutcome::Refused;
            }
        }
        run.bands.push(FaultInterval { name: "f".to_owned(), from_s: 6.0, to_s: Some(8.0) });
        assert_eq!(evaluate(&run).recovery_s, Some(2.0));
        for one in &mut run.tries {
            if one.sent_s >= 10.0 {
                one.outcome = TryOutcome::Failed;
            }
        }
        run.scenario.hold.recovery_s = Some(3.0);
        let never = evaluate(&run);
        assert_eq!((never.recovery_s, never.recovered, never.verdict), (None, false, Verdict::Fail));
        let mut run = good_run();
        run.seen.extend(run.seen.clone());
        run.scenario.hold.attempts_per_request = Some(1.5);
        let twice = evaluate(&run);
        assert!((twice.attempts_per_request - 2.0).abs() < 1e-9 && twice.verdict == Verdict::Fail);
        run.lateness.record(9_000).expect("recorded");
        assert_eq!(evaluate(&run).verdict, Verdict::Void);
    }
}
