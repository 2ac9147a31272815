//! Connections between nodes.
//!
//! ```text
//!   dial ----> open ----> closed
//!     |         |  a call is not answered in time, the peer closes, or nothing is said for long
//!     +-------> failed
//! ```

mod error;
mod peer;
mod peers;
mod traffic;

pub use error::PeerError;
pub use error::StartError;
pub use peer::PeerConnection;
pub use peers::Peers;
pub use peers::PeersOptions;
pub use traffic::Traffic;
