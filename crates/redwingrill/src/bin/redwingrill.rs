//! The operator command `redwingrill`.

use std::process::ExitCode;

fn main() -> ExitCode {
    redwingrill::operator::main(std::env::args_os())
}
