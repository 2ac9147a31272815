//! Fleet-wide quotas of accounts, for which nodes lease tokens from a few owners.
//!
//! ```text
//! request ─► LeaseHolder ── ask ──► QuotaOwner (one of at most five for the account)
//!                        ◄─ answer ─   a bucket with an equal part of rate and burst
//!                        ── return ─►
//! ```
//!
//! Invariants:
//! - All nodes derive the same owners from the list of nodes. They change only with the list, not
//!   when one is silent, so no two nodes hold the same part.
//! - Tokens are charged when they are granted. A grant and a return take effect once, however often
//!   their datagrams arrive; lost ones lose tokens.
//! - A bucket without known state is empty.
//! - A decision needs no clock but the node's own: messages carry durations.

mod holder;
mod messages;
mod node;
mod owner;
mod owners;

pub use holder::Decided;
pub use holder::LeaseHolder;
pub use holder::QuotaCharge;
pub use holder::QuotaDecision;
pub use messages::QuotaAnswer;
pub use messages::QuotaAsk;
pub use messages::QuotaMessage;
pub use messages::QuotaMessageId;
pub use node::FleetQuotas;
pub use node::QuotaOptions;
pub use owner::QuotaOwner;
pub use owner::QuotaPart;
pub use owners::OWNERS_LIMIT;
pub use owners::QuotaMember;
pub use owners::owners_limit;
pub use owners::owners_of;
