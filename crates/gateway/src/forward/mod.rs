//! The way of one request: from its head to the end of its answer.
//!
//! ```text
//!  head read ─► route ─► account ─► body read ─► sent ──► answered ──► relayed ─► ended
//!      │          │         │           │         │ ▲ again   │ ▲ resumed
//!      ▼          ▼         ▼           ▼         ▼ │         ▼ │
//!    refused: has not run                    failed: may have run
//! ```
//!
//! Invariants: a refusal (408, 421, 429, 503) is given only if no upstream may have run the request
//! or run it later; a request that may not repeat is sent again only after an upstream stated that
//! it did not run it, or if it was never sent; an answer is an upstream's whole answer, tied to the
//! request by its identifier, or an error of the router's own.

mod call;
mod events;
mod gateway;
mod relay;
mod response;
mod send;

pub use events::EventSplitter;
pub use gateway::Gateway;
pub use gateway::GatewayContext;
pub use response::Body;
pub use response::StreamAborted;
pub use response::full_body;
