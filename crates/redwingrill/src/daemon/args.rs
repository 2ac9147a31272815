//! Command-line arguments of the daemon.

use std::ffi::OsString;
use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;

/// Parsed command-line arguments.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Args {
    /// The settings file. On the platform it is optional; the environment may name it instead.
    pub settings: Option<PathBuf>,
    /// Whether the node runs on the platform and uses the platform's settings, store and upstreams.
    pub on_platform: bool,
    /// Whether to only check the settings and exit.
    pub check: bool,
}

impl Args {
    /// Parses a command line whose first item is the program's name.
    ///
    /// # Errors
    ///
    /// Returns the error of `clap`, which prints its own message.
    pub fn parse(
        args: impl IntoIterator<Item = impl Into<OsString> + Clone>,
    ) -> Result<Self, clap::Error> {
        let matches = command().try_get_matches_from(args)?;
        Ok(Self {
            settings: matches.get_one::<PathBuf>("settings").cloned(),
            on_platform: matches.get_flag("platform"),
            check: matches.get_flag("check"),
        })
    }
}

fn command() -> Command {
    Command::new("redwingrilld")
        .about("The router daemon of an entry instance")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .help("The settings file")
                .value_parser(value_parser!(PathBuf))
                .required_unless_present("platform"),
        )
        .arg(
            Arg::new("platform")
                .long("platform")
                .help("Run on the platform; the environment names the settings file by default")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .help("Check the settings, print every fault, and exit")
                .action(ArgAction::SetTrue),
        )
}
