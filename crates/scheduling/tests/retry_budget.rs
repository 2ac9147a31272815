//! Tests of the retry budget, summed over nodes.

use quickcheck::TestResult;
use quickcheck::quickcheck;

use redwingrill_scheduling::retry_budget::RetryBudget;
use redwingrill_scheduling::retry_budget::RetryBudgetSpec;

const SPEC: RetryBudgetSpec = RetryBudgetSpec { ratio: 0.2, allowance: 54.0, window_ms: 10_000 };
const NODES: usize = 7;

quickcheck! {
    /// For any arrivals, the retries of all nodes in any window stay within the budget, even if
    /// each node counts one member too few.
    fn retries_of_all_nodes_stay_below_the_bound(arrivals: Vec<(u8, u8)>) -> TestResult {
        if arrivals.is_empty() {
            return TestResult::discard();
        }
        let mut nodes = vec![RetryBudget::default(); NODES];
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        let mut now_ms = 1_000;
        for (node, gap) in arrivals.iter().cycle().take(3_000) {
            now_ms += u64::from(*gap) / 16;
            let node = &mut nodes[usize::from(*node) % NODES];
            node.count_request(&SPEC, now_ms);
            requests.push(now_ms);
            // Every request fails and is retried as often as the node allows.
            for _ in 0..3 {
                if node.try_retry(&SPEC, NODES - 1, now_ms) {
                    retries.push(now_ms);
                }
            }
        }
        let within = |times: &[u64], start_ms: u64, span_ms: u64| {
            times.iter().filter(|at| (start_ms..start_ms + span_ms).contains(at)).count() as f64
        };
        let is_bounded = retries.iter().all(|&start_ms| {
            let before_ms = start_ms.saturating_sub(SPEC.window_ms);
            let requested = within(&requests, start_ms, SPEC.window_ms)
                .max(within(&requests, before_ms, SPEC.window_ms));
            within(&retries, start_ms, SPEC.window_ms) <= SPEC.ratio * requested + SPEC.allowance
        });
        TestResult::from_bool(is_bounded)
    }
}

#[test]
fn allowance_is_available_again_after_the_window() {
    let mut budget = RetryBudget::default();
    let spend_all = |budget: &mut RetryBudget, now_ms| {
        (0..100).filter(|_| budget.try_retry(&SPEC, NODES, now_ms)).count()
    };
    let first = spend_all(&mut budget, 1_000);
    assert!(first > 0);
    assert_eq!(spend_all(&mut budget, 9_000), 0);
    assert_eq!(spend_all(&mut budget, 12_000), first);
}
