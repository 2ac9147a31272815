//! The engines that may be chosen, and their load as this node sees it.
//!
//! Invariants: an engine is listed under exactly one model; the entries under a model are in the
//! order of their keys, so that two nodes with the same engines hold the same lists.

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
