//! The daemon's command line and its run from start to exit.

mod args;
mod run;

pub use args::Args;
pub use run::main;
