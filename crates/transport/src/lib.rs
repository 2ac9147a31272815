//! HTTP/1.1 client connections with a pool and timeouts.
//!
//! The pool differs from a general client in three ways that the router's guarantees need:
//!
//! - an error states whether the request may have been received;
//! - a response timeout discards its connection and every idle connection to that address that is
//!   at least as old, because a middlebox may have lost the state of all of them; a new connection
//!   then shows whether the upstream itself is at fault;
//! - what it buffers of responses draws on the [`ByteBudget`] of the process;
//! - [`Pool::close`] joins all tasks that drive connections.

mod body;
mod byte_budget;
mod dead_peer;
mod error;
mod framing;
mod kept_socket;
mod pool;
mod postcard_codec;
mod request_connections;
mod upload;

pub use body::BodyTimeouts;
pub use body::ResponseBody;
pub use byte_budget::BudgetExceeded;
pub use byte_budget::BudgetedBuffer;
pub use byte_budget::ByteBudget;
pub use byte_budget::ByteReservation;
pub use dead_peer::allow_slow_reader;
pub use dead_peer::enable_dead_peer_detection;
pub use error::TransportError;
pub use framing::Framing;
pub use pool::Freshness;
pub use pool::Pool;
pub use pool::PoolState;
pub use pool::Timeouts;
pub use postcard_codec::Postcard;
pub use request_connections::ConnectionUse;
pub use request_connections::RequestConnections;
