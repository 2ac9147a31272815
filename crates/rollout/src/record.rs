//! The record of the roll-out in the platform's store.
//!
//! Invariants: the fencing number never goes down and grows with each owner; the sequence grows
//! with each write; an engine has one load at most; the loads of a model are within its limit.

use std::collections::HashMap;
use std::collections::HashSet;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

/// The key of the record.
pub const ROLLOUT_KEY: &str = "redwingrill/rollout/state";

/// A load that was or may have been ordered.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct LoadEntry {
    /// The engine.
    pub engine: String,
    /// The start of the engine that is to load.
    pub incarnation: u64,
    /// The model.
    pub model: String,
    /// The version of the weights.
    pub weights_version: String,
}

/// A role that was or is to be ordered.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct RoleEntry {
    /// The engine.
    pub engine: String,
    /// The start of the engine that is to take it.
    pub incarnation: u64,
    /// The role.
    pub role: String,
    /// Whether the engine said that it took the order.
    pub accepted: bool,
}

/// The state of the roll-out that owners share.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// The number that orders of the owner carry.
    pub fencing_number: u64,
    /// The node that owns the roll-out; empty when nobody does.
    pub owner: String,
    /// A random number of the owner's run, by which it knows its own writes.
    pub run_id: u64,
    /// Grows with each write.
    pub sequence: u64,
    /// The loads in progress.
    pub loads: Vec<LoadEntry>,
    /// The roles of engines.
    pub roles: Vec<RoleEntry>,
}

/// The encoding of the record; the tag is the version of the format.
#[derive(Serialize, Deserialize)]
enum RecordWire {
    V1(RolloutRecord),
}

impl RolloutRecord {
    /// Returns the value for the store.
    pub fn encode(&self) -> Bytes {
        let wire = RecordWire::V1(self.clone());
        postcard::to_stdvec(&wire).expect("records are serialisable").into()
    }

    /// Reads a value of the store; none if it is malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok().map(|RecordWire::V1(record)| record)
    }

    /// Returns the load of an engine.
    pub fn load_of(&self, engine: &str) -> Option<&LoadEntry> {
        self.loads.iter().find(|load| load.engine == engine)
    }

    /// Returns the role that an engine took.
    pub fn role_of(&self, engine: &str) -> Option<&RoleEntry> {
        self.roles.iter().find(|role| role.engine == engine)
    }

    /// Returns how many loads of a model are in progress.
    pub fn loads_of_model(&self, model: &str) -> usize {
        self.loads.iter().filter(|load| load.model == model).count()
    }

    /// Checks the invariants of `self` as the record that replaces `before`.
    ///
    /// # Errors
    ///
    /// Names the invariant that does not hold.
    pub fn verify(
        &self,
        previous: Option<&Self>,
        limits: &HashMap<String, usize>,
    ) -> Result<(), &'static str> {
        let engines: HashSet<&str> = self.loads.iter().map(|load| load.engine.as_str()).collect();
        if engines.len() != self.loads.len() {
            return Err("an engine has two loads");
        }
        let empty = Self::default();
        let previous = previous.unwrap_or(&empty);
        if self.fencing_number < previous.fencing_number {
            return Err("the fencing number went down");
        }
        if self.run_id != previous.run_id && self.fencing_number == previous.fencing_number {
            return Err("a new owner kept the fencing number");
        }
        if self.sequence <= previous.sequence {
            return Err("the sequence did not grow");
        }
        let exceeds_limit = |(model, limit): (&String, &usize)| {
            let now = self.loads_of_model(model);
            // A limit that was lowered meanwhile is reached as loads end.
            now > *limit && now > previous.loads_of_model(model)
        };
        if limits.iter().any(exceeds_limit) {
            return Err("too many loads at once");
        }
        Ok(())
    }
}
