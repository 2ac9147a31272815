//! Errors of commands, with hints for the operator.

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
use redwingrill_explain::ExplainFault;

/// Why a command failed.
#[derive(Debug, Snafu)]
pub enum OperatorError {
    /// The files are invalid.
    #[snafu(display("faults found: {}\n{faults}", faults.found.len()))]
    Invalid {
        /// The faults.
        faults: Faults,
    },
    /// The configuration was not applied, or may not have been.
    #[snafu(display("{source}{}", changes(source)))]
    Apply {
        /// The cause.
        source: ApplyError,
    },
    /// The accepted configuration could not be read.
    #[snafu(display("{source}"))]
    Read {
        /// The cause.
        source: StorageError,
    },
    /// The platform's instance list could not be read.
    #[snafu(display("instance list: {reason}"))]
    InstanceList {
        /// The cause.
        reason: String,
    },
    /// No node was selected.
    #[snafu(display("no node is named"))]
    NoNodes,
    /// A call to a node failed.
    #[snafu(display("node {node}: {reason}"))]
    Node {
        /// Its administration address.
        node: SocketAddr,
        /// The cause.
        reason: String,
    },
    /// A node does not explain the request.
    #[snafu(display("node {node}: {}", fault.message))]
    NotExplained {
        /// The address.
        node: SocketAddr,
        /// The answer.
        fault: ExplainFault,
    },
    /// Some nodes did not respond.
    #[snafu(display("some nodes did not answer\n{}", lines(reports)))]
    Unreachable {
        /// The reports of all polled nodes.
        reports: Vec<NodeReport>,
    },
    /// Some nodes do not have the accepted generation in force.
    #[snafu(display(
        "generation {generation} is accepted, and not yet in force everywhere\n{}",
        lines(reports)
    ))]
    NotInForce {
        /// The generation.
        generation: u64,
        /// The reports of all polled nodes.
        reports: Vec<NodeReport>,
    },
    /// The keys could not be created.
    #[snafu(display("{}: {reason}", path.display()))]
    Keys {
        /// The file, directory or node at fault.
        path: PathBuf,
        /// The cause.
        reason: String,
    },
    /// Standard input could not be read.
    #[snafu(display("standard input: {reason}"))]
    Input {
        /// The cause.
        reason: String,
    },
}

impl OperatorError {
    /// Returns the result code, which determines the exit status.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Invalid { .. } => ResultCode::ConfigInvalid,
            Self::Apply { source } => source.code(),
            Self::Read { .. } | Self::InstanceList { .. } => ResultCode::StoreUnavailable,
            Self::NoNodes | Self::Input { .. } | Self::Keys { .. } => ResultCode::Usage,
            Self::Node { .. } | Self::Unreachable { .. } => ResultCode::NodeUnreachable,
            Self::NotExplained { fault, .. } => fault.code(),
            Self::NotInForce { .. } => ResultCode::ConfigNotInForce,
        }
    }

    /// Returns what the operator can do about the error.
    pub fn hint(&self) -> &'static str {
        match self {
            Self::Invalid { .. } => "fix the files and run `redwingrill check` again",
            Self::Apply { source } => apply_hint(source),
            Self::Read { source: StorageError::Store { .. } } | Self::InstanceList { .. } => {
                "check that the platform is reachable at the given addresses, and run the command again"
            }
            Self::Read { .. } => {
                "apply the configuration files again; nodes keep the configuration that they have"
            }
            Self::NoNodes => {
                "pass administration addresses with --nodes, or --platform and --admin-port"
            }
            Self::Node { .. } | Self::Unreachable { .. } => {
                "check that the nodes run and that the addresses are their administration addresses"
            }
            Self::NotExplained { fault, .. } => explain_hint(fault.code()),
            Self::NotInForce { .. } => {
                "nodes apply it as soon as they can; see `redwingrill status` and the logs of the nodes that lag"
            }
            Self::Keys { .. } => {
                "choose an empty directory, and node names that are valid file names"
            }
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
            "run `redwingrill show`, merge the other change into your files, and apply again"
        }
        ApplyError::StaleStore { .. } => {
            "wait a few seconds until the nodes have restored the newer configuration, and apply again"
        }
        ApplyError::TooLarge { .. } => {
            "split the deployment, or remove sections that are not needed"
        }
        ApplyError::OutcomeUnknown { .. } => {
            "run `redwingrill show`; applying the same files again is safe"
        }
        ApplyError::Storage { .. } => {
            "nothing was applied; check that the platform is reachable, and apply again"
        }
    }
}

fn explain_hint(code: ResultCode) -> &'static str {
    match code {
        ResultCode::NotReady | ResultCode::Draining => "ask another node",
        _ => "compare the names with the configuration that the node has in force",
    }
}

fn changes(error: &ApplyError) -> String {
    let ApplyError::Conflict { differences, .. } = error else { return String::new() };
    differences.iter().map(|difference| format!("\n{difference}")).collect()
}

fn lines(reports: &[NodeReport]) -> String {
    reports.iter().map(NodeReport::to_string).collect::<Vec<_>>().join("\n")
}
