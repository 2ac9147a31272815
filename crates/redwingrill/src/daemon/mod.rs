//! The daemon: command line, startup and shutdown.

mod args;
mod run;

pub use args::Args;
pub use run::main;
