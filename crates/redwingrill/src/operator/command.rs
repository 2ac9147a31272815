//! What a command line asks for.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap_complete::Shell;

use redwingrill_config::Generation;

/// Where the platform is.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct PlatformArgs {
    /// The equal endpoints of the store.
    pub endpoints: Vec<SocketAddr>,
    /// The endpoints of the instance list; empty for those of the store.
    pub instance_list_endpoints: Vec<SocketAddr>,
}

/// Which nodes to ask.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct NodeSelection {
    /// Administration addresses.
    pub addresses: Vec<SocketAddr>,
    /// The administration port of nodes that the instance list names.
    pub admin_port: Option<u16>,
}

/// The arguments of `apply`.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ApplyArgs {
    /// Files and directories.
    pub files: Vec<PathBuf>,
    /// The platform.
    pub platform: PlatformArgs,
    /// The nodes to ask.
    pub nodes: NodeSelection,
    /// The generation that the files were made for.
    pub expected: Option<Generation>,
    /// How long to wait until nodes have it in force; none for not at all.
    pub wait: Option<Duration>,
}

/// The arguments of `keys`.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct KeysArgs {
    /// The name of the site, for the authority's certificate.
    pub site: String,
    /// Where to write files.
    pub directory: PathBuf,
    /// The names of the nodes.
    pub nodes: Vec<String>,
}

/// One command.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Command {
    /// Check files.
    Check {
        /// Files and directories.
        files: Vec<PathBuf>,
    },
    /// Make files the accepted configuration.
    Apply(ApplyArgs),
    /// Print the accepted configuration.
    Show {
        /// The platform.
        platform: PlatformArgs,
    },
    /// Print what nodes have in force.
    Status {
        /// The platform.
        platform: PlatformArgs,
        /// The nodes.
        nodes: NodeSelection,
    },
    /// Print the whole state of a node.
    Dump {
        /// Its administration address.
        node: SocketAddr,
    },
    /// Begin the graceful shutdown of a node.
    Drain {
        /// Its administration address.
        node: SocketAddr,
    },
    /// Print the hash of an API key read from standard input.
    HashKey,
    /// Make keys and certificates for the connections between nodes.
    Keys(KeysArgs),
    /// Print a shell's completion script.
    Completion {
        /// The shell.
        shell: Shell,
    },
}

impl Command {
    /// Returns the platform that the command needs; one without endpoints if it needs none.
    pub fn platform(&self) -> PlatformArgs {
        match self {
            Self::Apply(args) => args.platform.clone(),
            Self::Show { platform } | Self::Status { platform, .. } => platform.clone(),
            _ => PlatformArgs::default(),
        }
    }
}
