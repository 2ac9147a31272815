//! What nodes spend on each other: bytes, processor time, memory, calls at the platform, and the
//! time that a change takes to be in force everywhere.
//!
//! Routers run as processes of their own, each on a loopback address of its own, before a platform
//! stand-in and one server that answers for all engines. The figures come from the operating
//! system, from each node's dump and from the counts of the stand-ins.

mod fleet;
mod loads;
mod measure;
mod report;
mod site;

use std::io;

use snafu::Snafu;

use crate::process::ProcessError;
use crate::site::PeerSetupError;
use redwingrill_config::ApplyError;
use redwingrill_config::Faults;

pub use fleet::ControlFleet;
pub use loads::LoadServer;
pub use report::ControlReport;
pub use site::accept;

/// What to measure.
#[derive(Clone, Debug)]
pub struct ControlOptions {
    /// The sizes of the fleet, one run each.
    pub nodes: Vec<usize>,
    /// Engines in the configuration.
    pub engines: usize,
    /// Client accounts in the configuration.
    pub accounts: usize,
    /// Failure domains.
    pub domains: usize,
    /// How long each window is.
    pub window_s: u64,
    /// Changes of the configuration in the second window.
    pub changes: u64,
    /// Whether all nodes are killed and restarted at the end, after one domain was.
    pub restarts: bool,
}

/// Why there are no figures.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ControlError {
    /// The machine did not play along.
    #[snafu(display("{source}"))]
    Machine {
        /// The cause.
        source: io::Error,
    },
    /// The keys could not be made.
    #[snafu(display("{source}"))]
    Keys {
        /// The cause.
        source: PeerSetupError,
    },
    /// The configuration has faults.
    #[snafu(display("{faults}"))]
    Invalid {
        /// The faults.
        faults: Faults,
    },
    /// The configuration was not accepted.
    #[snafu(display("{source}"))]
    Apply {
        /// The cause.
        source: ApplyError,
    },
    /// A router failed.
    #[snafu(display("{source}"))]
    Process {
        /// The cause.
        source: ProcessError,
    },
    /// The routers did not come to agree.
    #[snafu(display("{reason} within {limit_s} s"))]
    Late {
        /// What did not happen.
        reason: String,
        /// The limit.
        limit_s: u64,
    },
}

/// Runs the experiment once for each size of the fleet. `print` gets each report as it comes.
///
/// # Errors
///
/// See [`ControlError`].
pub async fn run(
    options: &ControlOptions,
    mut print: impl FnMut(&ControlReport),
) -> Result<(), ControlError> {
    for &nodes in &options.nodes {
        print(&measure::measure(options, nodes).await?);
    }
    Ok(())
}
