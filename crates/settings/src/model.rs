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
    /// Section `[tls]`; without it the node does not communicate with peers.
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

/// The identity and the listen addresses of the node.
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
    /// The time limit of a graceful shutdown.
    pub drain_deadline_ms: u64,
    /// How long the node still accepts requests after it reports that it is not ready.
    pub drain_notice_ms: u64,
}

/// The addresses of the platform's services.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// The endpoints of the store, all equivalent.
    pub endpoints: Vec<SocketAddr>,
    /// The endpoints of the instance list; if empty, those of the store are used.
    pub instance_list_endpoints: Vec<SocketAddr>,
    /// The time limit of one call.
    pub call_timeout_ms: u64,
}

/// How the node finds its peers.
#[derive(Clone, Debug, Default)]
pub struct PeerSettings {
    /// Addresses (UDP) of the peers that are contacted first.
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
    /// The largest header section, in bytes.
    pub header_bytes: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// The time limit for receiving a whole request.
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

/// Time limits for the parts of an engine's response.
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
    /// The engine to which the prefix hashes.
    Affinity,
    /// The engine with the lowest cost within a candidate set.
    #[default]
    Redwingrill,
}

/// The destination of metrics.
#[derive(Clone, Debug, Default)]
pub struct MetricsSettings {
    /// The address of a StatsD server (UDP); without it, metrics are dropped.
    pub statsd: Option<SocketAddr>,
}

/// Options of the log.
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
