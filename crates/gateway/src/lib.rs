//! The gateway: HTTP requests in, by routes to live upstreams, answers out.
//!
//! A request passes [`front`] and [`forward`], which asks [`dispatch`] for an upstream. What the
//! node believes of the world comes from [`news`] (the platform's store, and [`peers`] while the
//! store does not answer) and is typed by [`beliefs`]. [`cache_watch`] follows the store of cached
//! prompt parts. [`rollout`] brings engines to new weights.
//! [`node`] joins the parts.

mod accept;
pub mod beliefs;
pub mod cache_watch;
pub mod clock;
pub mod dispatch;
pub mod forward;
pub mod front;
pub mod news;
pub mod node;
pub mod peers;
pub mod rollout;
pub mod telemetry;
