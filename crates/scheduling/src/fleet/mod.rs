//! The available upstreams with their reported load and health.

mod arrivals;
mod closure;
mod digest;
mod ended;
mod health;
mod misdirection;
mod response_sample;
mod table;

pub use arrivals::ArrivalCounter;
pub use closure::Closure;
pub use digest::DIGEST_PERIOD_MS;
pub use digest::LoadDigest;
pub use digest::NODES_PER_DIGEST_PERIOD;
pub use digest::NodeLoad;
pub use digest::PeerLoads;
pub use digest::UpstreamTag;
pub use digest::digest_round_ms;
pub use ended::EndEvidence;
pub use ended::EndStatement;
pub use ended::EndedStarts;
pub use health::Health;
pub use health::Verdict;
pub use misdirection::Misdirection;
pub use misdirection::StatedUpstream;
pub use response_sample::ResponseSample;
pub use table::Fleet;
pub use table::FleetEntry;
pub use table::UpstreamIndex;
