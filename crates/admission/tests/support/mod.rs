//! Support of the tests.

pub mod quota_fleet;
