//! Concurrency and health of engines, and budgets for retries.
//!
//! ```text
//!             failures              ejection over            ramp-up, no failure
//!  Healthy ─────────────► Ejected ───────────────► Returning ─────────────────► Healthy
//!                            ▲                         │ failure
//!                            └─────────────────────────┘ (longer ejection)
//! ```
//!
//! Invariants: an ejected engine receives no requests; the usable share of a returning engine's
//! limit only grows until it fails again; a budget never holds more than its burst.

mod budget;
mod concurrency;
mod health;

pub use budget::Budget;
pub use concurrency::ConcurrencyLimit;
pub use concurrency::Pressure;
pub use health::EngineHealth;
pub use health::HealthState;
