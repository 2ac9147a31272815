//! A picture of a scenario: first-token times, hit ratio, and shares by account.

use std::error::Error;
use std::path::Path;

use plotters::coord::Shift;
use plotters::prelude::*;

use super::Case;
use super::Class;
use super::PolicyRun;
use super::class_of;
use crate::load::Latencies;
use crate::load::Record;
use crate::site::Site;

const SIZE_PIXELS: (u32, u32) = (1_000, 1_200);
const PANELS: usize = 3;
const BUCKET_MS: u64 = 500;
const TAIL_QUANTILE: f64 = 0.95;
const CAPTION: (&str, u32) = ("sans-serif", 18);

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Drawn = Result<(), Box<dyn Error>>;

/// A line with its name.
struct Series {
    name: String,
    points: Vec<(f64, f64)>,
}

pub(super) fn draw(site: &Site, case: &Case, runs: &[PolicyRun], file: &Path) -> Drawn {
    let root = SVGBackend::new(file, SIZE_PIXELS).into_drawing_area();
    root.fill(&WHITE)?;
    let panels = root.split_evenly((PANELS, 1));
    draw_lines(&panels[0], "time to first token, p95, ms", &first_token_series(site, case, runs))?;
    draw_lines(&panels[1], "prefix hit ratio", &hit_series(case, runs))?;
    draw_shares(&panels[2], site, runs)?;
    root.present()?;
    Ok(())
}

fn first_token_series(site: &Site, case: &Case, runs: &[PolicyRun]) -> Vec<Series> {
    let mut all = Vec::new();
    for run in runs {
        for (n, priority) in site.priorities.iter().enumerate() {
            let tail = |records: &[&Record]| {
                let of_priority = records.iter().filter(|record| record.call.priority == n);
                let times = of_priority.filter_map(|record| record.outcome.first_token_us);
                times.collect::<Latencies>().quantile_ms(TAIL_QUANTILE)
            };
            let name = format!("{} {}", run.policy, priority.name);
            all.push(Series { name, points: over_time(case, run, tail) });
        }
    }
    all
}

fn hit_series(case: &Case, runs: &[PolicyRun]) -> Vec<Series> {
    let hits = |records: &[&Record]| {
        let prompt: u64 = records.iter().map(|record| record.outcome.prompt_tokens).sum();
        let cached: u64 = records.iter().map(|record| record.outcome.cached_tokens).sum();
        (prompt > 0).then(|| cached as f64 / prompt as f64)
    };
    let series =
        |run: &PolicyRun| Series { name: run.policy.clone(), points: over_time(case, run, hits) };
    runs.iter().map(series).collect()
}

fn over_time(
    case: &Case,
    run: &PolicyRun,
    figure: impl Fn(&[&Record]) -> Option<f64>,
) -> Vec<(f64, f64)> {
    let buckets = 0..case.duration_ms / BUCKET_MS;
    let point = |bucket: u64| {
        let in_bucket = |record: &&Record| record.call.at_us / 1_000 / BUCKET_MS == bucket;
        let records: Vec<&Record> = run.records.iter().filter(in_bucket).collect();
        Some(((bucket * BUCKET_MS) as f64 / 1_000.0, figure(&records)?))
    };
    buckets.filter_map(point).collect()
}

fn draw_lines(area: &Area<'_>, caption: &str, all: &[Series]) -> Drawn {
    let points = || all.iter().flat_map(|series| &series.points);
    let longest_s = points().map(|point| point.0).fold(1.0, f64::max);
    let highest = points().map(|point| point.1).fold(0.1, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(caption, CAPTION)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..longest_s, 0.0..highest)?;
    chart.configure_mesh().x_desc("s").draw()?;
    for (n, series) in all.iter().enumerate() {
        let color = Palette99::pick(n).to_rgba();
        let line = LineSeries::new(series.points.iter().copied(), color.stroke_width(2));
        let sample = move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color);
        chart.draw_series(line)?.label(&series.name).legend(sample);
    }
    chart.configure_series_labels().background_style(WHITE).draw()?;
    Ok(())
}

fn draw_shares(area: &Area<'_>, site: &Site, runs: &[PolicyRun]) -> Drawn {
    let accounts = site.accounts.len();
    let bars = accounts * runs.len();
    let mut chart = ChartBuilder::on(area)
        .caption("share of served calls by account", CAPTION)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0..bars, 0.0..1.0)?;
    let name = |bar: &usize| {
        let run = &runs[(bar / accounts).min(runs.len() - 1)];
        format!("{} {}", run.policy, site.accounts[bar % accounts].name)
    };
    chart.configure_mesh().x_labels(runs.len()).x_label_formatter(&name).draw()?;
    for (n, run) in runs.iter().enumerate() {
        let shares = shares(site, run);
        let rectangles = shares.into_iter().enumerate().map(|(account, share)| {
            let bar = n * accounts + account;
            Rectangle::new([(bar, 0.0), (bar + 1, share)], Palette99::pick(account).filled())
        });
        chart.draw_series(rectangles)?;
    }
    Ok(())
}

fn shares(site: &Site, run: &PolicyRun) -> Vec<f64> {
    let mut served = vec![0.0; site.accounts.len()];
    let is_served = |record: &&Record| class_of(&record.outcome) == Class::Served;
    for record in run.records.iter().filter(is_served) {
        served[record.call.account] += 1.0;
    }
    let all = served.iter().sum::<f64>().max(1.0);
    served.iter().map(|count| count / all).collect()
}
