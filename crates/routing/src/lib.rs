//! What a site's configuration and its live upstreams are, in the product's words.
//!
//! - [`Configuration`] maps a request's host and path to a [`Route`], and its key to a
//!   [`ClientAccount`].
//! - [`Upstream`] is one live server of a [`Service`].
//! - [`RequestFacts`] and [`ReplyFacts`] are what a dialect reads from heads; [`LegOrders`] is what
//!   it writes into the head of a request that goes to an upstream.
//! - [`SharedStore`] and [`UpstreamControl`] are the ports to the outside.
//!
//! Everything here is free of I/O.

mod accounts;
mod configuration;
mod control;
mod dialect;
mod facts;
mod limits;
mod prompt;
mod routes;
mod services;
mod store;
mod upstreams;

pub use accounts::AccountIndex;
pub use accounts::ClientAccount;
pub use configuration::Configuration;
pub use configuration::ConfigurationParts;
pub use configuration::InvalidConfiguration;
pub use control::CacheChange;
pub use control::CacheChanges;
pub use control::ControlError;
pub use control::UpstreamControl;
pub use control::WeightsOrder;
pub use control::WeightsOutcome;
pub use dialect::HeadDialect;
pub use dialect::ItemDialect;
pub use dialect::ItemKind;
pub use dialect::Unreadable;
pub use facts::LegOrders;
pub use facts::ReplyFacts;
pub use facts::ReportedLoad;
pub use facts::RequestFacts;
pub use limits::CallerLimits;
pub use prompt::DeclaredPrompt;
pub use prompt::PartId;
pub use prompt::PromptPart;
pub use routes::Route;
pub use routes::RouteKind;
pub use routes::ServiceShare;
pub use services::CacheStore;
pub use services::EngineTraits;
pub use services::Service;
pub use store::Change;
pub use store::ChangeBatch;
pub use store::Condition;
pub use store::Item;
pub use store::LeaseGrant;
pub use store::LeaseId;
pub use store::Listing;
pub use store::Revision;
pub use store::SharedStore;
pub use store::StoreFault;
pub use store::Write;
pub use store::WriteOutcome;
pub use upstreams::Upstream;
pub use upstreams::UpstreamState;
pub use upstreams::WeightsVersion;
