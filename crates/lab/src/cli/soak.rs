//! `redwingrill-lab soak`.

use std::error::Error;
use std::path::PathBuf;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;

use super::arguments::number;
use super::arguments::number_of;
use super::arguments::text;
use super::arguments::text_of;
use crate::soak::SoakOptions;
use crate::soak::run as run_soak;

pub(super) fn command() -> Command {
    Command::new("soak")
        .about("Strike real daemons on the platform's protocol with random faults")
        .arg(number("seed", "1", "The first seed"))
        .arg(number("runs", "1", "How many seeds, one after the other"))
        .arg(number("nodes", "4", "Daemons"))
        .arg(number("upstreams", "3", "Engines, and as many plain upstreams"))
        .arg(number("callers", "16", "Callers"))
        .arg(text("folder", "target/soak", "Where settings and logs are written"))
        .arg(
            Arg::new("program")
                .long("program")
                .value_name("FILE")
                .help("The daemon's program; by default `redwingrilld` beside this one"),
        )
}

pub(super) async fn run(matches: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let program = match matches.get_one::<String>("program") {
        Some(program) => PathBuf::from(program),
        None => std::env::current_exe()?.with_file_name("redwingrilld"),
    };
    let count = |name| number_of(matches, name) as usize;
    let first = number_of(matches, "seed");
    let mut failed = Vec::new();
    for seed in first..first + number_of(matches, "runs") {
        let options = SoakOptions {
            seed,
            program: program.clone(),
            folder: PathBuf::from(text_of(matches, "folder")).join(seed.to_string()),
            nodes: count("nodes"),
            upstreams: count("upstreams"),
            callers: count("callers"),
        };
        let report = run_soak(&options).await?;
        println!(
            "seed {seed}: {} asked, {} served; {} streams taken up, {} went on",
            report.asked, report.served, report.taken_up, report.went_on
        );
        for (at, fault) in &report.plan.faults {
            println!("  {:.1} s {fault:?}", at.as_secs_f64());
        }
        for finding in &report.findings {
            println!("  FINDING {finding}");
        }
        if !report.findings.is_empty() {
            failed.push(seed);
        }
    }
    match failed.is_empty() {
        true => Ok(()),
        false => Err(format!("promises broken with the seeds {failed:?}").into()),
    }
}
