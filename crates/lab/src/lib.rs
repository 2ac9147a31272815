//! Stand-ins, load and experiments.
//!
//! Each stand-in speaks the published protocol of one outside system over real sockets, keeps its
//! state in memory and has an administration address of its own on which faults are switched. The
//! stand-ins run as processes of `redwingrill-lab` or inside a test by their `start` functions.

pub mod answer;
pub mod bench;
pub mod cache_store;
pub mod caller;
pub mod cli;
pub mod early_upstream;
pub mod engine;
pub mod faults;
pub mod load;
pub mod metadata_store;
pub mod net;
pub mod on_platform;
pub mod platform;
pub mod process;
pub mod service;
pub mod site;
pub mod site_upstream;
pub mod soak;
