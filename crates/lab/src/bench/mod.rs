//! Experiments: the real routers over real sockets against the stand-ins.

pub mod control;
pub mod orders;
pub mod overhead;
pub mod scenario;
