//! The gateway: HTTP requests in, by routes to live upstreams, answers out.
//!
//! A request passes [`front`] and [`forward`], which asks [`dispatch`] for an upstream. What the
//! node believes of the world comes from [`store_sync`] (the platform's store, and [`peers`] while the
//! store does not answer) and is typed by [`cluster_view`]. [`cache_watch`] follows the store of cached
//! prompt parts. [`rollout`] brings engines to new weights.
//! [`node`] joins the parts.

mod accept;
pub mod cache_watch;
pub mod clock;
pub mod cluster_view;
pub mod dispatch;
pub mod forward;
pub mod front;
pub mod node;
pub mod peers;
pub mod rollout;
pub mod store_sync;
pub mod telemetry;
