//! Converts the desired state to chunks and back.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;

use super::ChunkHash;
use super::StorageError;
use super::chunk;
use super::chunk::Chunk;
use super::record::AccountRecord;
use super::record::Record;
use super::record::ServiceRecord;
use super::record::UpstreamRecord;
use crate::Account;
use crate::DesiredState;
use redwingrill_entity::AccountId;
use redwingrill_entity::Names;

/// Encodes a desired state as chunks. The encoding is deterministic across processes.
pub fn to_chunks(state: &DesiredState, names: &Names) -> Vec<Chunk> {
    chunk::split_records(to_records(state, names))
}

/// Decodes a desired state from all its chunks. The caller has verified their hashes.
///
/// Names are interned even if a later chunk is malformed; identifiers are never reused, so this
/// only costs memory.
///
/// # Errors
///
/// Returns [`StorageError::Malformed`] if a chunk cannot be decoded or a reference is dangling.
pub fn from_chunks<'a>(
    chunks: impl IntoIterator<Item = &'a Bytes>,
    names: &mut Names,
) -> Result<DesiredState, StorageError> {
    let mut state = DesiredState::default();
    for bytes in chunks {
        for record in chunk::decode(bytes)? {
            insert(&mut state, record, names);
        }
    }
    verify(&state)?;
    Ok(state)
}

/// Decodes successive desired states and shares the accounts of unchanged chunks between them.
///
/// Without sharing, each change would reallocate all accounts and free the old ones on whichever
/// thread drops the last reference to the old state, which makes the allocator retain memory.
#[derive(Debug, Default)]
pub struct Assembler {
    // The accounts of chunks that contain only accounts, by hash.
    accounts: HashMap<ChunkHash, Vec<(AccountId, Arc<Account>)>>,
}

impl Assembler {
    /// Decodes a desired state from all its chunks. The caller has verified their hashes.
    ///
    /// # Errors
    ///
    /// As for [`from_chunks`].
    pub fn assemble(
        &mut self,
        chunks: &[(ChunkHash, Bytes)],
        names: &mut Names,
    ) -> Result<DesiredState, StorageError> {
        let mut state = DesiredState::default();
        let mut accounts_by_chunk = HashMap::with_capacity(self.accounts.len());
        for (hash, bytes) in chunks {
            let accounts = match self.accounts.get(hash) {
                Some(cached) => cached.clone(),
                None => decode_chunk(&mut state, bytes, names)?,
            };
            for (id, account) in &accounts {
                state.accounts.insert(*id, account.clone());
            }
            if !accounts.is_empty() {
                accounts_by_chunk.insert(*hash, accounts);
            }
        }
        verify(&state)?;
        self.accounts = accounts_by_chunk;
        Ok(state)
    }
}

/// Decodes a chunk into a state. Returns its accounts if it contains only accounts.
fn decode_chunk(
    state: &mut DesiredState,
    bytes: &Bytes,
    names: &mut Names,
) -> Result<Vec<(AccountId, Arc<Account>)>, StorageError> {
    let records = chunk::decode(bytes)?;
    let only_accounts = records.iter().all(|record| matches!(record, Record::Account(_)));
    let ids: Vec<AccountId> = if only_accounts {
        records.iter().map(|record| names.accounts.intern(record.name())).collect()
    } else {
        Vec::new()
    };
    for record in records {
        insert(state, record, names);
    }
    let accounts = ids.into_iter().filter_map(|id| Some((id, state.accounts.get(id)?.clone())));
    Ok(accounts.collect())
}

/// Checks that every identifier in a state refers to an entity of the state.
pub fn verify(state: &DesiredState) -> Result<(), StorageError> {
    let accounts = state.accounts.values().flat_map(|account| &account.priorities);
    let priorities = accounts.copied().all(|id| state.priorities.contains(id));
    let models = state.upstreams.values().filter_map(|upstream| upstream.model);
    let models = { models }.all(|id| state.models.contains(id));
    let upstreams = state.services.values().flat_map(|service| &service.upstreams);
    let upstreams = upstreams.copied().all(|id| state.upstreams.contains(id));
    let roles = state.engine_roles.keys().all(|id| state.upstreams.contains(id));
    if priorities && models && upstreams && roles {
        return Ok(());
    }
    Err(StorageError::Malformed { reason: "dangling reference".to_owned() })
}

fn to_records(state: &DesiredState, names: &Names) -> Vec<Record> {
    let mut records = Vec::new();
    records.extend(state.priorities.values().map(|p| Record::Priority(p.into())));
    records.extend(state.models.values().map(|m| Record::Model(m.into())));
    let accounts = state.accounts.values();
    records.extend(accounts.map(|a| Record::Account(AccountRecord::new(a, names))));
    records.extend(state.upstreams.iter().map(|(id, upstream)| {
        let role = state.engine_roles.get(id);
        Record::Upstream(UpstreamRecord::new(upstream, role, names))
    }));
    let services = state.services.values();
    records.extend(services.map(|s| Record::Service(ServiceRecord::new(s, names))));
    records.sort_by(|a, b| (a.keyword(), a.name()).cmp(&(b.keyword(), b.name())));
    records
}

fn insert(state: &mut DesiredState, record: Record, names: &mut Names) {
    match record {
        Record::Priority(record) => {
            let id = names.priorities.intern(&record.name);
            state.priorities.insert(id, record.into());
        }
        Record::Model(record) => {
            let id = names.models.intern(&record.name);
            state.models.insert(id, record.into());
        }
        Record::Account(record) => {
            let account = record.into_account(names);
            let id = names.accounts.intern(&account.name);
            state.accounts.insert(id, Arc::new(account));
        }
        Record::Upstream(mut record) => {
            let role = record.role.take();
            let upstream = record.into_upstream(names);
            let id = names.upstreams.intern(&upstream.name);
            state.upstreams.insert(id, upstream);
            if let Some(role) = role {
                state.engine_roles.insert(id, role);
            }
        }
        Record::Service(record) => {
            let service = record.into_service(names);
            let id = names.services.intern(&service.name);
            state.services.insert(id, service);
        }
    }
}
