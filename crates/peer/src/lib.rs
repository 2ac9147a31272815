//! Calls between nodes: tarpc over QUIC with mutual TLS.
//!
//! - [`Peers`]: one UDP endpoint that dials other nodes, reuses connections, and answers calls
//!   through a [`Handler`].
//! - [`TlsFiles`]: the certificates, read again when they change.
//! - [`make_site_keys`]: an authority and node certificates for a site.
//!
//! A connection carries calls in both directions. Each wait is bounded; a connection that does not
//! answer a call in time is closed and the next call opens a new one. A peer without a certificate
//! of the site's authority gets no connection, so it learns and changes nothing.

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
