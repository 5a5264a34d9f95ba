//! Output of results as tables, CSV files and plots.

use crate::experiment::Experiment;
use crate::tally::Tally;
use miette::{IntoDiagnostic, Result, miette};
use plotters::prelude::{
    BLACK, ChartBuilder, IntoDrawingArea, IntoFont, LineSeries, Palette, Palette99, PathElement,
    SVGBackend, WHITE,
};
use plotters::style::Color;
use std::path::Path;

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (720, 440);
/// Font size of a plot, in pixels.
const FONT_SIZE: u32 = 15;
/// Size of the label areas beside the axes, in pixels.
const LABEL_AREA_SIZE: u32 = 45;
/// Length of a line in the legend, in pixels.
const LEGEND_LINE_LENGTH: i32 = 18;
const PERCENT: f64 = 100.0;
/// Ratio of the highest to the lowest load above which the axis of loads is logarithmic.
const MAX_LINEAR_RATIO: f64 = 8.0;
/// Quantiles of the latency that the table and the plots show.
const MEDIAN: f64 = 0.5;
const P99: f64 = 0.99;
const P999: f64 = 0.999;

/// Result of one run.
#[derive(Clone, Debug)]
pub(crate) struct Row {
    pub(crate) variant: String,
    pub(crate) load: f64,
    pub(crate) seed: u64,
    pub(crate) tally: Tally,
}

/// Runs of one variant at one load, whose values are averaged over the seeds.
struct Point<'a> {
    variant: &'a str,
    load: f64,
    rows: Vec<&'a Row>,
}

impl Point<'_> {
    fn mean(&self, value: impl Fn(&Tally) -> f64) -> f64 {
        let sum: f64 = self.rows.iter().map(|row| value(&row.tally)).sum();
        sum / self.rows.len().max(1) as f64
    }

    fn earned(&self) -> f64 {
        self.mean(Tally::earned)
    }

    fn quantile_ms(&self, quantile: f64) -> f64 {
        self.mean(|t| t.quantile(quantile).as_secs_f64() * 1_000.0)
    }
}

/// Groups the rows by variant and load.
fn points(rows: &[Row]) -> Vec<Point<'_>> {
    let mut points: Vec<Point<'_>> = Vec::new();
    for row in rows {
        let same_point =
            |p: &&mut Point<'_>| p.variant == row.variant && p.load.total_cmp(&row.load).is_eq();
        match points.iter_mut().find(same_point) {
            Some(point) => point.rows.push(row),
            None => points.push(Point {
                variant: &row.variant,
                load: row.load,
                rows: vec![row],
            }),
        }
    }
    points
}

/// Prints a table with a row for each variant and load.
pub(crate) fn print(experiment: &Experiment, rows: &[Row]) {
    println!("{}", experiment.name);
    println!(
        "{:<22} {:>6} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9} {:>7} {:>7} {:>6} {:>8} {:>7} \
         {:>6}",
        "variant",
        "load_%",
        "worth_%",
        "answ_%",
        "intime_%",
        "p50_ms",
        "p99_ms",
        "p999_ms",
        "far_kb/s",
        "runs/rq",
        "again_%",
        "cold",
        "good/s",
        "adm_%",
        "rej_ms"
    );
    for point in points(rows) {
        let asked = |t: &Tally| t.classes.iter().map(|c| c.asked).sum::<u64>() as f64;
        println!(
            "{:<22} {:>6.0} {:>8.2} {:>8.2} {:>8.2} {:>8.1} {:>8.1} {:>8.1} {:>9.1} {:>7.2} {:>7.2} \
             {:>6.1} {:>8.1} {:>7.2} {:>6.1}",
            point.variant,
            point.load * PERCENT,
            point.earned() * PERCENT,
            point.mean(Tally::answered) * PERCENT,
            point.mean(Tally::share_in_time) * PERCENT,
            point.quantile_ms(MEDIAN),
            point.quantile_ms(P99),
            point.quantile_ms(P999),
            point.mean(|t| t.far_bytes as f64) / 1_024.0 / experiment.durations().0.as_secs_f64(),
            point.mean(|t| t.runs as f64 / asked(t).max(1.0)),
            point.mean(|t| t.repeats as f64 / (t.runs - t.repeats).max(1) as f64) * PERCENT,
            point.mean(|t| t.cold_excess as f64),
            goodput(experiment, &point),
            point.mean(Tally::admitted_in_time) * PERCENT,
            point.mean(|t| t.rejection_quantile(P99).as_secs_f64() * 1_000.0),
        );
    }
}

/// Writes a CSV file with a row per run and class, and plots of the earned
/// worth and the 99th percentile by load.
///
/// # Errors
///
/// Returns an error if a file can't be written.
pub(crate) fn save(out: &Path, experiment: &Experiment, rows: &[Row]) -> Result<()> {
    std::fs::create_dir_all(out).into_diagnostic()?;
    let file = |suffix: &str| out.join(format!("{}{suffix}", experiment.name));
    let mut csv = csv::Writer::from_path(file(".csv")).into_diagnostic()?;
    csv.write_record([
        "variant",
        "load",
        "seed",
        "class",
        "asked",
        "in_time",
        "late",
        "refused",
        "failed",
        "earned",
        "offered",
        "admitted",
        "admitted_in_time",
        "admitted_late",
        "call_failed",
        "unanswered",
        "rejected_p99_ms",
    ])
    .into_diagnostic()?;
    for row in rows {
        for class in row.tally.classes.iter().filter(|c| c.asked > 0) {
            csv.write_record([
                row.variant.clone(),
                row.load.to_string(),
                row.seed.to_string(),
                class.name.clone(),
                class.asked.to_string(),
                class.in_time.to_string(),
                class.late.to_string(),
                class.refused.to_string(),
                class.failed.to_string(),
                format!("{:.2}", class.earned),
                format!("{:.2}", class.offered),
                class.admitted[0].to_string(),
                class.admitted[1].to_string(),
                class.admitted[2].to_string(),
                class.admitted[3].to_string(),
                class.admitted[4].to_string(),
                format!(
                    "{:.2}",
                    class.rejection_quantile(P99).as_secs_f64() * 1_000.0
                ),
            ])
            .into_diagnostic()?;
        }
    }
    csv.flush().into_diagnostic()?;
    if !experiment.customer.is_empty() {
        save_customers(&file("-customers.csv"), rows)?;
    }
    let points = points(rows);
    let worth = |p: &Point<'_>| p.earned() * PERCENT;
    let title = format!("{}: worth earned, in percent", experiment.name);
    plot(&file("-worth.svg"), &title, &points, worth)?;
    let title = format!("{}: 99th percentile of latency, in ms", experiment.name);
    plot(&file("-tail.svg"), &title, &points, |p| p.quantile_ms(P99))?;
    let title = format!("{}: responses in time per second", experiment.name);
    plot(&file("-goodput.svg"), &title, &points, |p| {
        goodput(experiment, p)
    })
}

/// Returns the responses in time per second.
fn goodput(experiment: &Experiment, point: &Point<'_>) -> f64 {
    point.mean(|t| t.in_time() as f64) / experiment.seconds
}

/// Writes a CSV file with a row per run and customer.
fn save_customers(path: &Path, rows: &[Row]) -> Result<()> {
    let mut csv = csv::Writer::from_path(path).into_diagnostic()?;
    csv.write_record([
        "variant", "load", "seed", "customer", "asked", "in_time", "late",
    ])
    .into_diagnostic()?;
    for row in rows {
        for customer in &row.tally.customers {
            csv.write_record([
                row.variant.clone(),
                row.load.to_string(),
                row.seed.to_string(),
                customer.name.clone(),
                customer.asked.to_string(),
                customer.in_time.to_string(),
                customer.late.to_string(),
            ])
            .into_diagnostic()?;
        }
    }
    csv.flush().into_diagnostic()
}

fn plot(
    path: &Path,
    title: &str,
    points: &[Point<'_>],
    value: impl Fn(&Point<'_>) -> f64,
) -> Result<()> {
    let failed = |err: &dyn std::fmt::Display| miette!("{}: {err}", path.display());
    let loads = points.iter().map(|p| p.load * PERCENT);
    let (low, high) = loads.fold((f64::MAX, 0.0_f64), |(low, high), load| {
        (low.min(load), high.max(load))
    });
    let is_wide = high > low * MAX_LINEAR_RATIO;
    let scaled = |load: f64| if is_wide { load.log2() } else { load };
    let unscaled = |x: f64| if is_wide { x.exp2() } else { x };
    let top = points.iter().map(&value).fold(0.0, f64::max);
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|err| failed(&err))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", FONT_SIZE).into_font())
        .margin(FONT_SIZE)
        .x_label_area_size(LABEL_AREA_SIZE)
        .y_label_area_size(LABEL_AREA_SIZE)
        .build_cartesian_2d(scaled(low)..scaled(high), 0.0..top)
        .map_err(|err| failed(&err))?;
    chart
        .configure_mesh()
        .x_label_formatter(&|x| format!("{:.0}", unscaled(*x)))
        .x_desc("load, in percent of what the upstreams can do")
        .draw()
        .map_err(|err| failed(&err))?;
    let mut variants: Vec<&str> = points.iter().map(|p| p.variant).collect();
    variants.dedup();
    for (number, variant) in variants.into_iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        let of_variant = points.iter().filter(|p| p.variant == variant);
        let line = of_variant.map(|p| (scaled(p.load * PERCENT), value(p)));
        chart
            .draw_series(LineSeries::new(line, colour.stroke_width(2)))
            .map_err(|err| failed(&err))?
            .label(variant)
            .legend(move |(x, y)| {
                PathElement::new(vec![(x, y), (x + LEGEND_LINE_LENGTH, y)], colour)
            });
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()
        .map_err(|err| failed(&err))?;
    area.present().map_err(|err| failed(&err))
}
