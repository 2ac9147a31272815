//! The engines of each model, and their load as known to this node.
//!
//! Invariants: an engine is listed under exactly one model; the engines of a model are sorted by
//! key, so that two nodes with the same engines have the same lists.

mod engines;
mod load;
mod rates;

pub use engines::Engine;
pub use engines::EngineSpec;
pub use engines::Fleet;
pub use load::EngineLoad;
pub use load::EngineStart;
pub use load::Incarnation;
pub use load::LoadReport;
pub use load::WeightsTag;
pub use rates::ModelRates;
