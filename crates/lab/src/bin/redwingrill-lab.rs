//! Stand-ins, load and experiments; see `redwingrill-lab --help`.

use std::process::ExitCode;

fn main() -> ExitCode {
    redwingrill_lab::cli::run()
}
