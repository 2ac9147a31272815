//! The subcommand that runs experiments.

use std::error::Error;
use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use super::arguments::number;
use super::arguments::number_of;
use super::arguments::text;
use super::arguments::text_of;
use crate::bench::control;
use crate::bench::control::ControlOptions;
use crate::bench::orders;
use crate::bench::overhead;
use crate::bench::overhead::OverheadOptions;
use crate::bench::scenario;
use crate::bench::scenario::Case;
use crate::bench::scenario::ScenarioOptions;

const CONTROL: &str = "control";
const OVERHEAD: &str = "overhead";
const FAILURES_SHOWN: usize = 20;
const ORDERS: &str = "orders";

pub(super) fn command() -> Command {
    let names: Vec<&str> = Case::names().collect();
    let scenarios =
        format!("One of control, overhead, orders, {}; or a case file", names.join(", "));
    Command::new("bench")
        .about("Run an experiment and print its figures")
        .arg(
            Arg::new("scenario").long("scenario").value_name("NAME").required(true).help(scenarios),
        )
        .arg(text("site", "kritartafla", "One of kritartafla, napln, example; or a site file"))
        .arg(number("seed", "1", "Seed of prompts and load"))
        .arg(
            Arg::new("policies")
                .long("policies")
                .value_name("NAMES")
                .default_value("random,least_loaded,affinity,redwingrill")
                .help("Placement policies to compare"),
        )
        .args(control_arguments())
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print one JSON object a line"),
        )
        .arg(
            Arg::new("plot")
                .long("plot")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Draw the run into an SVG file"),
        )
}

fn control_arguments() -> [Arg; 6] {
    [
        text("nodes", "3,7,20", "Control: sizes of the fleet, one run each"),
        number("engines", "850", "Control: engines in the configuration"),
        number("accounts", "19000", "Control: client accounts in the configuration"),
        number("window", "30", "Control: the length of each window in seconds"),
        number("changes", "3", "Control: changes of the configuration in the second window"),
        Arg::new("restarts")
            .long("restarts")
            .action(ArgAction::SetTrue)
            .help("Control: kill and restart a failure domain, then all nodes"),
    ]
}

fn control_options(matches: &ArgMatches) -> ControlOptions {
    /// The failure domains of the target size.
    const DOMAINS: usize = 6;
    let count = |name: &str| usize::try_from(number_of(matches, name)).unwrap_or(usize::MAX);
    let nodes = text_of(matches, "nodes");
    ControlOptions {
        nodes: nodes.split(',').filter_map(|size| size.trim().parse().ok()).collect(),
        engines: count("engines"),
        accounts: count("accounts"),
        domains: DOMAINS,
        window_s: number_of(matches, "window").max(1),
        changes: number_of(matches, "changes"),
        restarts: matches.get_flag("restarts"),
    }
}

pub(super) async fn run(matches: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let name = text_of(matches, "scenario");
    let seed = number_of(matches, "seed");
    let json = matches.get_flag("json");
    if name == CONTROL {
        let options = control_options(matches);
        // What cannot be serialised cannot be a report.
        control::run(&options, |report| drop(print_object(report, json))).await?;
        return Ok(());
    }
    if name == OVERHEAD {
        let report = overhead::run(&OverheadOptions { seed, ..Default::default() }).await?;
        print_object(&report, json)?;
        return Ok(());
    }
    if name == ORDERS {
        let mut printed = Ok(());
        orders::run(seed, |report| {
            if printed.is_ok() {
                printed = print_object(&report, json);
            }
        });
        return Ok(printed?);
    }
    let policies = text_of(matches, "policies");
    let options = ScenarioOptions {
        case: name,
        site: text_of(matches, "site"),
        seed,
        policies: policies.split(',').map(str::to_owned).collect(),
    };
    let results = scenario::run(&options).await?;
    for report in results.reports() {
        print_object(&report, json)?;
    }
    for failure in results.failures().iter().take(FAILURES_SHOWN) {
        eprintln!("{failure}");
    }
    if let Some(file) = matches.get_one::<PathBuf>("plot") {
        results.plot(file)?;
    }
    Ok(())
}

fn print_object(report: &impl serde::Serialize, json: bool) -> serde_json::Result<()> {
    let text = match json {
        true => serde_json::to_string(report)?,
        false => serde_json::to_string_pretty(report)?,
    };
    println!("{text}");
    Ok(())
}
