//! What upstreams say of themselves in their answers, and what follows for requests to them.
//!
//! Upstreams say of themselves that they are limited, want a pause, or leave ([`SignalState`]).
//!
//! An upstream in need names a rate limit for the requests of all nodes together. With many nodes
//! the first burst decides: a token for each of 195 nodes is more than a limit of nine a second
//! allows in four seconds. Rendezvous hashing therefore selects a few nodes for each limited
//! upstream ([`limit_share_per_s`]), and each of them has a token bucket ([`RateGate`]).
//!
//! Invariants: a signal belongs to one start of an upstream, never to its address, and outlives its
//! entry in the list; an answer to a request that was sent before the latest statement arrived does
//! not loosen it; an upstream that leaves does not come back.

mod digest;
mod rate_gate;
mod share;
mod state;

pub use digest::LimitStatement;
pub use rate_gate::GateChange;
pub use rate_gate::RateGate;
pub use share::limit_share_per_s;
pub use state::SignalState;
