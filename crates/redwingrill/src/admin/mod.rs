//! The administration listener: health, readiness, status, state dump, and drain.

mod routes;

pub use routes::AdminRoutes;
