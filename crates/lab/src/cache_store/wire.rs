//! Messages between engines and the store.

use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

use crate::engine::BlockHash;

/// The names of some blocks of one chain, in hexadecimal.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct BlockList {
    /// The names.
    pub blocks: Vec<String>,
}

/// How many blocks at the start of a chain are held.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Held {
    /// The number of blocks.
    pub held: usize,
}

/// A name that is not a hexadecimal number.
#[derive(Clone, PartialEq, Eq, Debug, Snafu)]
#[snafu(display("{name:?} names no block"))]
pub struct BadName {
    name: String,
}

impl From<&[BlockHash]> for BlockList {
    fn from(blocks: &[BlockHash]) -> Self {
        Self { blocks: blocks.iter().map(ToString::to_string).collect() }
    }
}

impl TryFrom<BlockList> for Vec<BlockHash> {
    type Error = BadName;

    fn try_from(list: BlockList) -> Result<Self, BadName> {
        let hash = |name: String| match u64::from_str_radix(&name, 16) {
            Ok(hash) => Ok(BlockHash(hash)),
            Err(_) => Err(BadName { name }),
        };
        list.blocks.into_iter().map(hash).collect()
    }
}
