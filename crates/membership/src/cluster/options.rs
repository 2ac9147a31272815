//! Inputs and outputs of the state machine.

use std::net::SocketAddr;

use crate::Frame;
use crate::LinkId;
use crate::MemberInfo;

/// Start options of a node.
#[derive(Clone, Debug)]
pub struct ClusterOptions {
    /// The node itself.
    pub info: MemberInfo,
    /// Addresses to connect to while no other member is known.
    pub seeds: Vec<SocketAddr>,
    /// Random number of the process: seeds the random generator and identifies the process.
    pub boot: u64,
}

/// An action for the driver to perform.
#[derive(Clone, PartialEq, Debug)]
pub enum Action {
    /// Call `exchange` on the node at an address, then report the response or the failure.
    Exchange {
        /// The link.
        link: LinkId,
        /// The address of the node.
        address: SocketAddr,
        /// The frame to send.
        frame: Frame,
    },
    /// Ask the node that opened a link to start an exchange now.
    Nudge {
        /// The link.
        link: LinkId,
    },
    /// Close the connection of a link.
    Close {
        /// The link.
        link: LinkId,
    },
}

/// Parts of the state that changed since the last query.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Changes {
    /// The members or their states.
    pub members: bool,
    /// The newest generation known.
    pub generation: bool,
    /// Engine loads or incarnations.
    pub engines: bool,
    /// The upstreams known to be leaving.
    pub leaving: bool,
    /// The heavy hitters of other nodes.
    pub heavy_hitters: bool,
    /// The hot prefixes of other nodes.
    pub hot_prefixes: bool,
}
