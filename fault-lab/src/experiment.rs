//! What several runs say together: two builds side by side, and one figure varied over a range. Pure.

use serde::Serialize;

use crate::judge::Report;
use crate::scenario::{Scenario, ScenarioError};

/// 97.5% quantiles of Student's t by degrees of freedom, from 1.
const T: [f64; 20] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
    2.120, 2.110, 2.101, 2.093, 2.086,
];
/// For more than these.
const NORMAL: f64 = 1.96;
/// Goodput so far under the highest before it is a cliff.
const CLIFF: f64 = 0.2;

/// A mean with its 95% confidence interval's half width, and the spread.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Estimate {
    pub mean: f64,
    /// Unbounded with a single run.
    pub within: Option<f64>,
    pub least: f64,
    pub most: f64,
    pub runs: usize,
}

pub fn estimate(values: &[f64]) -> Estimate {
    let runs = values.len();
    let mean = values.iter().sum::<f64>() / runs.max(1) as f64;
    let within = (runs > 1).then(|| {
        let free = runs - 1;
        let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / free as f64;
        T.get(free - 1).unwrap_or(&NORMAL) * (variance / runs as f64).sqrt()
    });
    let least = values.iter().copied().fold(f64::INFINITY, f64::min);
    let most = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    Estimate { mean, within, least, most, runs }
}

/// One figure of two builds, by pairs of runs with the same seed.
#[derive(Clone, Debug, Serialize)]
pub struct Difference {
    pub figure: &'static str,
    pub a: Estimate,
    pub b: Estimate,
    /// B less A.
    pub b_less_a: Estimate,
    /// Whether the interval leaves 0 out.
    pub shown: bool,
}

/// By name: how it is read from a report. Runs that did not recover count with the whole run's length.
type Figure = (&'static str, fn(&Report) -> f64);
const FIGURES: &[Figure] = &[
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

/// Pairs of reports, A's and B's, each pair of one seed.
pub fn compare(pairs: &[(Report, Report)]) -> Vec<Difference> {
    let differ = |(figure, read): &Figure| {
        let a: Vec<f64> = pairs.iter().map(|(a, _)| read(a)).collect();
        let b: Vec<f64> = pairs.iter().map(|(_, b)| read(b)).collect();
        let each: Vec<f64> = a.iter().zip(&b).map(|(a, b)| b - a).collect();
        let b_less_a = estimate(&each);
        let shown = b_less_a.within.is_some_and(|within| b_less_a.mean.abs() > within);
        Difference { figure, a: estimate(&a), b: estimate(&b), b_less_a, shown }
    };
    FIGURES.iter().map(differ).collect()
}

/// A scenario with one figure set, by its path in the file: `load.of_capacity`.
///
/// # Errors
/// Where there is no such figure, or the scenario can't have this value.
pub fn with(scenario: &Scenario, path: &str, value: f64) -> Result<Scenario, ScenarioError> {
    let wrong = |what: String| ScenarioError::new(format!("{path}: {what}"));
    let mut table = toml::Table::try_from(scenario).map_err(|e| wrong(e.to_string()))?;
    let (groups, name) = path.rsplit_once('.').unwrap_or(("", path));
    let mut place = &mut table;
    for group in groups.split('.').filter(|group| !group.is_empty()) {
        let inner = place.get_mut(group).and_then(toml::Value::as_table_mut);
        place = inner.ok_or_else(|| wrong(format!("no group `{group}`")))?;
    }
    let whole = matches!(place.get(name), Some(toml::Value::Integer(_)));
    if matches!(place.get(name), Some(value) if !value.is_integer() && !value.is_float()) {
        return Err(wrong("a number expected".to_owned()));
    }
    let value = if whole { toml::Value::Integer(value.round() as i64) } else { toml::Value::Float(value) };
    place.insert(name.to_owned(), value);
    let text = toml::to_string(&table).map_err(|e| wrong(e.to_string()))?;
    Scenario::parse(path, &text)
}

/// One step of a sweep.
#[derive(Clone, Debug, Serialize)]
pub struct Step {
    pub value: f64,
    pub offered_worth_per_s: f64,
    /// Worth served a second: goodput.
    pub goodput: f64,
    pub served_worth: f64,
    pub attempts_per_request: f64,
    pub origin_fetches_per_request: f64,
    pub verdicts: Vec<crate::judge::Verdict>,
}

pub fn step(value: f64, reports: &[Report]) -> Step {
    let mean = |read: fn(&Report) -> f64| estimate(&reports.iter().map(read).collect::<Vec<_>>()).mean;
    Step {
        value,
        offered_worth_per_s: mean(|r| r.worth_asked_per_s),
        goodput: mean(|r| r.worth_asked_per_s * r.whole),
        served_worth: mean(|r| r.served_worth),
        attempts_per_request: mean(|r| r.attempts_per_request),
        origin_fetches_per_request: mean(|r| r.origin_fetches_per_request),
        verdicts: reports.iter().map(|report| report.verdict).collect(),
    }
}

/// Where goodput falls off: the first step that is far under the highest before it.
pub fn cliff(steps: &[Step]) -> Option<&Step> {
    let mut highest = 0.0_f64;
    steps.iter().find(|step| {
        highest = highest.max(step.goodput);
        step.goodput < highest * (1.0 - CLIFF)
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_interval_is_as_wide_as_the_spread_says() {
        let one = estimate(&[2.0, 4.0, 6.0]);
        // The standard error of 2, 4, 6 is 2 / sqrt(3).
        assert!((one.mean - 4.0).abs() < 1e-9 && (one.within.expect("three runs") - 4.968).abs() < 1e-2);
        assert!(estimate(&[1.0]).within.is_none());
    }

    #[test]
    fn a_figure_is_set_by_its_path_and_a_wrong_one_is_refused() {
        let scenario = Scenario::load("calm").expect("a scenario");
        assert_eq!(with(&scenario, "load.of_capacity", 1.5).expect("set").load.of_capacity, 1.5);
        assert_eq!(with(&scenario, "fleet.nodes", 5.2).expect("set").fleet.nodes, 5);
        for (path, value) in
            [("load.nothing", 1.0), ("no.group", 1.0), ("fleet.zones", 1.0), ("fleet.nodes", 0.0)]
        {
            assert!(with(&scenario, path, value).is_err(), "{path}");
        }
    }

    #[test]
    fn a_cliff_is_where_goodput_falls_and_not_where_it_levels_off() {
        let step = |value, goodput| Step {
            value,
            goodput,
            offered_worth_per_s: 1.0,
            served_worth: 1.0,
            attempts_per_request: 1.0,
            origin_fetches_per_request: 0.1,
            verdicts: Vec::new(),
        };
        assert!(cliff(&[step(0.5, 5.0), step(1.0, 10.0), step(2.0, 9.0)]).is_none());
        let falls = [step(0.5, 5.0), step(1.0, 10.0), step(2.0, 7.0)];
        assert_eq!(cliff(&falls).map(|step| step.value), Some(2.0));
    }
}
