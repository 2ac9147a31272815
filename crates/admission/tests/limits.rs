//! Tests of account limits and of what several nodes let through together.

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

/// Sends an account's requests to nodes in turn, and returns the tokens let in over the last half.
fn tokens_let_in(nodes: usize, spec: LimitSpec, request_tokens: u64, interval_ms: u64) -> u64 {
    const RUN_MS: u64 = 40_000;
    let mut limits = vec![AccountLimits::default(); nodes];
    let mut let_in = 0;
    let mut turn = 0;
    for now_ms in (0..RUN_MS).step_by(interval_ms as usize) {
        if now_ms % EXCHANGE_MS == 0 {
            exchange(&mut limits, now_ms);
        }
        turn = (turn + 1) % nodes;
        let admitted = limits[turn].admit(account(), spec, request_tokens, now_ms).is_ok();
        if admitted {
            limits[turn].finish(account(), 0);
            let_in += if now_ms >= RUN_MS / 2 { request_tokens } else { 0 };
        }
    }
    let_in
}

fn exchange(limits: &mut [AccountLimits], now_ms: u64) {
    let tops: Vec<Vec<AccountDemand>> =
        limits.iter().map(|node| node.top_accounts(8, now_ms)).collect();
    for (index, node) in limits.iter_mut().enumerate() {
        let others = tops.iter().enumerate().filter(|(other, _)| *other != index);
        node.set_remote_demand(others.flat_map(|(_, top)| top.iter().copied()));
    }
}

#[test]
fn a_flood_over_all_nodes_gets_no_more_than_one_over_a_single_node() {
    let spec = LimitSpec { tokens_per_s: 10_000, max_in_flight: 0 };
    let single = tokens_let_in(1, spec, 500, 5);
    let spread = tokens_let_in(6, spec, 500, 5);
    println!("let in over 20 s: single {single}, spread {spread}");
    assert!(spread as f64 <= 1.1 * single as f64);
    assert!(spread as f64 >= 0.8 * single as f64);
}

#[test]
fn weights_follow_the_part_of_the_demand() {
    let mut limits = AccountLimits::default();
    let spec = LimitSpec::default();
    for now_ms in 0..8_000 {
        limits.admit(account(), spec, 10, now_ms).expect("there is no limit");
    }
    assert_eq!(limits.local_weight(account(), 4, 8_000), 4.0);
    let here = limits.top_accounts(1, 8_000)[0].tokens_per_s;
    let elsewhere = AccountDemand { account: account(), tokens_per_s: here * 3.0 };
    limits.set_remote_demand([elsewhere]);
    assert!((limits.local_weight(account(), 4, 8_000) - 1.0).abs() < 0.01);
}

#[test]
fn limits_refuse_and_recover() {
    struct Case {
        spec: LimitSpec,
        let_in: usize,
        refusal: Option<LimitRefusal>,
    }
    let cases = [
        Case { spec: LimitSpec::default(), let_in: 100, refusal: None },
        Case {
            spec: LimitSpec { tokens_per_s: 0, max_in_flight: 3 },
            let_in: 3,
            refusal: Some(LimitRefusal::Concurrency { retry_after_ms: 1_000 }),
        },
        Case {
            // Two seconds of burst, and the request that passes it.
            spec: LimitSpec { tokens_per_s: 1_000, max_in_flight: 0 },
            let_in: 21,
            refusal: Some(LimitRefusal::Rate { retry_after_ms: 100 }),
        },
    ];
    const NOW_MS: u64 = 60_000;
    for case in cases {
        let mut limits = AccountLimits::default();
        let answers: Vec<_> =
            (0..100).map(|_| limits.admit(account(), case.spec, 100, NOW_MS)).collect();
        assert_eq!(answers.iter().take_while(|answer| answer.is_ok()).count(), case.let_in);
        assert_eq!(answers.last().copied().and_then(Result::err), case.refusal);
        (0..case.let_in).for_each(|_| limits.finish(account(), 0));
        assert!(limits.admit(account(), case.spec, 100, NOW_MS + 1_000).is_ok());
    }
}
