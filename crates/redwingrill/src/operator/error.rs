//! Why a command failed, and the way out.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::Value;
use serde_json::json;
use snafu::Snafu;

use super::nodes::NodeReport;
use redwingrill_codes::ResultCode;
use redwingrill_config::ApplyError;
use redwingrill_config::Faults;
use redwingrill_config::StorageError;

/// Why a command failed.
#[derive(Debug, Snafu)]
pub enum OperatorError {
    /// The files have faults.
    #[snafu(display("faults found: {}\n{faults}", faults.found.len()))]
    Invalid {
        /// The faults.
        faults: Faults,
    },
    /// The configuration was not applied, or may not have been.
    #[snafu(display("{source}{}", changes(source)))]
    Apply {
        /// Why.
        source: ApplyError,
    },
    /// The accepted configuration could not be read.
    #[snafu(display("{source}"))]
    Read {
        /// Why.
        source: StorageError,
    },
    /// The platform's instance list could not be read.
    #[snafu(display("instance list: {reason}"))]
    InstanceList {
        /// Why.
        reason: String,
    },
    /// No node was named.
    #[snafu(display("no node is named"))]
    NoNodes,
    /// A node did not answer.
    #[snafu(display("node {node}: {reason}"))]
    Node {
        /// Its administration address.
        node: SocketAddr,
        /// Why.
        reason: String,
    },
    /// Nodes did not answer.
    #[snafu(display("some nodes did not answer\n{}", lines(reports)))]
    Unreachable {
        /// All nodes that were asked.
        reports: Vec<NodeReport>,
    },
    /// Nodes do not have an accepted generation in force.
    #[snafu(display(
        "generation {generation} is accepted, and not yet in force everywhere\n{}",
        lines(reports)
    ))]
    NotInForce {
        /// The generation.
        generation: u64,
        /// All nodes that were asked.
        reports: Vec<NodeReport>,
    },
    /// A set of keys could not be made.
    #[snafu(display("{}: {reason}", path.display()))]
    Keys {
        /// The file, directory or node at fault.
        path: PathBuf,
        /// Why.
        reason: String,
    },
    /// Standard input could not be read.
    #[snafu(display("standard input: {reason}"))]
    Input {
        /// Why.
        reason: String,
    },
}

impl OperatorError {
    /// Returns the result code, which gives the exit status.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Invalid { .. } => ResultCode::ConfigInvalid,
            Self::Apply { source } => source.code(),
            Self::Read { .. } | Self::InstanceList { .. } => ResultCode::StoreUnavailable,
            Self::NoNodes | Self::Input { .. } | Self::Keys { .. } => ResultCode::Usage,
            Self::Node { .. } | Self::Unreachable { .. } => ResultCode::NodeUnreachable,
            Self::NotInForce { .. } => ResultCode::ConfigNotInForce,
        }
    }

    /// Says what the operator can do.
    pub fn hint(&self) -> &'static str {
        match self {
            Self::Invalid { .. } => "mend the files and run `redwingrill check` again",
            Self::Apply { source } => apply_hint(source),
            Self::Read { source: StorageError::Store { .. } } | Self::InstanceList { .. } => {
                "see that the platform answers at the given addresses, and run the command again"
            }
            Self::Read { .. } => {
                "apply the operator's files again; nodes go on with what they have"
            }
            Self::NoNodes => {
                "name administration addresses with --nodes, or --platform and --admin-port"
            }
            Self::Node { .. } | Self::Unreachable { .. } => {
                "see that the nodes run and that the addresses are their administration addresses"
            }
            Self::NotInForce { .. } => {
                "nodes take it as soon as they can; see `redwingrill status` and the logs of those behind"
            }
            Self::Keys { .. } => "name an empty directory, and nodes by names of files",
            Self::Input { .. } => {
                "pipe one key into the command, such as: printf %s KEY | redwingrill hash-key"
            }
        }
    }

    /// Returns the error as JSON.
    pub fn to_json(&self) -> Value {
        let code = self.code();
        let mut error = json!({
            "code": code.info().name,
            "result_code": code.number(),
            "message": self.to_string(),
            "way_out": self.hint(),
        });
        match self {
            Self::Invalid { faults } => error["faults"] = json!(faults.found),
            Self::Apply { source: ApplyError::Conflict { found, differences } } => {
                error["generation"] = json!(found.0);
                error["changed"] = json!(differences);
            }
            Self::Unreachable { reports } | Self::NotInForce { reports, .. } => {
                error["nodes"] = json!(reports);
            }
            _ => {}
        }
        json!({ "error": error })
    }
}

fn apply_hint(error: &ApplyError) -> &'static str {
    match error {
        ApplyError::Conflict { .. } => {
            "look at `redwingrill show`, take the other change into your files, and apply again"
        }
        ApplyError::OldCopy { .. } => {
            "wait some seconds until the nodes have written the newer configuration back, and apply again"
        }
        ApplyError::TooLarge { .. } => "split the site, or remove sections that are not needed",
        ApplyError::OutcomeUnknown { .. } => {
            "look at `redwingrill show`; applying the same files again is harmless"
        }
        ApplyError::Storage { .. } => {
            "nothing was applied; see that the platform answers, and apply again"
        }
    }
}

fn changes(error: &ApplyError) -> String {
    let ApplyError::Conflict { differences, .. } = error else { return String::new() };
    differences.iter().map(|difference| format!("\n{difference}")).collect()
}

fn lines(reports: &[NodeReport]) -> String {
    reports.iter().map(NodeReport::to_string).collect::<Vec<_>>().join("\n")
}
