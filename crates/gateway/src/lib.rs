//! The gateway: an HTTP proxy that routes callers' requests to live upstreams.
//!
//! [`front`] accepts connections and [`forward`] handles requests; [`dispatch`] schedules each
//! request to an upstream, and [`explain`] tells where a request would go. [`store_sync`] mirrors the
//! platform's store, by way of [`peers`] while the store is unavailable, and [`cluster_view`] decodes
//! the mirror into a typed view. [`cache_watch`] follows the change events of the KV cache store.
//! [`rollout`] loads new weights onto engines. [`software`] keeps and reads the records of the engines'
//! software versions. [`node`] assembles these parts.

mod accept;
pub mod cache_watch;
pub mod clock;
pub mod cluster_view;
pub mod dispatch;
pub mod explain;
pub mod forward;
pub mod front;
pub mod node;
pub mod peers;
pub mod quarantine;
pub mod rollout;
pub mod software;
pub mod store_sync;
pub mod telemetry;
