//! A node knows whether it has followed the store without a gap.

use redwingrill_gateway::store_sync::Continuity;

struct Case {
    name: &'static str,
    /// When the task runs after the first contact, in milliseconds.
    runs_ms: &'static [u64],
    contact_ms: u64,
    is_recent: bool,
}

#[test]
fn change_that_is_learned_late_is_not_recent() {
    let cases = [
        Case { name: "running", runs_ms: &[250, 500, 750], contact_ms: 900, is_recent: true },
        Case { name: "suspended", runs_ms: &[250], contact_ms: 1_400, is_recent: false },
        Case {
            name: "suspended, and the response comes later",
            runs_ms: &[250, 1_400, 1_600],
            contact_ms: 1_700,
            is_recent: false,
        },
        Case {
            name: "without contact",
            runs_ms: &[500, 1_000, 1_500, 2_000, 2_500, 3_000, 3_500],
            contact_ms: 3_600,
            is_recent: false,
        },
    ];
    for case in cases {
        const START_MS: u64 = 70_000;
        let mut continuity = Continuity::default();
        assert!(!continuity.record_contact(START_MS), "the first contact: {}", case.name);
        case.runs_ms.iter().for_each(|at_ms| continuity.record_run(START_MS + at_ms));
        let contact_ms = START_MS + case.contact_ms;
        assert_eq!(continuity.record_contact(contact_ms), case.is_recent, "{}", case.name);
        assert!(continuity.record_contact(contact_ms + 100), "after it: {}", case.name);
    }
}
