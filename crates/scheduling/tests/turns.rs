//! The turns of nodes at a duty, when many of them fail together.

use redwingrill_scheduling::turns::Contender;
use redwingrill_scheduling::turns::rank;
use redwingrill_scheduling::turns::retry_delay_ms;
use redwingrill_scheduling::turns::turn_delay_ms;

/// The sizes of the failure domains and their nodes with a fast link.
struct Fleet {
    sizes: &'static [usize],
    fast: usize,
}

const FLEETS: [Fleet; 5] = [
    Fleet { sizes: &[1], fast: 0 },
    Fleet { sizes: &[3, 2, 2], fast: 0 },
    Fleet { sizes: &[24, 20, 20], fast: 2 },
    Fleet { sizes: &[37, 38, 38, 43, 39], fast: 3 },
    Fleet { sizes: &[80, 80, 80, 40, 20, 20], fast: 0 },
];

struct Node {
    name: String,
    domain: String,
    link_mbps: u64,
}

fn nodes(fleet: &Fleet) -> Vec<Node> {
    let domains = fleet.sizes.iter().enumerate();
    let nodes = domains.flat_map(|(domain, size)| {
        (0..*size).map(move |n| Node {
            name: format!("front-{domain}-{n}"),
            domain: format!("domain-{domain}"),
            link_mbps: if n < fleet.fast { 200 } else { 20 },
        })
    });
    nodes.collect()
}

fn ranks(nodes: &[Node]) -> Vec<usize> {
    let contenders = nodes.iter().map(|node| Contender {
        name: &node.name,
        failure_domain: &node.domain,
        link_mbps: node.link_mbps,
    });
    nodes.iter().map(|node| rank(&node.name, contenders.clone())).collect()
}

#[test]
fn each_node_has_a_rank_of_its_own() {
    for fleet in FLEETS {
        let nodes = nodes(&fleet);
        let mut ranks = ranks(&nodes);
        ranks.sort_unstable();
        assert_eq!(ranks, (0..nodes.len()).collect::<Vec<_>>());
    }
    assert_eq!(rank("stranger", std::iter::empty()), 0);
}

#[test]
fn duty_waits_for_the_nodes_of_a_failed_domain() {
    for fleet in FLEETS.iter().filter(|fleet| fleet.sizes.len() > 1) {
        let nodes = nodes(fleet);
        let ranks = ranks(&nodes);
        for failed in 0..fleet.sizes.len() {
            let failed = format!("domain-{failed}");
            let alive = nodes.iter().zip(&ranks).filter(|(node, _)| node.domain != failed);
            let first_ms = alive.map(|(_, rank)| turn_delay_ms(*rank)).min();
            assert!(first_ms <= Some(400), "{failed} of {:?}: {first_ms:?}", fleet.sizes);
        }
    }
}

#[test]
fn duty_waits_for_all_nodes_before_the_only_one_left() {
    for fleet in FLEETS {
        let nodes = nodes(&fleet);
        let last_ms = ranks(&nodes).into_iter().map(turn_delay_ms).max();
        assert!(last_ms <= Some(3_200), "{} nodes: {last_ms:?}", nodes.len());
    }
}

#[test]
fn nodes_that_fail_to_do_a_duty_flood_the_store() {
    for fleet in FLEETS {
        let nodes = nodes(&fleet);
        let per_s: f64 =
            ranks(&nodes).into_iter().map(|rank| 1_000.0 / retry_delay_ms(rank, 500) as f64).sum();
        assert!(per_s <= 20.0, "{} nodes: {per_s} tries a second", nodes.len());
    }
}
