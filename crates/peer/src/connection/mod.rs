//! Connections between nodes.
//!
//! ```text
//!   connect ----> open ----> closed
//!      |              a call fails or times out, the peer closes, or the idle timeout expires
//!      +--------> failed
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
