//! The command line of `redwingrill-lab`.

mod arguments;
mod bench;
mod load;
mod quickstart;
mod serve;
mod soak;

use std::error::Error;
use std::ffi::OsString;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

const ROUTER: &str = "router";

/// Runs the command line of this process.
pub fn run() -> ExitCode {
    let matches = command().get_matches();
    if let Some((ROUTER, matches)) = matches.subcommand() {
        return run_router(matches);
    }
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    match runtime.block_on(run_subcommand(&matches)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(error.as_ref()),
    }
}

async fn run_subcommand(matches: &ArgMatches) -> Result<(), Box<dyn Error>> {
    match matches.subcommand() {
        Some(("platform", matches)) => Ok(serve::platform(matches).await?),
        Some(("engine", matches)) => Ok(serve::engine(matches).await?),
        Some(("service", matches)) => Ok(serve::service(matches).await?),
        Some(("cache-store", matches)) => Ok(serve::cache_store(matches).await?),
        Some(("quickstart", matches)) => quickstart::run(matches).await,
        Some(("load", matches)) => load::run(matches).await,
        Some(("bench", matches)) => bench::run(matches).await,
        Some(("soak", matches)) => soak::run(matches).await,
        // The command line requires one of its subcommands.
        _ => Ok(()),
    }
}

/// Runs a router in this process, so that experiments need no second program.
fn run_router(matches: &ArgMatches) -> ExitCode {
    let settings: &OsString = matches.get_one("settings").expect("the argument is required");
    redwingrill::daemon::main(["redwingrilld".into(), "--settings".into(), settings.clone()])
}

fn command() -> Command {
    Command::new("redwingrill-lab")
        .about("Stand-ins, load and experiments for redwingrill")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(quickstart::command())
        .subcommand(serve::platform_command())
        .subcommand(serve::engine_command())
        .subcommand(serve::service_command())
        .subcommand(serve::cache_store_command())
        .subcommand(router_command())
        .subcommand(load::command())
        .subcommand(bench::command())
        .subcommand(soak::command())
}

fn router_command() -> Command {
    Command::new(ROUTER).about("Run a router as redwingrilld does").arg(
        Arg::new("settings")
            .long("settings")
            .value_name("FILE")
            .value_parser(value_parser!(OsString))
            .required(true)
            .help("The settings file"),
    )
}

fn fail(error: &dyn Error) -> ExitCode {
    eprintln!("redwingrill-lab: {error}");
    ExitCode::FAILURE
}
