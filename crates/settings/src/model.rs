//! The settings as typed data.

use std::net::SocketAddr;
use std::path::PathBuf;

/// All settings of one daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Section `[node]`.
    pub node: NodeSettings,
    /// Section `[platform]`.
    pub platform: PlatformSettings,
    /// Section `[peers]`.
    pub peers: PeerSettings,
    /// Section `[tls]`; without it the node speaks to no peers.
    pub tls: Option<TlsSettings>,
    /// Section `[limits]`.
    pub limits: LimitSettings,
    /// Section `[streams]`.
    pub streams: StreamSettings,
    /// Section `[placement]`.
    pub placement_policy: PlacementPolicy,
    /// Section `[metrics]`.
    pub metrics: MetricsSettings,
    /// Section `[log]`.
    pub log: LogSettings,
}

/// Who the node is and where it listens.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The name, unique in the fleet.
    pub name: String,
    /// The address for callers (TCP).
    pub listen: SocketAddr,
    /// The address for administration (TCP).
    pub admin_listen: SocketAddr,
    /// The address for peers (UDP).
    pub peer_listen: SocketAddr,
    /// The failure domain.
    pub failure_domain: String,
    /// The region.
    pub region: String,
    /// How long a graceful shutdown may take.
    pub drain_deadline_ms: u64,
    /// How long the node goes on to accept after it says that it is not ready.
    pub drain_notice_ms: u64,
}

/// Where the platform's service is.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// The equal endpoints of the store.
    pub endpoints: Vec<SocketAddr>,
    /// The endpoints of the instance list; empty for those of the store.
    pub instance_list_endpoints: Vec<SocketAddr>,
    /// How long one call may take.
    pub call_timeout_ms: u64,
}

/// How the node finds its peers.
#[derive(Clone, Debug, Default)]
pub struct PeerSettings {
    /// Addresses (UDP) of peers to begin with.
    pub seeds: Vec<SocketAddr>,
}

/// Files with the node's keys.
#[derive(Clone, Debug)]
pub struct TlsSettings {
    /// The certificate authority, PEM.
    pub ca_file: PathBuf,
    /// The node's certificate chain, PEM.
    pub certificate_file: PathBuf,
    /// The node's private key, PEM.
    pub key_file: PathBuf,
}

/// Limits on what callers send.
#[derive(Clone, Debug)]
pub struct LimitSettings {
    /// The longest header section.
    pub header_bytes: usize,
    /// The longest body.
    pub body_bytes: usize,
    /// The time to send a whole request.
    pub request_timeout_ms: u64,
    /// Open connections of all callers together.
    pub connections: usize,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            request_timeout_ms: 10_000,
            connections: 20_000,
        }
    }
}

/// How long the parts of an engine's answer may take.
#[derive(Clone, Debug)]
pub struct StreamSettings {
    /// Opening a connection.
    pub connect_timeout_ms: u64,
    /// From sending a request to its first token.
    pub first_token_timeout_ms: u64,
    /// From one token to the next.
    pub token_timeout_ms: u64,
}

impl Default for StreamSettings {
    fn default() -> Self {
        Self { connect_timeout_ms: 500, first_token_timeout_ms: 20_000, token_timeout_ms: 2_000 }
    }
}

/// How an engine is chosen.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum PlacementPolicy {
    /// Any engine.
    Random,
    /// The engine with the least load.
    LeastLoaded,
    /// The engine that the prefix hashes to.
    Affinity,
    /// The least cost within a candidate set.
    #[default]
    Redwingrill,
}

/// Where metrics go.
#[derive(Clone, Debug, Default)]
pub struct MetricsSettings {
    /// The address of a StatsD server (UDP); without it, metrics are dropped.
    pub statsd: Option<SocketAddr>,
}

/// What is logged.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// The least severe level that is logged.
    pub level: log::LevelFilter,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: log::LevelFilter::Info }
    }
}
