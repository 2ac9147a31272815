//! The command line of `redwingrill-lab`.

mod arguments;
mod serve;

use std::process::ExitCode;

use clap::Command;

/// Runs the command line of this process.
pub fn run() -> ExitCode {
    let matches = command().get_matches();
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    let outcome = runtime.block_on(async {
        match matches.subcommand() {
            Some(("platform", matches)) => serve::platform(matches).await,
            Some(("engine", matches)) => serve::engine(matches).await,
            Some(("service", matches)) => serve::service(matches).await,
            // The command line requires one of its subcommands.
            _ => Ok(()),
        }
    });
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn command() -> Command {
    Command::new("redwingrill-lab")
        .about("Stand-ins, load and experiments for redwingrill")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(serve::platform_command())
        .subcommand(serve::engine_command())
        .subcommand(serve::service_command())
}

fn fail(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("redwingrill-lab: {error}");
    ExitCode::FAILURE
}
