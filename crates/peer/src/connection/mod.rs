//! Connections between nodes.
//!
//! ```text
//!   dial ----> open ----> closed
//!     |         |  a call is not answered in time, the peer closes, or nothing is said for long
//!     +-------> failed
//! ```

mod endpoint;
mod error;
mod peer;
mod traffic;

pub use endpoint::PeerEndpoint;
pub use endpoint::PeerEndpointOptions;
pub use error::PeerError;
pub use error::StartError;
pub use peer::PeerConnection;
pub use traffic::Traffic;
