//! Tests of account limits on one node and over several nodes.

use redwingrill_admission::limits::AccountDemand;
use redwingrill_admission::limits::AccountLimits;
use redwingrill_admission::limits::LimitRefusal;
use redwingrill_admission::limits::LimitSpec;
use redwingrill_entity::AccountId;
use redwingrill_entity::EntityRef;

const EXCHANGE_MS: u64 = 1_000;

fn account() -> AccountId {
    AccountId::from_index(0)
}

/// Sends an account's requests to the nodes in turn. Returns the tokens admitted in the second half
/// of the run.
fn admitted_tokens_over(
    nodes: usize,
    spec: LimitSpec,
    request_tokens: u64,
    interval_ms: u64,
) -> u64 {
    const RUN_MS: u64 = 40_000;
    let mut limits = vec![AccountLimits::default(); nodes];
    let mut admitted_tokens = 0;
    let mut node_index = 0;
    for now_ms in (0..RUN_MS).step_by(interval_ms as usize) {
        if now_ms % EXCHANGE_MS == 0 {
            exchange(&mut limits, now_ms);
        }
        node_index = (node_index + 1) % nodes;
        let admitted = limits[node_index].admit(account(), spec, request_tokens, now_ms).is_ok();
        if admitted {
            limits[node_index].finish(account(), 0);
            admitted_tokens += if now_ms >= RUN_MS / 2 { request_tokens } else { 0 };
        }
    }
    admitted_tokens
}

fn exchange(limits: &mut [AccountLimits], now_ms: u64) {
    let top_accounts: Vec<Vec<AccountDemand>> =
        limits.iter().map(|node| node.top_accounts(8, now_ms)).collect();
    for (index, node) in limits.iter_mut().enumerate() {
        let others = top_accounts.iter().enumerate().filter(|(other, _)| *other != index);
        node.set_remote_demand(others.flat_map(|(_, accounts)| accounts.iter().copied()));
    }
}

#[test]
fn spreading_load_over_nodes_does_not_raise_the_limit() {
    let spec = LimitSpec { tokens_per_s: 10_000, burst_tokens: 0, max_in_flight: 0 };
    let single = admitted_tokens_over(1, spec, 500, 5);
    let spread = admitted_tokens_over(6, spec, 500, 5);
    println!("admitted in 20 s: single node {single}, spread {spread}");
    assert!(spread as f64 <= 1.1 * single as f64);
    assert!(spread as f64 >= 0.8 * single as f64);
}

#[test]
fn restarted_node_underestimates_its_share_of_an_account() {
    const NODES: usize = 6;
    const INTERVAL_MS: u64 = 5;
    const RESTART_MS: u64 = 20_000;
    /// The time after the restart in which demand is compared.
    const COMPARED_MS: std::ops::Range<u64> = RESTART_MS + 1_000..RESTART_MS + 4_000;
    let spec = LimitSpec { tokens_per_s: 10_000, burst_tokens: 0, max_in_flight: 0 };
    let mut limits = vec![AccountLimits::default(); NODES];
    let mut weights = [0.0; NODES];
    for now_ms in (0..COMPARED_MS.end).step_by(INTERVAL_MS as usize) {
        if now_ms == RESTART_MS {
            limits[0] = AccountLimits::default();
        }
        if now_ms % EXCHANGE_MS == 0 {
            exchange(&mut limits, now_ms);
        }
        let node = (now_ms / INTERVAL_MS) as usize % NODES;
        if limits[node].admit(account(), spec, 500, now_ms).is_ok() {
            limits[node].finish(account(), 0);
        }
        if COMPARED_MS.contains(&now_ms) {
            (0..NODES).for_each(|n| weights[n] += limits[n].local_weight(account(), 1, now_ms));
        }
    }
    let (restarted, other) = (weights[0], weights[1]);
    assert!(restarted >= 0.8 * other, "{:.2} of the weight at another node", restarted / other);
    assert!(restarted <= 1.25 * other, "{:.2} of the weight at another node", restarted / other);
}

#[test]
fn local_weight_follows_the_local_share_of_demand() {
    let mut limits = AccountLimits::default();
    let spec = LimitSpec::default();
    for now_ms in 0..8_000 {
        limits.admit(account(), spec, 10, now_ms).expect("the account has no limit");
    }
    assert_eq!(limits.local_weight(account(), 4, 8_000), 4.0);
    let here = limits.top_accounts(1, 8_000)[0].tokens_per_s;
    let elsewhere = AccountDemand { account: account(), tokens_per_s: here * 3.0 };
    limits.set_remote_demand([elsewhere]);
    assert!((limits.local_weight(account(), 4, 8_000) - 1.0).abs() < 0.01);
}

#[test]
fn requests_over_a_limit_are_refused_until_usage_falls() {
    struct Case {
        spec: LimitSpec,
        admitted_requests: usize,
        refusal: Option<LimitRefusal>,
    }
    let cases = [
        Case { spec: LimitSpec::default(), admitted_requests: 100, refusal: None },
        Case {
            spec: LimitSpec { tokens_per_s: 0, burst_tokens: 0, max_in_flight: 3 },
            admitted_requests: 3,
            refusal: Some(LimitRefusal::Concurrency { retry_after_ms: 1_000 }),
        },
        Case {
            // Two seconds of burst, and the request that exceeds it.
            spec: LimitSpec { tokens_per_s: 1_000, burst_tokens: 0, max_in_flight: 0 },
            admitted_requests: 21,
            refusal: Some(LimitRefusal::Rate { retry_after_ms: 100 }),
        },
    ];
    const NOW_MS: u64 = 60_000;
    for case in cases {
        let mut limits = AccountLimits::default();
        let results: Vec<_> =
            (0..100).map(|_| limits.admit(account(), case.spec, 100, NOW_MS)).collect();
        assert_eq!(
            results.iter().take_while(|result| result.is_ok()).count(),
            case.admitted_requests
        );
        assert_eq!(results.last().copied().and_then(Result::err), case.refusal);
        (0..case.admitted_requests).for_each(|_| limits.finish(account(), 0));
        assert!(limits.admit(account(), case.spec, 100, NOW_MS + 1_000).is_ok());
    }
}
