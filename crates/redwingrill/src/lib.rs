//! The router: a library with thin daemons.
//!
//! A [`node::Node`] joins the parts. A caller's request passes [`http`], then [`completions`] or
//! [`services`]; [`dispatch`] admits it and names an engine; [`upstream`] speaks to that engine.
//! [`configuration`] keeps the configuration in force, and [`cluster`] exchanges state with other
//! nodes.

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
