//! The record of the roll-out in the platform's store.
//!
//! Invariants:
//!
//! - the fencing number never decreases, and it increases with each new owner;
//! - the sequence increases with each write;
//! - an engine has at most one load;
//! - the number of loads of a model is within its limit.

use std::collections::HashMap;
use std::collections::HashSet;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

/// The key of the record in the store.
pub const ROLLOUT_KEY: &str = "redwingrill/rollout/state";

/// A load whose command was or may have been sent.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct LoadEntry {
    /// The name of the engine.
    pub engine: String,
    /// The incarnation of the engine that is to load.
    pub incarnation: u64,
    /// The name of the model.
    pub model: String,
    /// The version of the weights.
    pub weights_version: String,
}

/// A role that is or will be assigned to an engine.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct RoleEntry {
    /// The name of the engine.
    pub engine: String,
    /// The incarnation of the engine that is to take the role.
    pub incarnation: u64,
    /// The name of the role.
    pub role: String,
    /// Whether the engine accepted the command.
    pub accepted: bool,
}

/// The state of the roll-out, shared by successive owners.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// The fencing number that the commands of the owner carry.
    pub fencing_number: u64,
    /// The name of the node that owns the roll-out; empty if there is no owner.
    pub owner: String,
    /// A random number that identifies the owner's process, so that it recognises its own writes.
    pub run_id: u64,
    /// Increases with each write.
    pub sequence: u64,
    /// The loads in progress.
    pub loads: Vec<LoadEntry>,
    /// The roles of engines.
    pub roles: Vec<RoleEntry>,
}

/// The encoding of the record. The variant is the version of the format.
#[derive(Serialize, Deserialize)]
enum RecordWire {
    V1(RolloutRecord),
}

impl RolloutRecord {
    /// Encodes the record as a value of the store.
    pub fn encode(&self) -> Bytes {
        let wire = RecordWire::V1(self.clone());
        postcard::to_stdvec(&wire).expect("records always serialize").into()
    }

    /// Decodes a value of the store. Returns `None` if it is malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok().map(|RecordWire::V1(record)| record)
    }

    /// Returns the load in progress of an engine.
    pub fn load_of(&self, engine: &str) -> Option<&LoadEntry> {
        self.loads.iter().find(|load| load.engine == engine)
    }

    /// Returns the role entry of an engine.
    pub fn role_of(&self, engine: &str) -> Option<&RoleEntry> {
        self.roles.iter().find(|role| role.engine == engine)
    }

    /// Returns how many loads of a model are in progress.
    pub fn loads_of_model(&self, model: &str) -> usize {
        self.loads.iter().filter(|load| load.model == model).count()
    }

    /// Checks the invariants of `self` as the record that replaces `previous`.
    ///
    /// # Errors
    ///
    /// Returns a description of the violated invariant.
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
            return Err("the fencing number decreased");
        }
        if self.run_id != previous.run_id && self.fencing_number == previous.fencing_number {
            return Err("a new owner kept the fencing number");
        }
        if self.sequence <= previous.sequence {
            return Err("the sequence did not increase");
        }
        let exceeds_limit = |(model, limit): (&String, &usize)| {
            let now = self.loads_of_model(model);
            // After a limit was lowered, the count may exceed it until loads end.
            now > *limit && now > previous.loads_of_model(model)
        };
        if limits.iter().any(exceeds_limit) {
            return Err("too many loads at once");
        }
        Ok(())
    }
}
