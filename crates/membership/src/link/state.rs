//! The state of one side of a link.

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

/// The bytes of payloads and records after which the rest waits for the next frame.
const FRAME_TARGET_BYTES: usize = 48 * 1024;

/// A rough size of a member record on the wire.
const MEMBER_SIZE_ESTIMATE_BYTES: usize = 48;

/// A rough size of an item besides its payload.
const ITEM_OVERHEAD_ESTIMATE_BYTES: usize = 8;

/// Why a frame cannot be read.
#[derive(Clone, PartialEq, Eq, Debug, Snafu)]
pub enum LinkError {
    /// A frame is missing, repeated or late.
    #[snafu(display("frame {number} where {expected} was expected"))]
    OutOfSequence {
        /// The number of the frame.
        number: u32,
        /// The number that was expected.
        expected: u32,
    },
    /// A frame names an origin or kind that does not exist on this link.
    #[snafu(display("unknown origin or kind"))]
    UnknownItem,
    /// A step leads past the greatest sequence number.
    #[snafu(display("sequence number overflows"))]
    SequenceOverflow,
}

/// What a frame told.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct DecodedFrame {
    /// The sender, if this was its first frame.
    pub from: Option<NodeKey>,
    /// Records of members.
    pub members: Vec<MemberRecord>,
    /// Items.
    pub items: Vec<(NodeKey, ItemKind, Item)>,
    /// Whether the sender has more.
    pub more: bool,
}

/// What a side has to share.
#[derive(Clone, Copy, Debug)]
pub struct LocalState<'a> {
    /// The node itself.
    pub own_key: NodeKey,
    /// The members.
    pub members: &'a MemberTable,
    /// The items.
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
    /// Makes a side that knows nothing of the other.
    pub fn new() -> Self {
        Self::default()
    }

    /// Writes the next frame: what the other side lacks, up to a limit.
    ///
    /// What is written counts as known to the other side, since a loss ends the link.
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

    /// Returns whether the other side lacks anything of the kinds for which `counts` is true, or a
    /// member record.
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

    /// Reads a frame of the other side. After an error the link must be dropped.
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

    /// Visits the versions that the other side is known to have.
    pub fn known_versions(&self) -> impl Iterator<Item = (NodeKey, ItemKind, Version)> {
        self.outgoing.iter().flat_map(|(origin, known)| {
            let versions = ItemKind::ALL.iter().zip(known.versions);
            versions.map(move |(&kind, version)| (origin, kind, version))
        })
    }
}
