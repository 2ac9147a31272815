//! Adapter of the platform's store and instance list.
