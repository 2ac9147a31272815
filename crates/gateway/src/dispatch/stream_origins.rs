//! The directory of stream origins, which follows the cluster view.

use std::net::SocketAddr;

use log::info;
use serde_json::json;
use tokio::sync::oneshot;

use crate::cluster_view::ClusterView;
use crate::software::has_store_contact;
use crate::software::stream_retention_ms;
use crate::store_sync::StoreReader;
use redwingrill_scheduling::coordination::GroupNode;
use redwingrill_scheduling::stream_origins::OriginDirectory;
use redwingrill_scheduling::stream_origins::OriginResolution;
use redwingrill_scheduling::stream_origins::StreamKey;
use redwingrill_scheduling::stream_origins::StreamOrigin;

/// A node's part of the directory.
///
/// Owners are told while several versions serve, and while the node has no contact with the store: then
/// no other node can learn from it that one version serves.
#[derive(Debug, Default)]
pub(super) struct StreamOrigins {
    pub directory: OriginDirectory<oneshot::Sender<OriginResolution>>,
    has_several_versions: bool,
    reader: Option<StoreReader>,
}

impl StreamOrigins {
    /// Lets the directory notice when the node has lost the store.
    pub fn follow_store(&mut self, reader: StoreReader) {
        self.reader = Some(reader);
    }

    /// Takes over the nodes, the configuration, and whether several versions serve.
    pub fn apply_view(&mut self, view: &ClusterView, own_address: Option<SocketAddr>, now_ms: u64) {
        let nodes: Vec<GroupNode> = view.members.iter().map(GroupNode::from).collect();
        self.directory.set_nodes(nodes, own_address);
        self.directory.set_retention_ms(stream_retention_ms(view.configuration.as_deref()));
        self.has_several_versions = view.has_several_software_versions();
        self.update_published(now_ms);
    }

    /// Records a stream whose first event is about to be forwarded by this node.
    pub fn record(&mut self, key: StreamKey, origin: &StreamOrigin, now_ms: u64) {
        self.update_published(now_ms);
        self.directory.record(key, origin, now_ms);
    }

    fn update_published(&mut self, now_ms: u64) {
        let has_contact = self
            .reader
            .as_ref()
            .is_none_or(|reader| has_store_contact(reader.last_contact_ms(), now_ms));
        let is_published = self.has_several_versions || !has_contact;
        if is_published != self.directory.is_published() {
            self.directory.set_published(is_published);
            let (begun, owned) = self.directory.remembered();
            info!(
                "event=stream_origins_published enabled={is_published} contact={has_contact} \
                 begun={begun} owned={owned}"
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
