//! Open connections of each client account at this node.
//!
//! A connection belongs to the account of its first request with a valid key.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;

use redwingrill_entity::AccountId;
use redwingrill_entity::EntityMap;

/// Counts open connections by client account. Clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct AccountConnections {
    counts: Arc<Mutex<EntityMap<AccountId, u32>>>,
}

impl AccountConnections {
    /// Returns the counts of accounts that have open connections.
    pub fn counts(&self) -> Vec<(AccountId, u32)> {
        let counts = self.counts.lock().expect("no thread panics while holding the lock");
        counts.iter().filter(|(_, count)| **count > 0).map(|(id, count)| (id, *count)).collect()
    }

    fn add(&self, account: AccountId, limit: u32) -> bool {
        let mut counts = self.counts.lock().expect("no thread panics while holding the lock");
        let count = counts.get_or_insert_with(account, || 0);
        if limit > 0 && *count >= limit {
            return false;
        }
        *count += 1;
        true
    }

    fn remove(&self, account: AccountId) {
        let mut counts = self.counts.lock().expect("no thread panics while holding the lock");
        if let Some(count) = counts.get_mut(account) {
            *count = count.saturating_sub(1);
        }
    }
}

/// The owner of one connection. Dropping it with the connection decrements the count.
#[derive(Debug)]
pub struct ConnectionOwner {
    connections: AccountConnections,
    account: OnceLock<AccountId>,
}

impl ConnectionOwner {
    /// Creates the owner of a new connection.
    pub fn new(connections: AccountConnections) -> Self {
        Self { connections, account: OnceLock::new() }
    }

    /// Assigns the connection to `account` if it has no owner yet. Returns false if the account has
    /// too many open connections; a `limit` of zero means no limit.
    pub fn claim(&self, account: AccountId, limit: u32) -> bool {
        if self.account.get().is_some() {
            return true;
        }
        if !self.connections.add(account, limit) {
            return false;
        }
        if self.account.set(account).is_err() {
            // A concurrent request on the same connection has claimed it.
            self.connections.remove(account);
        }
        true
    }
}

impl Drop for ConnectionOwner {
    fn drop(&mut self) {
        if let Some(&account) = self.account.get() {
            self.connections.remove(account);
        }
    }
}
