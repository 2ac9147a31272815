//! The router library; the binaries are thin wrappers around it.
//!
//! A [`node::Node`] owns all components. A caller's request enters through [`http`] and goes to
//! [`completions`] or [`services`]. [`dispatch`] admits it and selects an engine, and [`upstream`]
//! sends it to that engine. [`configuration`] follows the accepted configuration, and [`cluster`]
//! exchanges state with other nodes.

pub mod admin;
pub mod cluster;
pub mod completions;
pub mod configuration;
pub mod daemon;
pub mod dispatch;
pub mod http;
pub mod node;
pub mod operator;
pub mod services;
pub mod telemetry;
pub mod upstream;

pub use redwingrill_codes::Refusal;
