//! HTTP/1.1 client connections with a pool and bounded waits.
//!
//! The pool differs from a general client in three ways that the router's promises need. An error
//! says whether the request may have been received. A reply that does not come in time condemns its
//! connection and every idle connection to that address that is as old, because something between
//! the two ends may have lost track of them all; a fresh connection then shows whether the upstream
//! itself is at fault. And all tasks that drive connections are joined by [`Pool::close`].

mod body;
mod dead_peer;
mod error;
mod pool;
mod postcard_codec;

pub use body::ResponseBody;
pub use dead_peer::enable_dead_peer_detection;
pub use error::TransportError;
pub use pool::Freshness;
pub use pool::Pool;
pub use pool::PoolState;
pub use pool::Timeouts;
pub use postcard_codec::Postcard;
