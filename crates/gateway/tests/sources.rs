//! Selection of the source of store updates.

use redwingrill_gateway::cluster_view::Member;
use redwingrill_gateway::store_sync::Source;
use redwingrill_gateway::store_sync::SourceSelector;

fn members(count: u8) -> Vec<Member> {
    let members = (0..count).map(|n| Member {
        name: format!("n{n:02}"),
        address: ([10, 0, 0, n], 1).into(),
        gossip: ([10, 0, 0, n], 2).into(),
        failure_domain: if n % 2 == 0 { "a".to_owned() } else { "b".to_owned() },
        // The nodes with fast links come last by name.
        link_mbps: if n >= count - 4 { 200 } else { 10 },
    });
    members.collect()
}

fn source(node: &str, members: &[Member]) -> Source {
    let own = members.iter().find(|member| member.name == node).expect("the node is a member");
    SourceSelector::new(node.to_owned(), own.failure_domain.clone()).choose(members, 0)
}

#[test]
fn every_node_watches_the_store_in_a_small_fleet() {
    let members = members(12);
    assert!(members.iter().all(|member| source(&member.name, &members) == Source::Store));
}

#[test]
fn two_nodes_with_fast_links_watch_the_store_in_each_failure_domain() {
    let members = members(40);
    let watch = |member: &&Member| source(&member.name, &members) == Source::Store;
    let watching: Vec<&str> = members.iter().filter(watch).map(|m| m.name.as_str()).collect();
    assert_eq!(watching, ["n36", "n37", "n38", "n39"]);
    for member in &members {
        let Source::Watcher(address) = source(&member.name, &members) else { continue };
        let watcher =
            members.iter().find(|other| other.address == address).expect("the node is a member");
        assert_eq!(watcher.failure_domain, member.failure_domain);
    }
}

#[test]
fn failed_watchers_are_skipped_until_their_backoff_ends() {
    let members = members(40);
    let mut selector = SourceSelector::new("n00".to_owned(), "a".to_owned());
    let Source::Watcher(first) = selector.choose(&members, 0) else {
        panic!("the source is not a watcher")
    };
    selector.record_failure(first, 100);
    let Source::Watcher(second) = selector.choose(&members, 100) else {
        panic!("the source is not a watcher")
    };
    assert_ne!(first, second);
    selector.record_failure(second, 200);
    assert_eq!(selector.choose(&members, 300), Source::Store);
    assert_eq!(selector.choose(&members, 3_150), Source::Watcher(first));
}
