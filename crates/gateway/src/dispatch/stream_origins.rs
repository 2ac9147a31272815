//! The directory of stream origins, which follows the cluster view.

use std::net::SocketAddr;
use std::time::Duration;

use log::info;
use serde_json::json;
use tokio::sync::oneshot;

use crate::cluster_view::ClusterView;
use redwingrill_routing::Configuration;
use redwingrill_scheduling::coordination::GroupNode;
use redwingrill_scheduling::stream_origins::OriginDirectory;
use redwingrill_scheduling::stream_origins::OriginResolution;

/// How long after the end of its stream a caller may come back for it at the latest.
const RETURN_DELAY: Duration = Duration::from_secs(10);

/// A node's part of the directory.
#[derive(Debug, Default)]
pub(super) struct StreamOrigins {
    pub directory: OriginDirectory<oneshot::Sender<OriginResolution>>,
}

impl StreamOrigins {
    /// Takes over the nodes, the configuration, and whether several versions serve.
    pub fn apply_view(&mut self, view: &ClusterView, own_address: Option<SocketAddr>) {
        let nodes: Vec<GroupNode> = view.members.iter().map(GroupNode::from).collect();
        self.directory.set_nodes(nodes, own_address);
        if let Some(configuration) = &view.configuration {
            self.directory.set_retention_ms(retention(configuration).as_millis() as u64);
        }
        let is_published = view.has_several_software_versions();
        if is_published != self.directory.is_published() {
            self.directory.set_published(is_published);
            let (begun, owned) = self.directory.remembered();
            info!(
                "event=stream_origins_published enabled={is_published} begun={begun} owned={owned}"
            );
        }
    }

    /// Returns the state for the dump.
    pub fn dump(&self) -> serde_json::Value {
        let (begun, owned) = self.directory.remembered();
        json!({
            "published": self.directory.is_published(),
            "begun": begun,
            "owned": owned,
            "looked_up": self.directory.pending(),
        })
    }
}

/// Returns how long the origin of a stream is needed: a caller may take a stream up again until it would
/// have ended, and the rest may take as long.
fn retention(configuration: &Configuration) -> Duration {
    let streams = configuration.routes().filter(|route| route.kind.is_stream());
    let longest = streams.map(|route| route.timeout).max().unwrap_or_default();
    longest * 2 + RETURN_DELAY
}
