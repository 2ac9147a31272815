//! What is known of the origin of a stream.

use serde::Deserialize;
use serde::Serialize;

use redwingrill_routing::SoftwareVersion;

/// The limit of the text of an origin in messages, in bytes.
const TEXT_LIMIT_BYTES: usize = 512;

/// Where a stream began. A version belongs to its service: equal versions of two services are
/// different software.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The service.
    pub service: String,
    /// The version of the engine's software; `None` if the engine states none.
    pub software: Option<SoftwareVersion>,
}

impl StreamOrigin {
    /// Returns the length of the names in bytes.
    pub(super) fn text_bytes(&self) -> usize {
        self.service.len() + self.software.as_ref().map_or(0, |software| software.0.len())
    }

    /// Returns whether messages may have the origin. Only a faulty entry of an engine has names that
    /// are too long; the node that begins its streams is the only one that knows them.
    pub(super) fn fits_message(&self) -> bool {
        self.text_bytes() <= TEXT_LIMIT_BYTES
    }
}

/// What a node remembers of a stream.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub enum Recollection {
    /// Nothing.
    #[default]
    Unknown,
    /// The origin.
    Known(StreamOrigin),
    /// Several streams have the identifier, with different origins.
    Contradicted,
}

impl Recollection {
    /// Combines what two nodes remember, in any order.
    pub fn join(self, other: Self) -> Self {
        match (self, other) {
            (Self::Unknown, known) | (known, Self::Unknown) => known,
            (Self::Known(one), Self::Known(other)) if one == other => Self::Known(one),
            _ => Self::Contradicted,
        }
    }
}

/// Who knew the origin of a stream.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum OriginSource {
    /// The node itself.
    Own,
    /// An owner of the stream.
    Owners,
}

/// The outcome of a lookup.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum OriginResolution {
    /// The origin is known.
    Known {
        /// The origin.
        origin: StreamOrigin,
        /// Who knew it.
        source: OriginSource,
    },
    /// The origin is not known.
    Unknown {
        /// Whether different origins were named.
        is_contradicted: bool,
    },
}

impl OriginResolution {
    pub(super) fn new(recollection: Recollection, source: OriginSource) -> Self {
        match recollection {
            Recollection::Known(origin) => Self::Known { origin, source },
            Recollection::Unknown => Self::Unknown { is_contradicted: false },
            Recollection::Contradicted => Self::Unknown { is_contradicted: true },
        }
    }
}
