//! Shared test support: nodes that crash and pause, a service, and a store whose writes are applied
//! even if the caller stops waiting.

#![allow(dead_code, reason = "each test binary uses only some of the helpers")]

pub mod detached_store;
pub mod gate;
pub mod nodes;
pub mod service;

use std::sync::Arc;

use redwingrill_ledger::Fingerprint;
use redwingrill_ledger::IdempotencyKey;
use redwingrill_ledger::KeyHash;
use redwingrill_ledger::OrderKey;
use redwingrill_ledger::order::OrderPolicy;
use redwingrill_ledger::record::TakeOver;

/// The wall-clock time at the start of a test, in milliseconds since the Unix epoch.
pub const EPOCH_MS: u64 = 1_700_000_000_000;

/// Returns the key of an order.
pub fn order_key(account: &str, key: &str) -> OrderKey {
    let parsed = IdempotencyKey::parse(key.as_bytes()).expect("the key is valid");
    OrderKey { service: "shop".into(), hash: KeyHash::of(account, &parsed) }
}

/// Returns the fingerprint of a request with this body.
pub fn fingerprint(body: &str) -> Fingerprint {
    Fingerprint::of("POST", "/orders", "application/json", body.as_bytes())
}

/// Returns the order policy of the test account.
pub fn policy(take_over_after_ms: Option<u64>) -> OrderPolicy {
    let bind_to: Arc<str> = Arc::from("shop-1");
    let take_over = take_over_after_ms.map(|after_ms| TakeOver { after_ms, bind_to });
    OrderPolicy {
        account: Arc::from("writers"),
        window_ms: 60_000,
        in_flight_limit: 8,
        running_limit_ms: 0,
        take_over,
    }
}
