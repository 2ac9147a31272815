//! A link: an ordered series of exchanges between two nodes.
//!
//! Each side tracks which records and items the other side has, and sends only what is missing. The
//! key of an origin is sent in full once per link and replaced by a small number afterwards. A
//! lost, duplicate or reordered frame ends the link. The next link starts with empty tables, so
//! both sides always agree on the numbers.

mod frame;
mod state;
mod tables;

pub use frame::ExchangeResponse;
pub use frame::Frame;
pub use frame::LinkId;
pub use state::DecodedFrame;
pub use state::Link;
pub use state::LinkError;
pub use state::LocalState;
