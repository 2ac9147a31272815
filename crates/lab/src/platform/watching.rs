//! The stream of a watch.

use bytes::Bytes;
use futures::Stream;
use serde::Serialize;

use super::translate::revision_number;
use super::wire::Event;
use super::wire::EventKind;
use super::wire::Header;
use super::wire::KeyValue;
use super::wire::Streamed;
use super::wire::WatchReply;
use crate::net::Cut;
use redwingrill_etcd::wire::Base64Bytes;
use redwingrill_fakes::MemoryWatch;
use redwingrill_ports::Change;
use redwingrill_ports::Revision;
use redwingrill_ports::Watch;

/// Returns the messages of an open watch, the first of which says that it is open.
pub(super) fn messages(
    watch: MemoryWatch,
    revision: Revision,
) -> impl Stream<Item = Result<Bytes, Cut>> + Send {
    futures::stream::unfold((watch, Some(revision)), |(mut watch, opened)| async move {
        let reply = match opened {
            Some(revision) => created(revision),
            None => changed(watch.next().await.ok()?),
        };
        Some((Ok(line(&reply)), (watch, None)))
    })
}

/// Returns the messages of a watch that asked for revisions no longer held: it opens and ends.
pub(super) fn compacted(revision: Revision) -> Vec<u8> {
    let opened = created(revision);
    let mut ended = opened.clone();
    ended.created = false;
    ended.canceled = true;
    ended.compact_revision = revision_number(revision);
    [line(&opened), line(&ended)].concat()
}

fn created(revision: Revision) -> WatchReply {
    WatchReply {
        header: Header { revision: revision_number(revision) },
        created: true,
        canceled: false,
        compact_revision: 0,
        events: Vec::new(),
    }
}

fn changed(change: Change) -> WatchReply {
    let (kind, kv) = match change {
        Change::Put(entry) => (EventKind::Put, KeyValue::from(entry)),
        Change::Delete { key, revision } => (EventKind::Delete, deleted(key, revision)),
    };
    let header = Header { revision: kv.mod_revision };
    let events = vec![Event { kind, kv }];
    WatchReply { header, created: false, canceled: false, compact_revision: 0, events }
}

fn deleted(key: String, revision: Revision) -> KeyValue {
    KeyValue {
        key: Base64Bytes(key.into_bytes()),
        value: None,
        mod_revision: revision_number(revision),
    }
}

fn line(reply: &impl Serialize) -> Bytes {
    let mut text = serde_json::to_vec(&Streamed { result: reply }).expect("replies are plain data");
    text.push(b'\n');
    Bytes::from(text)
}
