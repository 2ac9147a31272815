//! Streams that are taken up again at another node than the one that began them.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use support::options;
use support::view;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use redwingrill_gateway::cluster_view::ClusterView;
use redwingrill_gateway::cluster_view::Member;
use redwingrill_gateway::dispatch::DispatchTask;
use redwingrill_gateway::dispatch::Dispatcher;
use redwingrill_gateway::dispatch::PeerMessage;
use redwingrill_gateway::telemetry::Metrics;
use redwingrill_routing::SoftwareVersion;
use redwingrill_scheduling::stream_origins::OriginResolution;
use redwingrill_scheduling::stream_origins::OriginSource;
use redwingrill_scheduling::stream_origins::StreamOrigin;

const NODES: usize = 4;

fn version(name: &str) -> Option<SoftwareVersion> {
    Some(SoftwareVersion(name.to_owned()))
}

fn gossip_address(index: usize) -> SocketAddr {
    ([10, 0, 0, index as u8], 7_001).into()
}

/// Returns a view with an engine of each version.
fn cluster(versions: &[Option<SoftwareVersion>]) -> ClusterView {
    let members = (0..NODES).map(|index| Member {
        name: format!("n{index}"),
        address: ([10, 0, 0, index as u8], 7_000).into(),
        gossip: gossip_address(index),
        failure_domain: "a".to_owned(),
        link_mbps: 20,
    });
    let mut view = view(versions.len() as u16);
    for (upstream, software) in view.upstreams.iter_mut().zip(versions) {
        Arc::make_mut(upstream).software.clone_from(software);
    }
    ClusterView { members: members.collect(), ..view }
}

/// Dispatch tasks whose messages to each other arrive, unless their receiver is lost.
struct Nodes {
    dispatchers: Vec<Dispatcher>,
    lost: watch::Sender<Vec<SocketAddr>>,
    view: watch::Sender<Arc<ClusterView>>,
    stopping: CancellationToken,
}

impl Nodes {
    fn start(versions: &[Option<SoftwareVersion>]) -> Self {
        let stopping = CancellationToken::new();
        let (view, receiver) = watch::channel(Arc::new(cluster(versions)));
        let lost = watch::Sender::new(Vec::new());
        let mut dispatchers = Vec::new();
        let mut outgoing = Vec::new();
        for index in 0..NODES {
            let misdirected = mpsc::channel(1).0;
            let (dispatcher, mut task) =
                DispatchTask::new(options(), receiver.clone(), Metrics::new(), misdirected);
            outgoing.push(task.coordinate(gossip_address(index)));
            dispatchers.push(dispatcher);
            tokio::spawn(task.run(stopping.clone()));
        }
        for (index, mut outgoing) in outgoing.into_iter().enumerate() {
            let (receivers, lost) = (dispatchers.clone(), lost.subscribe());
            tokio::spawn(async move {
                while let Some((to, message)) = outgoing.recv().await {
                    let PeerMessage::Origin(message) = message else { continue };
                    let receiver = (0..NODES).find(|other| gossip_address(*other) == to);
                    if let Some(receiver) = receiver.filter(|_| !lost.borrow().contains(&to)) {
                        receivers[receiver].receive_origin(gossip_address(index), message);
                    }
                }
            });
        }
        Self { dispatchers, lost, view, stopping }
    }

    fn lose(&self, index: usize) {
        self.lost.send_modify(|lost| lost.push(gossip_address(index)));
    }
}

impl Drop for Nodes {
    fn drop(&mut self) {
        self.stopping.cancel();
    }
}

fn origin(software: Option<SoftwareVersion>) -> StreamOrigin {
    StreamOrigin { service: "llm".to_owned(), software }
}

fn known(software: Option<SoftwareVersion>, source: OriginSource) -> OriginResolution {
    OriginResolution::Known { origin: origin(software), source }
}

const UNKNOWN: OriginResolution = OriginResolution::Unknown { is_contradicted: false };

#[tokio::test]
async fn stream_is_unknown_once_its_node_is_lost() {
    let nodes = Nodes::start(&[version("v1"), version("v1.1")]);
    for stream in 0..8 {
        nodes.dispatchers[0].record_stream(&format!("s{stream}"), origin(version("v1.1")));
    }
    let own = nodes.dispatchers[0].find_stream("s0").await;
    assert_eq!(own, known(version("v1.1"), OriginSource::Own));
    tokio::time::sleep(Duration::from_millis(200)).await;
    nodes.lose(0);
    for stream in 0..8 {
        for node in 1..NODES {
            let found = nodes.dispatchers[node].find_stream(&format!("s{stream}")).await;
            let is_found = matches!(&found, OriginResolution::Known { origin: found, .. }
                if *found == origin(version("v1.1")));
            assert!(is_found, "s{stream} at {node}: {found:?}");
        }
    }
}

#[tokio::test]
async fn nodes_tell_of_streams_while_one_version_serves() {
    let nodes = Nodes::start(&[version("v1"), version("v1")]);
    nodes.dispatchers[0].record_stream("s0", origin(version("v1")));
    tokio::time::sleep(Duration::from_millis(100)).await;
    nodes.lose(0);
    for node in 1..NODES {
        assert_eq!(nodes.dispatchers[node].find_stream("s0").await, UNKNOWN, "{node}");
    }
}

#[tokio::test]
async fn stream_of_before_a_release_is_unknown_during_it() {
    let nodes = Nodes::start(&[version("v1"), version("v1")]);
    nodes.dispatchers[0].record_stream("s0", origin(version("v1")));
    let _own = nodes.dispatchers[0].find_stream("s0").await;
    nodes.view.send_replace(Arc::new(cluster(&[version("v1"), version("v1.1")])));
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    nodes.lose(0);
    for node in 1..NODES {
        let found = nodes.dispatchers[node].find_stream("s0").await;
        let is_found = matches!(&found, OriginResolution::Known { origin: found, .. }
            if *found == origin(version("v1")));
        assert!(is_found, "{node}: {found:?}");
    }
}

/// Whether engines have several versions.
struct VersionsCase {
    versions: &'static [Option<&'static str>],
    are_several: bool,
}

#[test]
fn engines_without_a_version_count_as_one_version() {
    let cases = [
        VersionsCase { versions: &[], are_several: false },
        VersionsCase { versions: &[None, None], are_several: false },
        VersionsCase { versions: &[Some("v1"), Some("v1")], are_several: false },
        VersionsCase { versions: &[Some("v1"), Some("v1.1"), Some("v1")], are_several: true },
        VersionsCase { versions: &[Some("v1"), None], are_several: true },
    ];
    for VersionsCase { versions, are_several } in cases {
        let software: Vec<_> = versions.iter().map(|name| name.and_then(version)).collect();
        let view = cluster(&software);
        assert_eq!(view.has_several_software_versions(), are_several, "{versions:?}");
    }
}
