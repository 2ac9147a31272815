//! The commands and their arguments.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap_complete::Shell;

use redwingrill_config::Generation;
use redwingrill_explain::ExplainQuery;

/// The addresses of the platform.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct PlatformArgs {
    /// The endpoints of the store; any of them may be used.
    pub endpoints: Vec<SocketAddr>,
    /// The endpoints of the instance list; if empty, those of the store are used.
    pub instance_list_endpoints: Vec<SocketAddr>,
}

/// The nodes that a command uses.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct NodeSelection {
    /// Administration addresses.
    pub addresses: Vec<SocketAddr>,
    /// The administration port of the nodes in the instance list; none to use only `addresses`.
    pub admin_port: Option<u16>,
}

/// The arguments of `apply`.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ApplyArgs {
    /// Files and directories.
    pub files: Vec<PathBuf>,
    /// The platform.
    pub platform: PlatformArgs,
    /// The nodes to poll.
    pub nodes: NodeSelection,
    /// The accepted generation that the files are based on; none to skip the check.
    pub expected: Option<Generation>,
    /// Maximum time to wait until nodes have it in force; none to not wait.
    pub wait: Option<Duration>,
}

/// The arguments of `keys`.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct KeysArgs {
    /// The name of the deployment in the authority's certificate.
    pub site: String,
    /// The directory for the files.
    pub directory: PathBuf,
    /// The names of the nodes.
    pub nodes: Vec<String>,
}

/// The arguments of `explain`.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ExplainArgs {
    /// The address of the node: of its administration, or on the platform of its metrics.
    pub node: SocketAddr,
    /// The request.
    pub query: ExplainQuery,
}

/// One command.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Command {
    /// Check files.
    Check {
        /// Files and directories.
        files: Vec<PathBuf>,
    },
    /// Apply files as the accepted configuration.
    Apply(ApplyArgs),
    /// Print the accepted configuration.
    Show {
        /// The platform.
        platform: PlatformArgs,
    },
    /// Print the generations that nodes have in force.
    Status {
        /// The platform.
        platform: PlatformArgs,
        /// The nodes.
        nodes: NodeSelection,
    },
    /// Print the state dump of a node.
    Dump {
        /// Its administration address.
        node: SocketAddr,
    },
    /// Print where a node would send a request, and why.
    Explain(ExplainArgs),
    /// Start the graceful shutdown of a node.
    Drain {
        /// Its administration address.
        node: SocketAddr,
    },
    /// Print the hash of an API key read from standard input.
    HashKey,
    /// Create keys and certificates for the connections between nodes.
    Keys(KeysArgs),
    /// Print a shell's completion script.
    Completion {
        /// The shell.
        shell: Shell,
    },
}

impl Command {
    /// Returns the platform addresses of the command; empty if it does not use the platform.
    pub fn platform(&self) -> PlatformArgs {
        match self {
            Self::Apply(args) => args.platform.clone(),
            Self::Show { platform } | Self::Status { platform, .. } => platform.clone(),
            _ => PlatformArgs::default(),
        }
    }
}
