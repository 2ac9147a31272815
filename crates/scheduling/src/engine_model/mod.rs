//! A learned model of how long the upstreams of a service take.
//!
//! Deployments differ in their engines: prefill rate, time to the first token, length of the decode
//! steps, transfer rate, and machines of unlike speed that other work slows down. Every decision
//! that compares times (when a queue at an engine is long, when a prompt can no longer meet its
//! target, when fetching a prefix is cheaper than prefilling it) takes them from this model, so
//! that no constant describes the engines of one deployment.
//!
//! - [`PrefillCurve`] gives the time to the first event for a prompt; [`CurveFit`] fits it from
//!   responses, robustly, starting from a prior that serves before anything is learned.
//! - [`EngineSpeed`] is the factor of one start of an engine relative to its service, corrected for
//!   the slowdown that the engine reported when it responded.
//! - [`SpeedClass`] is a coarse, stable class of that factor, for roles and preferred engines.
//! - [`ConcurrencyLimit`] is the concurrent work that an upstream handles well, from the
//!   [`StepStatistics`] of all nodes.
//! - [`ServiceModel`] joins these with the usual prompts, fetches and pauses of a service.
//! - [`ModelDigest`] shares the result between nodes as a few numbers.
//!
//! Invariant: all estimates are finite and positive, whatever the samples are.

mod concurrency_limit;
mod curve;
mod digest;
mod fit;
mod idle_time;
mod pauses;
mod service;
mod speed;
mod speed_class;
mod step_statistics;

pub use concurrency_limit::ConcurrencyLimit;
pub use curve::PrefillCurve;
pub use curve::PromptWork;
pub use digest::ModelDigest;
pub use digest::RouteTag;
pub use digest::ServiceTag;
pub use fit::CurveFit;
pub use pauses::PauseEstimate;
pub use service::FirstEventSample;
pub use service::ServiceModel;
pub use service::ServiceTimes;
pub use speed::EngineSpeed;
pub use speed_class::SpeedClass;
pub use step_statistics::StepFit;
pub use step_statistics::StepStatistics;
