//! Assignment of prompts to engines by one node for each group of engines.
//!
//! The load pattern: a fleet at its capacity. As soon as an engine has room, every node at which
//! prompts wait sees it, and all of them would send there before they hear of each other; some
//! engines then queue and preempt while others are idle, prefixes are prefilled at several engines
//! at once, and the work that is lost this way keeps the fleet at its capacity after the burst.
//!
//! The engines of a service are divided into [`groups`]. All nodes derive the same coordinator for
//! each group from the list of members. A node that has a prompt asks the coordinator of a group
//! ([`Requester`]); the [`Coordinator`] sees all prompts for its engines, queues them by urgency
//! and target, and assigns one at a time with exact counters.
//!
//! Invariants:
//! - A coordinator's state is soft. It is rebuilt from the reports that accompany each request, so
//!   nothing is lost with a coordinator, and two of them for a while only know less.
//! - An assignment permits a node to send; it promises nothing. Engines enforce their own limits.
//! - Every message may be lost, late or repeated. A node reports absolute loads, and a coordinator
//!   counts an assignment itself until a report includes it.
//! - A decision is used only for the inquiry that it responds to, of the same run of the node, and
//!   only if its engine belongs to the service of the request, and runs the version of the software
//!   that the request needs, whatever the coordinator knows of versions.
//! - Without an answer the node asks the next coordinator, and in the end decides by itself.

mod coordinator;
mod groups;
mod messages;
mod node;
mod requester;

pub use coordinator::Coordinator;
pub use groups::EngineGroup;
pub use groups::GroupKey;
pub use groups::GroupNode;
pub use groups::divide;
pub use messages::AssignmentRequest;
pub use messages::AssignmentResponse;
pub use messages::CoordinationMessage;
pub use messages::Decision;
pub use messages::Grant;
pub use messages::InquiryId;
pub use messages::LoadReport;
pub use messages::Requirements;
pub use node::Coordination;
pub use requester::PlannedInquiry;
pub use requester::RequestOptions;
pub use requester::Requester;
pub use requester::Resolution;
pub use requester::Resolved;
