//! Writes the report of a run: JSON for programs, Markdown with plots for people.

use std::fmt::Write as _;
use std::io;
use std::path::Path;

use plotters::prelude::*;
use plotters::style::RGBColor;

use crate::evaluation::{FaultInterval, OutcomeCounts, Report, Verdict};

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (860, 300);
const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(255, 127, 14),
    RGBColor(148, 103, 189),
    RGBColor(110, 110, 110),
];

/// A curve of a plot, as (x, y) points. The units are those of the plot's axes; mostly x is in seconds.
pub struct Curve {
    pub name: String,
    pub points: Vec<(f64, f64)>,
}

impl Curve {
    /// One value per second of the run, drawn at the middle of its second.
    pub fn per_s(name: &str, values: impl IntoIterator<Item = f64>) -> Self {
        let points = values.into_iter().enumerate().map(|(n, value)| (n as f64 + 0.5, value)).collect();
        Curve { name: name.to_owned(), points }
    }
}

/// Draws curves as an SVG file, with the intervals of faults shaded behind them. `(x_label, y_label)` are the labels of
/// the axes. Writes no file when the curves have no extent in x.
///
/// # Errors
/// When the file can't be written.
pub fn plot(
    file: &Path,
    title: &str,
    (x_label, y_label): (&str, &str),
    curves: &[Curve],
    bands: &[FaultInterval],
) -> io::Result<()> {
    let bounds = |of: fn(&(f64, f64)) -> f64| {
        let all = curves.iter().flat_map(|curve| curve.points.iter().map(of));
        all.fold((f64::INFINITY, f64::NEG_INFINITY), |(least, most), v| (least.min(v), most.max(v)))
    };
    let (left, right) = bounds(|p| p.0);
    let (_, top) = bounds(|p| p.1);
    if !(left.is_finite() && right > left) {
        return Ok(());
    }
    let top = if top > 0.0 { top * 1.08 } else { 1.0 };
    let draw = || -> Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::new(file, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(52)
            .build_cartesian_2d(left.min(0.0)..right, 0.0..top)?;
        chart.draw_series(bands.iter().map(|band| {
            let (from, to) = (band.from_s.clamp(0.0, right), band.to_s.unwrap_or(right).clamp(0.0, right));
            Rectangle::new(
                [(from, 0.0), (to.max(from + right / 400.0), top)],
                RGBColor(250, 220, 200).filled(),
            )
        }))?;
        chart.configure_mesh().light_line_style(WHITE).x_desc(x_label).y_desc(y_label).draw()?;
        for (curve, colour) in curves.iter().zip(COLOURS.iter().cycle()) {
            let line = LineSeries::new(curve.points.iter().copied(), colour.stroke_width(2));
            let legend = move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour.stroke_width(2));
            chart.draw_series(line)?.label(&curve.name).legend(legend);
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
        area.present()?;
        Ok(())
    };
    draw().map_err(|e| io::Error::other(format!("{}: {e}", file.display())))
}

/// Writes `report.json`, `report.md` and the plots into a folder, which is created when it is missing.
///
/// # Errors
/// When the folder or a file can't be written.
pub fn write(folder: &Path, report: &Report) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let json = serde_json::to_vec_pretty(report).map_err(io::Error::other)?;
    std::fs::write(folder.join("report.json"), json)?;
    std::fs::write(folder.join("report.md"), markdown(report))?;
    let without_lead = |band: &FaultInterval, lead: f64| FaultInterval {
        from_s: band.from_s - lead,
        to_s: band.to_s.map(|to| to - lead),
        ..band.clone()
    };
    let bands: Vec<FaultInterval> =
        report.bands.iter().map(|band| without_lead(band, report.lead_s)).collect();
    let seconds = ("seconds", "a second");
    let of = |name: &str, what: fn(&OutcomeCounts) -> u64| {
        report.per_s.get(name).into_iter().flatten().map(|count| what(count) as f64).collect::<Vec<_>>()
    };
    let answers = [
        Curve::per_s("served", of("all", |c| c.served)),
        Curve::per_s("refused", of("all", |c| c.refused)),
        Curve::per_s("failed", of("all", |c| c.failed)),
    ];
    plot(&folder.join("answers.svg"), "Answers, retries folded in", seconds, &answers, &bands)?;
    for (kind, file) in [("class ", "classes.svg"), ("zone ", "zones.svg")] {
        let groups =
            report.per_s.iter().filter_map(|(name, counts)| Some((name.strip_prefix(kind)?, counts)));
        let curves: Vec<Curve> = groups
            .map(|(name, counts)| Curve::per_s(name, counts.iter().map(OutcomeCounts::share)))
            .collect();
        let title = format!("Served share by {kind}");
        plot(&folder.join(file), &title, ("seconds", "share"), &curves, &bands)?;
    }
    let numbers = |name: &str, values: &[u64]| Curve::per_s(name, values.iter().map(|n| *n as f64));
    let work = [numbers("attempts", &report.attempts_per_s), numbers("origin fetches", &report.origin_per_s)];
    plot(&folder.join("work.svg"), "Attempts and origin load", seconds, &work, &bands)?;
    let traffic: Vec<Curve> =
        report.zone_attempts_per_s.iter().map(|(zone, values)| numbers(zone, values)).collect();
    plot(&folder.join("traffic.svg"), "Attempts at each zone's servers", seconds, &traffic, &bands)?;
    let points = report.versions.iter().map(|(at, version)| (*at, *version as f64)).collect();
    let versions = [Curve { name: "version".to_owned(), points }];
    plot(&folder.join("list.svg"), "Version of the list", ("seconds", "version"), &versions, &bands)
}

/// The verdict as reports print it.
pub fn verdict(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::Pass => "pass",
        Verdict::Fail => "fail",
        Verdict::Void => "void",
    }
}

fn recovery(report: &Report) -> String {
    match report.recovery_s {
        Some(after) => format!("{after:.1} s"),
        None if report.recovered => "-".to_owned(),
        None => "never".to_owned(),
    }
}

/// Head of the Markdown table whose lines [`row`] makes.
pub const ROW_HEAD: &str = "| scenario | seed | verdict | worth | worst 10 s | worst class | recovery | attempts | origin | \
                            breaches | late p99 |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";

/// The line of one run in the Markdown table under [`ROW_HEAD`], without a newline.
pub fn row(report: &Report) -> String {
    let worst = report.by_class.values().copied().fold(1.0, f64::min);
    let broken = report.rules.iter().filter(|(_, n)| **n > 0).map(|(name, n)| format!("{name} {n}"));
    let broken = broken.collect::<Vec<_>>().join(", ");
    format!(
        "| {} | {} | {} | {:.3} | {:.3} | {worst:.3} | {} | {:.2} | {:.3} | {} | {:.1} ms |",
        report.scenario,
        report.seed,
        verdict(report.verdict),
        report.served_worth,
        report.worst_window,
        recovery(report),
        report.attempts_per_request,
        report.origin_fetches_per_request,
        if broken.is_empty() { "0" } else { &broken },
        report.lateness_p99_ms,
    )
}

fn markdown(report: &Report) -> String {
    let mut text = format!("# {}: {}\n\n", report.scenario, verdict(report.verdict));
    for reason in &report.reasons {
        let _ = writeln!(text, "- {reason}");
    }
    let _ = writeln!(text, "\n{ROW_HEAD}\n{}\n", row(report));
    let _ = writeln!(
        text,
        "{} requests, {:.2} tries each, {:.2} hits of reads, {:.2} attempts across zones each. The lab was at most \
         {:.1} ms late.\n",
        report.requests,
        report.tries_per_request,
        report.hit_share,
        report.crossings_per_request,
        report.lateness_max_ms
    );
    let cpu = &report.cpu;
    let _ = writeln!(
        text,
        "Cores in use: the lab {:.2}, nodes {:.2}, replicas {:.2}, of {}.\n",
        cpu.lab, cpu.nodes, cpu.replicas, cpu.of
    );
    let _ = writeln!(
        text,
        "| class | worth served | p50 | p90 | p99 | longest |\n| --- | --- | --- | --- | --- | --- |"
    );
    for (class, worth) in &report.by_class {
        let l = report.latency.get(class).copied().unwrap_or_default();
        let _ = writeln!(
            text,
            "| {class} | {worth:.3} | {:.0} ms | {:.0} ms | {:.0} ms | {:.0} ms |",
            l.p50_ms, l.p90_ms, l.p99_ms, l.max_ms
        );
    }
    let _ = writeln!(text, "\n| fault | from | to |\n| --- | --- | --- |");
    for band in &report.bands {
        let to = band.to_s.map_or("-".to_owned(), |to| format!("{:.1} s", to - report.lead_s));
        let _ = writeln!(text, "| {} | {:.1} s | {to} |", band.name, band.from_s - report.lead_s);
    }
    for plot in ["answers", "classes", "zones", "work", "traffic", "list"] {
        let _ = write!(text, "\n![{plot}]({plot}.svg)\n");
    }
    text
}
