//! Answers where a request would go, without sending it.

mod explainer;
mod wire;

pub use explainer::Explainer;
