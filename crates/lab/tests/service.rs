//! How the service stand-in counts runs.

use redwingrill_lab::engine::FencingMode;
use redwingrill_lab::service::Arrival;
use redwingrill_lab::service::Runs;

struct Case {
    fencing: FencingMode,
    arrivals: [(&'static str, u64); 3],
    expected: [Arrival; 3],
}

#[test]
fn runs_are_counted_by_account_and_key() {
    let cases = [
        Case {
            fencing: FencingMode::Checked,
            arrivals: [("k", 1), ("k", 2), ("k", 1)],
            expected: [Arrival::Ran(1), Arrival::Replayed(1), Arrival::Fenced(2)],
        },
        Case {
            fencing: FencingMode::Checked,
            arrivals: [("k", 2), ("j", 1), ("j", 1)],
            expected: [Arrival::Ran(1), Arrival::Ran(2), Arrival::Replayed(2)],
        },
        Case {
            fencing: FencingMode::Ignored,
            arrivals: [("k", 2), ("k", 1), ("j", 1)],
            expected: [Arrival::Ran(1), Arrival::Ran(2), Arrival::Ran(3)],
        },
    ];
    for case in cases {
        let runs = Runs::new(case.fencing);
        let outcomes = case.arrivals.map(|(key, number)| runs.arrive("a", key, number));
        assert_eq!(outcomes, case.expected);
    }
}

#[test]
fn accounts_are_apart() {
    let runs = Runs::new(FencingMode::Checked);
    assert_eq!(runs.arrive("a", "k", 1), Arrival::Ran(1));
    assert_eq!(runs.arrive("b", "k", 1), Arrival::Ran(2));
    assert!(runs.list().iter().all(|key| key.runs == 1));
}
