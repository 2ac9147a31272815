//! The router daemon `redwingrilld`, which runs on entry instances.

use std::process::ExitCode;

fn main() -> ExitCode {
    redwingrill::daemon::main(std::env::args_os())
}
