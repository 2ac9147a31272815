//! Maps digest keys to the identifiers of the configuration.

use std::collections::HashMap;
use std::net::SocketAddr;

use log::warn;

use redwingrill_config::Snapshot;
use redwingrill_config::UpstreamKind;
use redwingrill_entity::AccountId;
use redwingrill_entity::EntityMap;
use redwingrill_entity::UpstreamId;
use redwingrill_membership::AccountKey;
use redwingrill_membership::UpstreamKey;

/// The mapping between digest keys and identifiers in one configuration.
#[derive(Debug, Default)]
pub(super) struct KeyIndex {
    upstreams: HashMap<UpstreamKey, UpstreamId>,
    accounts: HashMap<AccountKey, AccountId>,
    account_keys: EntityMap<AccountId, AccountKey>,
    engines: HashMap<UpstreamKey, SocketAddr>,
}

impl KeyIndex {
    /// Builds the mapping from the names in a configuration.
    pub fn new(snapshot: &Snapshot) -> Self {
        let mut index = Self::default();
        for (id, upstream) in snapshot.state.upstreams.iter() {
            let key = UpstreamKey::of(&upstream.name);
            if index.upstreams.insert(key, id).is_some() {
                warn!("event=key_collision upstream={}", upstream.name);
            }
            if upstream.kind == UpstreamKind::Engine {
                index.engines.insert(key, upstream.address);
            }
        }
        for (id, account) in snapshot.state.accounts.iter() {
            let key = AccountKey::of(&account.name);
            if index.accounts.insert(key, id).is_some() {
                warn!("event=key_collision account={}", account.name);
            }
            index.account_keys.insert(id, key);
        }
        index
    }

    pub fn upstream(&self, key: UpstreamKey) -> Option<UpstreamId> {
        self.upstreams.get(&key).copied()
    }

    pub fn account(&self, key: AccountKey) -> Option<AccountId> {
        self.accounts.get(&key).copied()
    }

    pub fn account_key(&self, id: AccountId) -> Option<AccountKey> {
        self.account_keys.get(id).copied()
    }

    pub fn engine_address(&self, key: UpstreamKey) -> Option<SocketAddr> {
        self.engines.get(&key).copied()
    }

    pub fn engine_count(&self) -> usize {
        self.engines.len()
    }
}
