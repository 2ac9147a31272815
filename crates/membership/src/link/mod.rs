//! One link: an ordered series of exchanges between two nodes.
//!
//! Each side remembers what the other is known to have, and sends only what it lacks. Origins are
//! sent in full once a link and by a small number afterwards. A frame that is lost, repeated or out
//! of order ends the link, and the next link starts from nothing, so both sides always agree on
//! the numbers.

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
