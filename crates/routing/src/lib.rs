//! The domain model of routing: the configuration, live upstreams and request metadata.
//!
//! - [`Configuration`] maps a request's host and path to a [`Route`], and its key to a
//!   [`ClientAccount`].
//! - [`Upstream`] is one live server of a [`Service`].
//! - [`RequestMetadata`] and [`ResponseMetadata`] are decoded from heads; [`AttemptMetadata`] is
//!   encoded into the head of a request to an upstream.
//! - [`HeadCodec`], [`ItemCodec`], [`SharedStore`], [`UpstreamControl`] and [`LivenessCheck`] are
//!   the ports to the platform.
//!
//! This crate performs no I/O.

mod accounts;
mod cache_audience;
mod codec;
mod configuration;
mod control;
mod limits;
mod metadata;
mod prompt;
mod revision;
mod routes;
mod services;
mod signals;
mod store;
mod upstreams;
mod write_order;

pub use accounts::AccountIndex;
pub use accounts::AccountQuota;
pub use accounts::AccountTag;
pub use accounts::ClientAccount;
pub use accounts::QuotaUnit;
pub use cache_audience::CacheAudience;
pub use codec::DecodeError;
pub use codec::HeadCodec;
pub use codec::ItemCodec;
pub use codec::ItemKind;
pub use configuration::Configuration;
pub use configuration::ConfigurationParts;
pub use configuration::InvalidConfiguration;
pub use control::CacheChange;
pub use control::CacheChanges;
pub use control::ControlError;
pub use control::EngineReport;
pub use control::LivenessCheck;
pub use control::LivenessFuture;
pub use control::UpstreamControl;
pub use control::WeightsCommand;
pub use control::WeightsOutcome;
pub use limits::CallerLimits;
pub use metadata::AttemptMetadata;
pub use metadata::ReportedLoad;
pub use metadata::RequestMetadata;
pub use metadata::ResponseMetadata;
pub use prompt::DeclaredPrompt;
pub use prompt::PartId;
pub use prompt::PromptPart;
pub use revision::Era;
pub use revision::Revision;
pub use routes::Route;
pub use routes::RouteKind;
pub use routes::ServiceShare;
pub use services::CacheStore;
pub use services::EngineSpec;
pub use services::Service;
pub use signals::RateLimit;
pub use signals::UpstreamSignals;
pub use store::Change;
pub use store::ChangeBatch;
pub use store::Condition;
pub use store::Item;
pub use store::LeaseGrant;
pub use store::LeaseId;
pub use store::Listing;
pub use store::SharedStore;
pub use store::SharedStoreError;
pub use store::Write;
pub use store::WriteOutcome;
pub use upstreams::SoftwareVersion;
pub use upstreams::Upstream;
pub use upstreams::UpstreamState;
pub use upstreams::WeightsVersion;
pub use write_order::WriteOrder;
