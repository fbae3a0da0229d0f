//! Statistics over several runs: comparison of two builds, and sweeps of one parameter over a range. No I/O.

use serde::Serialize;

use crate::evaluation::Report;
use crate::scenario::{Scenario, ScenarioError};

/// 97.5% quantiles of Student's t-distribution for 1 to 20 degrees of freedom.
const T_QUANTILES: [f64; 20] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
    2.120, 2.110, 2.101, 2.093, 2.086,
];
/// 97.5% quantile of the normal distribution, used above 20 degrees of freedom.
const NORMAL_QUANTILE: f64 = 1.96;
/// A step whose goodput is lower than the highest goodput before it by more than this share is a cliff.
const CLIFF_DROP: f64 = 0.2;

/// A mean with its 95% confidence interval and its range.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Estimate {
    pub mean: f64,
    /// Half width of the confidence interval; `None` (unbounded) with a single run.
    pub within: Option<f64>,
    pub least: f64,
    pub most: f64,
    pub runs: usize,
}

/// Summarizes the values of several runs; the confidence half-width `within` is `None` for fewer than two.
pub fn estimate(values: &[f64]) -> Estimate {
    let runs = values.len();
    let mean = values.iter().sum::<f64>() / runs.max(1) as f64;
    let within = (runs > 1).then(|| {
        let degrees = runs - 1;
        let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / degrees as f64;
        T_QUANTILES.get(degrees - 1).unwrap_or(&NORMAL_QUANTILE) * (variance / runs as f64).sqrt()
    });
    let least = values.iter().copied().fold(f64::INFINITY, f64::min);
    let most = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    Estimate { mean, within, least, most, runs }
}

/// One metric of two builds, A and B, compared over pairs of runs with the same seed.
#[derive(Clone, Debug, Serialize)]
pub struct Difference {
    pub figure: &'static str,
    pub a: Estimate,
    pub b: Estimate,
    /// Difference B - A within each pair.
    pub b_less_a: Estimate,
    /// Whether the difference is significant: its 95% confidence interval excludes 0.
    pub shown: bool,
}

/// A metric's name and how it is read from a report. A run that did not recover counts with the length of its whole
/// measurement period as `recovery_s`.
type Metric = (&'static str, fn(&Report) -> f64);
const METRICS: &[Metric] = &[
    ("served_worth", |r| r.served_worth),
    ("whole", |r| r.whole),
    ("worst_window", |r| r.worst_window),
    ("worst_class", |r| r.by_class.values().copied().fold(1.0, f64::min)),
    ("recovery_s", |r| {
        r.recovery_s.unwrap_or(if r.recovered { 0.0 } else { r.served_share_per_s.len() as f64 })
    }),
    ("attempts_per_request", |r| r.attempts_per_request),
    ("origin_fetches_per_request", |r| r.origin_fetches_per_request),
    ("breaches", |r| r.rules.values().sum::<u64>() as f64),
];

/// Compares builds A and B in every metric. Each pair holds the reports of A and of B for the same seed.
pub fn compare(pairs: &[(Report, Report)]) -> Vec<Difference> {
    let difference = |(figure, read): &Metric| {
        let a: Vec<f64> = pairs.iter().map(|(a, _)| read(a)).collect();
        let b: Vec<f64> = pairs.iter().map(|(_, b)| read(b)).collect();
        let differences: Vec<f64> = a.iter().zip(&b).map(|(a, b)| b - a).collect();
        let b_less_a = estimate(&differences);
        let shown = b_less_a.within.is_some_and(|within| b_less_a.mean.abs() > within);
        Difference { figure, a: estimate(&a), b: estimate(&b), b_less_a, shown }
    };
    METRICS.iter().map(difference).collect()
}

/// Returns the scenario with one number replaced. `path` is its dotted path in the TOML file, such as
/// `load.of_capacity`. Where the file has an integer, `value` is rounded.
///
/// # Errors
/// When there is no number at this path, or the scenario is invalid with this value.
pub fn with_value(scenario: &Scenario, path: &str, value: f64) -> Result<Scenario, ScenarioError> {
    let error = |what: String| ScenarioError::new(format!("{path}: {what}"));
    let mut table = toml::Table::try_from(scenario).map_err(|e| error(e.to_string()))?;
    let (groups, name) = path.rsplit_once('.').unwrap_or(("", path));
    let mut parent = &mut table;
    for group in groups.split('.').filter(|group| !group.is_empty()) {
        let inner = parent.get_mut(group).and_then(toml::Value::as_table_mut);
        parent = inner.ok_or_else(|| error(format!("no table `{group}` in the scenario")))?;
    }
    let is_integer = matches!(parent.get(name), Some(toml::Value::Integer(_)));
    if matches!(parent.get(name), Some(value) if !value.is_integer() && !value.is_float()) {
        return Err(error("not a number in the scenario".to_owned()));
    }
    let value =
        if is_integer { toml::Value::Integer(value.round() as i64) } else { toml::Value::Float(value) };
    parent.insert(name.to_owned(), value);
    let text = toml::to_string(&table).map_err(|e| error(e.to_string()))?;
    Scenario::parse(path, &text)
}

/// Mean results of all runs of a sweep at one value of the varied parameter.
#[derive(Clone, Debug, Serialize)]
pub struct SweepStep {
    pub value: f64,
    pub offered_worth_per_s: f64,
    /// Worth served per second.
    pub goodput: f64,
    pub served_worth: f64,
    pub attempts_per_request: f64,
    pub origin_fetches_per_request: f64,
    pub verdicts: Vec<crate::evaluation::Verdict>,
}

/// Averages the reports of the runs at one value of the swept parameter.
pub fn sweep_step(value: f64, reports: &[Report]) -> SweepStep {
    let mean = |read: fn(&Report) -> f64| estimate(&reports.iter().map(read).collect::<Vec<_>>()).mean;
    SweepStep {
        value,
        offered_worth_per_s: mean(|r| r.worth_asked_per_s),
        goodput: mean(|r| r.worth_asked_per_s * r.whole),
        served_worth: mean(|r| r.served_worth),
        attempts_per_request: mean(|r| r.attempts_per_request),
        origin_fetches_per_request: mean(|r| r.origin_fetches_per_request),
        verdicts: reports.iter().map(|report| report.verdict).collect(),
    }
}

/// The first step whose goodput is far below the highest before it; `None` when goodput never collapses.
pub fn find_cliff(steps: &[SweepStep]) -> Option<&SweepStep> {
    let mut highest = 0.0_f64;
    steps.iter().find(|step| {
        highest = highest.max(step.goodput);
        step.goodput < highest * (1.0 - CLIFF_DROP)
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn confidence_interval_follows_the_spread_of_the_values() {
        let one = estimate(&[2.0, 4.0, 6.0]);
        // The standard error of 2, 4, 6 is 2 / sqrt(3).
        assert!((one.mean - 4.0).abs() < 1e-9 && (one.within.expect("three runs") - 4.968).abs() < 1e-2);
        assert!(estimate(&[1.0]).within.is_none());
    }

    #[test]
    fn a_number_is_replaced_by_its_path_and_an_invalid_path_or_value_is_rejected() {
        let scenario = Scenario::load("calm").expect("a scenario");
        assert_eq!(with_value(&scenario, "load.of_capacity", 1.5).expect("set").load.of_capacity, 1.5);
        assert_eq!(with_value(&scenario, "fleet.nodes", 5.2).expect("set").fleet.nodes, 5);
        for (path, value) in
            [("load.nothing", 1.0), ("no.group", 1.0), ("fleet.zones", 1.0), ("fleet.nodes", 0.0)]
        {
            assert!(with_value(&scenario, path, value).is_err(), "{path}");
        }
    }

    #[test]
    fn a_cliff_is_a_drop_in_goodput_and_not_a_plateau() {
        let step = |value, goodput| SweepStep {
            value,
            goodput,
            offered_worth_per_s: 1.0,
            served_worth: 1.0,
            attempts_per_request: 1.0,
            origin_fetches_per_request: 0.1,
            verdicts: Vec::new(),
        };
        assert!(find_cliff(&[step(0.5, 5.0), step(1.0, 10.0), step(2.0, 9.0)]).is_none());
        let collapsing = [step(0.5, 5.0), step(1.0, 10.0), step(2.0, 7.0)];
        assert_eq!(find_cliff(&collapsing).map(|step| step.value), Some(2.0));
    }
}
