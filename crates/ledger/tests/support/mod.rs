//! What the tests of the ledger share: nodes that crash and pause, a service, and a store whose
//! writes land late.

#![allow(dead_code, reason = "each test binary uses a part")]

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

/// The wall clock when a test begins.
pub const EPOCH_MS: u64 = 1_700_000_000_000;

/// Makes the key of an order.
pub fn order_key(account: &str, key: &str) -> OrderKey {
    let parsed = IdempotencyKey::parse(key.as_bytes()).expect("a valid key");
    OrderKey { service: "shop".into(), hash: KeyHash::of(account, &parsed) }
}

/// Makes the fingerprint of a request.
pub fn fingerprint(body: &str) -> Fingerprint {
    Fingerprint::of("POST", "/orders", "application/json", body.as_bytes())
}

/// Makes the policy of an account.
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
