//! An accepted configuration, indexed for request handling.
//!
//! A request takes one snapshot when it arrives and uses it throughout, so no request sees a
//! partial change.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use crate::DesiredState;
use crate::KeyHash;
use redwingrill_entity::AccountId;
use redwingrill_entity::ModelId;
use redwingrill_entity::PriorityId;
use redwingrill_entity::ServiceId;

/// The number of an accepted configuration. It never decreases; zero means that there is none.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Serialize, Deserialize,
)]
pub struct Generation(pub u64);

/// A configuration in force, with the indexes for lookups by requests.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The generation.
    pub generation: Generation,
    /// The desired state.
    pub state: DesiredState,
    accounts_by_key: HashMap<KeyHash, AccountId>,
    models_by_name: HashMap<String, ModelId>,
    services_by_name: HashMap<String, ServiceId>,
    priorities_by_name: HashMap<String, PriorityId>,
}

impl Snapshot {
    /// Builds the indexes of a desired state.
    pub fn new(generation: Generation, state: DesiredState) -> Self {
        let accounts = state.accounts.iter();
        let keys = accounts.flat_map(|(id, a)| a.key_hashes.iter().map(move |&hash| (hash, id)));
        Self {
            generation,
            accounts_by_key: keys.collect(),
            models_by_name: state.models.iter().map(|(id, m)| (m.name.clone(), id)).collect(),
            services_by_name: state.services.iter().map(|(id, s)| (s.name.clone(), id)).collect(),
            priorities_by_name: state
                .priorities
                .iter()
                .map(|(id, p)| (p.name.clone(), id))
                .collect(),
            state,
        }
    }

    /// Returns the client account that an API key belongs to.
    pub fn account_of_key(&self, api_key: &str) -> Option<AccountId> {
        self.accounts_by_key.get(&KeyHash::of(api_key)).copied()
    }

    /// Returns the model with this name.
    pub fn model(&self, name: &str) -> Option<ModelId> {
        self.models_by_name.get(name).copied()
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<ServiceId> {
        self.services_by_name.get(name).copied()
    }

    /// Returns the priority with this name.
    pub fn priority(&self, name: &str) -> Option<PriorityId> {
        self.priorities_by_name.get(name).copied()
    }
}
