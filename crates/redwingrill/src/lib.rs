//! The router: a library with thin daemons.
