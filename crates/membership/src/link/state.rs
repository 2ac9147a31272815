//! State of one side of a link.

use snafu::OptionExt;
use snafu::Snafu;
use snafu::ensure;

use super::frame::DeltaItem;
use super::frame::FullItem;
use super::frame::ItemId;
use super::tables::Incoming;
use super::tables::Outgoing;
use crate::Digest;
use crate::Frame;
use crate::Item;
use crate::ItemKind;
use crate::MemberRecord;
use crate::MemberTable;
use crate::NodeKey;
use crate::Version;

/// Maximum bytes of payloads and records in a frame; the remainder is sent in the next frame.
const FRAME_TARGET_BYTES: usize = 48 * 1024;

/// Approximate encoded size of a member record.
const MEMBER_SIZE_ESTIMATE_BYTES: usize = 48;

/// Approximate encoded size of an item without its payload.
const ITEM_OVERHEAD_ESTIMATE_BYTES: usize = 8;

/// The reason why a frame was rejected.
#[derive(Clone, PartialEq, Eq, Debug, Snafu)]
pub enum LinkError {
    /// A frame is missing, duplicate or late.
    #[snafu(display("received frame {number}, expected {expected}"))]
    OutOfSequence {
        /// The number of the received frame.
        number: u32,
        /// The expected number.
        expected: u32,
    },
    /// A frame refers to an origin number or kind that does not exist on this link.
    #[snafu(display("unknown origin or kind"))]
    UnknownItem,
    /// A delta exceeds the range of sequence numbers.
    #[snafu(display("sequence number overflows"))]
    SequenceOverflow,
}

/// The decoded content of a frame.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct DecodedFrame {
    /// The sender, if this is its first frame.
    pub from: Option<NodeKey>,
    /// Records of members.
    pub members: Vec<MemberRecord>,
    /// Items with origin and kind.
    pub items: Vec<(NodeKey, ItemKind, Item)>,
    /// Whether the sender has more items than fit into the frame.
    pub more: bool,
}

/// The state that a node sends to its peers.
#[derive(Clone, Copy, Debug)]
pub struct LocalState<'a> {
    /// The key of the node itself.
    pub own_key: NodeKey,
    /// The member table.
    pub members: &'a MemberTable,
    /// The digest.
    pub digest: &'a Digest,
}

/// One side of a link.
#[derive(Clone, Debug, Default)]
pub struct Link {
    outgoing: Outgoing,
    incoming: Incoming,
    frames_written: u32,
    frames_read: u32,
}

impl Link {
    /// Creates a side of a new link, on which nothing has been exchanged.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates the next frame, with records and items that the other side is missing, up to
    /// `FRAME_TARGET_BYTES`.
    ///
    /// The content counts as known to the other side at once, since a lost frame ends the link.
    pub fn write_frame(&mut self, now_ms: u64, local_state: LocalState<'_>) -> Frame {
        let mut frame = Frame { number: self.frames_written, ..Frame::default() };
        frame.from = (self.frames_written == 0).then_some(local_state.own_key);
        self.frames_written = self.frames_written.wrapping_add(1);
        let mut remaining_bytes = FRAME_TARGET_BYTES;
        for (key, record) in local_state.members.shareable(now_ms) {
            let known = self.outgoing.known(key);
            if known.member >= Some(record.stamp()) {
                continue;
            }
            if remaining_bytes < MEMBER_SIZE_ESTIMATE_BYTES {
                frame.more = true;
                return frame;
            }
            remaining_bytes -= MEMBER_SIZE_ESTIMATE_BYTES;
            known.member = Some(record.stamp());
            frame.members.push(record.clone());
        }
        for (origin, kind, item) in local_state.digest.iter() {
            if self.outgoing.known(origin).versions[kind.index()] >= item.version {
                continue;
            }
            let size_bytes = ITEM_OVERHEAD_ESTIMATE_BYTES + item.payload.len();
            if remaining_bytes < size_bytes {
                frame.more = true;
                return frame;
            }
            remaining_bytes -= size_bytes;
            self.write_item(&mut frame, origin, kind, item);
        }
        frame
    }

    /// Returns whether the other side is missing a member record, or an item for which
    /// `is_relevant` is true.
    pub fn has_pending(
        &mut self,
        now_ms: u64,
        local_state: LocalState<'_>,
        is_relevant: impl Fn(NodeKey, ItemKind) -> bool,
    ) -> bool {
        let mut members = local_state.members.shareable(now_ms);
        let outgoing = &mut self.outgoing;
        if members.any(|(key, record)| outgoing.known(key).member < Some(record.stamp())) {
            return true;
        }
        let mut items =
            local_state.digest.iter().filter(|&(origin, kind, _)| is_relevant(origin, kind));
        items.any(|(origin, kind, item)| {
            outgoing.known(origin).versions[kind.index()] < item.version
        })
    }

    fn write_item(&mut self, frame: &mut Frame, origin: NodeKey, kind: ItemKind, item: &Item) {
        let (number, is_new) = self.outgoing.assign_number(origin);
        if is_new {
            frame.new_origins.push(origin);
        }
        let known = self.outgoing.known(origin);
        let last_sent = std::mem::replace(&mut known.last_sent[kind.index()], item.version);
        known.versions[kind.index()] = item.version;
        let id = ItemId::new(number, kind);
        let payload = item.payload.to_vec();
        if last_sent.epoch == item.version.epoch && last_sent.sequence < item.version.sequence {
            let sequence_delta = item.version.sequence - last_sent.sequence;
            frame.delta_items.push(DeltaItem { id, sequence_delta, payload });
        } else {
            frame.full_items.push(FullItem { id, version: item.version, payload });
        }
    }

    /// Decodes a frame of the other side.
    ///
    /// # Errors
    ///
    /// See [`LinkError`]. The link must be dropped after an error.
    pub fn read_frame(&mut self, frame: Frame) -> Result<DecodedFrame, LinkError> {
        let expected = self.frames_read;
        ensure!(frame.number == expected, OutOfSequenceSnafu { number: frame.number, expected });
        self.frames_read = self.frames_read.wrapping_add(1);
        for origin in frame.new_origins {
            self.incoming.add_origin(origin);
        }
        let mut items = Vec::with_capacity(frame.full_items.len() + frame.delta_items.len());
        for FullItem { id, version, payload } in frame.full_items {
            let (origin, kind, last_version) = self.resolve(id)?;
            *last_version = version;
            items.push((origin, kind, Item { version, payload: payload.into() }));
        }
        for DeltaItem { id, sequence_delta, payload } in frame.delta_items {
            let (origin, kind, last_version) = self.resolve(id)?;
            last_version.sequence =
                last_version.sequence.checked_add(sequence_delta).context(SequenceOverflowSnafu)?;
            let version = *last_version;
            items.push((origin, kind, Item { version, payload: payload.into() }));
        }
        self.record_peer_state(&frame.members, &items);
        Ok(DecodedFrame { from: frame.from, members: frame.members, items, more: frame.more })
    }

    fn resolve(&mut self, id: ItemId) -> Result<(NodeKey, ItemKind, &mut Version), LinkError> {
        let kind = id.kind().context(UnknownItemSnafu)?;
        let entry = self.incoming.entry(id.number(), kind);
        let (origin, last_version) = entry.context(UnknownItemSnafu)?;
        Ok((origin, kind, last_version))
    }

    fn record_peer_state(&mut self, members: &[MemberRecord], items: &[(NodeKey, ItemKind, Item)]) {
        for record in members {
            let known = self.outgoing.known(record.info.key());
            known.member = known.member.max(Some(record.stamp()));
        }
        for (origin, kind, item) in items {
            let version = &mut self.outgoing.known(*origin).versions[kind.index()];
            *version = (*version).max(item.version);
        }
    }

    /// Iterates over the versions that the other side is known to have.
    pub fn known_versions(&self) -> impl Iterator<Item = (NodeKey, ItemKind, Version)> {
        self.outgoing.iter().flat_map(|(origin, known)| {
            let versions = ItemKind::ALL.iter().zip(known.versions);
            versions.map(move |(&kind, version)| (origin, kind, version))
        })
    }
}
