//! Orders through the service handler: golden sessions and the fault matrix.

mod conductor;
mod matrix;
mod node;
mod sessions;

mod store;
mod upstream;
