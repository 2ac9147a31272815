//! Calls between nodes: tarpc over QUIC with mutual TLS.
//!
//! - [`PeerEndpoint`]: one UDP endpoint that connects to other nodes, reuses connections, and
//!   serves incoming calls through a [`Handler`].
//! - [`TlsFiles`]: the certificate files, reloaded when they change.
//! - [`make_deployment_keys`]: generates a certificate authority and node certificates.
//!
//! A connection carries calls in both directions. Every wait has a time limit. If a call fails or
//! times out, its connection is closed and the next call opens a new one. A peer without a
//! certificate of the deployment's authority cannot connect, so it can neither read nor change
//! anything.

mod calls;
mod connection;
mod keys;
mod tls;

pub use calls::Handler;
pub use connection::PeerConnection;
pub use connection::PeerEndpoint;
pub use connection::PeerEndpointOptions;
pub use connection::PeerError;
pub use connection::StartError;
pub use connection::Traffic;
pub use keys::DeploymentKeys;
pub use keys::KeyError;
pub use keys::NodeKeys;
pub use keys::make_deployment_keys;
pub use tls::TlsError;
pub use tls::TlsFiles;
