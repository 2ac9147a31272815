//! Tests of the table of upstreams, their health and the digests of other nodes.

mod support;

use std::sync::Arc;

use support::engine;
use support::engines;

use redwingrill_routing::ReportedLoad;
use redwingrill_routing::Upstream;
use redwingrill_scheduling::engine_model::ModelDigest;
use redwingrill_scheduling::fleet::Fleet;
use redwingrill_scheduling::fleet::Health;
use redwingrill_scheduling::fleet::LoadDigest;
use redwingrill_scheduling::fleet::NodeLoad;
use redwingrill_scheduling::fleet::PeerLoads;
use redwingrill_scheduling::fleet::UpstreamTag;
use redwingrill_scheduling::fleet::Verdict;
use redwingrill_scheduling::quarantine::QuarantineDigest;

#[test]
fn new_listing_keeps_in_flight_counts() {
    let mut fleet = Fleet::default();
    fleet.set_upstreams(engines(3, 1), 0);
    let (index, _) = fleet.of_service(support::SERVICE).next().expect("service has an engine");
    fleet.get_mut(index).expect("engine is listed").record_sent(100, 200);
    fleet.set_upstreams(engines(3, 2), 10);
    assert_eq!(fleet.get(index).map(|entry| entry.in_flight), Some(1));
    fleet.verify().expect("table invariants hold");
}

#[test]
fn restarted_upstream_gets_a_new_index() {
    let mut fleet = Fleet::default();
    let first = Upstream { started_unix_ms: Some(1), ..(*engine("e", 1)).clone() };
    let second = Upstream { started_unix_ms: Some(2), ..first.clone() };
    fleet.set_upstreams(vec![Arc::new(first)], 0);
    let (before, _) = fleet.of_service(support::SERVICE).next().expect("service has an engine");
    fleet.get_mut(before).expect("engine is listed").record_sent(100, 200);
    let removed = fleet.set_upstreams(vec![Arc::new(second)], 10);
    assert_eq!(removed, [before]);
    let (after, entry) = fleet.of_service(support::SERVICE).next().expect("service has an engine");
    assert_ne!(after, before);
    assert_eq!(entry.in_flight, 0);
    fleet.verify().expect("table invariants hold");
}

struct HealthCase {
    name: &'static str,
    verdicts: &'static [Verdict],
    is_ejected: bool,
}

#[test]
fn failures_eject_an_upstream() {
    use Verdict::Failed;
    use Verdict::Refused;
    use Verdict::Served;
    use Verdict::Unreachable;
    let cases = [
        HealthCase { name: "served", verdicts: &[Served; 9], is_ejected: false },
        HealthCase { name: "one failure", verdicts: &[Served, Failed], is_ejected: false },
        HealthCase { name: "failures in a row", verdicts: &[Failed; 4], is_ejected: true },
        HealthCase { name: "no connection", verdicts: &[Unreachable], is_ejected: true },
        HealthCase { name: "refusals indicate load", verdicts: &[Refused; 20], is_ejected: false },
        HealthCase {
            name: "two in five fail",
            verdicts: &[
                Failed, Served, Failed, Served, Served, Failed, Served, Failed, Failed, Failed,
                Served, Failed, Failed,
            ],
            is_ejected: true,
        },
    ];
    for case in cases {
        let mut health = Health::default();
        for verdict in case.verdicts {
            health.observe(*verdict, 1_000);
        }
        assert_eq!(health.is_ejected(1_500), case.is_ejected, "{}", case.name);
        assert!(!health.is_ejected(2_000), "{}: the first ejection lasts one second", case.name);
    }
}

#[test]
fn ejections_get_longer_until_a_request_is_served() {
    let mut health = Health::default();
    health.observe(Verdict::Unreachable, 0);
    assert!(health.is_on_probation());
    health.observe(Verdict::Unreachable, 1_000);
    assert!(health.is_ejected(2_900));
    health.observe(Verdict::Served, 3_100);
    assert!(!health.is_on_probation());
}

fn digest(node: u64, sequence: u64, in_flight: u32) -> LoadDigest {
    let load = NodeLoad { pending_prefill_tokens: 10 * in_flight, in_flight, reserved_tokens: 0 };
    let upstreams = vec![(UpstreamTag::of("e"), load)];
    let prefixes = Vec::new();
    let (short_per_s, long_per_s, cache_store) = (3, 1, None);
    let (model, quarantine) = (ModelDigest::default(), QuarantineDigest::default());
    LoadDigest {
        node,
        sequence,
        short_per_s,
        long_per_s,
        upstreams,
        prefixes,
        cache_store,
        model,
        quarantine,
        limits: Vec::new(),
        ended: Vec::new(),
    }
}

#[test]
fn peer_digests_are_summed_and_expire() {
    let mut peers = PeerLoads::default();
    peers.observe(digest(1, 1, 5), 0);
    peers.observe(digest(2, 1, 3), 500);
    assert_eq!(peers.load_at(UpstreamTag::of("e")).in_flight, 8);
    // A digest that arrives out of order is ignored.
    peers.observe(digest(1, 1, 50), 600);
    assert_eq!(peers.load_at(UpstreamTag::of("e")).in_flight, 8);
    peers.observe(digest(1, 2, 1), 700);
    assert_eq!(peers.load_at(UpstreamTag::of("e")).in_flight, 4);
    assert_eq!(peers.arrivals_per_s(), (6, 2));
    assert!(peers.expire(1_600));
    assert_eq!(peers.load_at(UpstreamTag::of("e")).in_flight, 1);
    assert!(peers.expire(1_800));
    assert_eq!(peers.node_count(), 0);
}

#[test]
fn median_digest_age_ignores_a_disconnected_node() {
    let mut peers = PeerLoads::default();
    peers.observe(digest(1, 1, 5), 0);
    (2..=6).for_each(|node| peers.observe(digest(node, 1, 5), 850));
    assert_eq!(peers.median_age_ms(900), 50);
    assert_eq!(PeerLoads::default().median_age_ms(900), 0);
}

#[test]
fn load_report_is_used_until_it_expires() {
    let mut fleet = Fleet::default();
    fleet.set_upstreams(vec![engine("e", 1)], 0);
    let (index, _) = fleet.of_service(support::SERVICE).next().expect("service has an engine");
    let entry = fleet.get_mut(index).expect("engine is listed");
    entry.record_load_report(
        ReportedLoad { running: 7, waiting: 2, slots: 32, slowdown_percent: None },
        100,
    );
    entry.record_sent(10, 20);
    assert_eq!(entry.load(200), 10);
    assert_eq!(entry.load(5_000), 1);
    let huge = u32::MAX;
    let report =
        ReportedLoad { running: huge, waiting: huge, slots: huge, slowdown_percent: Some(huge) };
    entry.record_load_report(report, 6_000);
    assert_eq!(entry.load(6_100), huge);
}

#[test]
fn engine_counts_as_full_after_the_requests_of_its_last_report_ended() {
    let mut fleet = Fleet::default();
    fleet.set_upstreams(vec![engine("e", 1)], 0);
    let (index, _) = fleet.of_service(support::SERVICE).next().expect("service has an engine");
    let entry = fleet.get_mut(index).expect("engine is listed");
    for _ in 0..12 {
        entry.record_sent(10, 20);
    }
    // Three of its fifteen requests came from elsewhere.
    let report = ReportedLoad { running: 12, waiting: 3, slots: 12, slowdown_percent: None };
    entry.record_load_report(report, 100);
    assert_eq!(entry.load(100), 15);
    for _ in 0..12 {
        entry.record_end(20);
    }
    assert_eq!(entry.load(200), 3);
}
