//! What goes into the state machine and comes out of it.

use std::net::SocketAddr;

use crate::Frame;
use crate::LinkId;
use crate::MemberInfo;

/// How a node starts.
#[derive(Clone, Debug)]
pub struct ClusterOptions {
    /// The node itself.
    pub info: MemberInfo,
    /// Addresses to try while no member is known.
    pub seeds: Vec<SocketAddr>,
    /// Seeds the node's random choices, and marks its process.
    pub boot: u64,
}

/// What the driver must do.
#[derive(Clone, PartialEq, Debug)]
pub enum Action {
    /// Call `exchange` on the node at an address, then report the reply or the failure.
    Exchange {
        /// The link.
        link: LinkId,
        /// The address of the node.
        address: SocketAddr,
        /// What to send.
        frame: Frame,
    },
    /// Ask the node that opened a link to exchange now.
    Nudge {
        /// The link.
        link: LinkId,
    },
    /// Drop the connection of a link.
    Close {
        /// The link.
        link: LinkId,
    },
}

/// What changed since it was last asked.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Changes {
    /// Members or their states.
    pub members: bool,
    /// The newest generation known.
    pub generation: bool,
    /// Engine loads or incarnations.
    pub engines: bool,
    /// Upstreams known to be leaving.
    pub leaving: bool,
    /// Heavy hitters.
    pub heavy_hitters: bool,
    /// Hot prefixes.
    pub hot_prefixes: bool,
}
