//! The daemon of an entry instance.

use std::process::ExitCode;

fn main() -> ExitCode {
    redwingrill::daemon::main(std::env::args_os())
}
