//! The desired state to chunks, and back.

use bytes::Bytes;

use super::StorageError;
use super::chunk;
use super::chunk::Chunk;
use super::record::AccountRecord;
use super::record::Record;
use super::record::ServiceRecord;
use super::record::UpstreamRecord;
use crate::DesiredState;
use redwingrill_entity::Names;

/// Writes a desired state as chunks. The same state gives the same chunks in every process.
pub fn to_chunks(state: &DesiredState, names: &Names) -> Vec<Chunk> {
    chunk::cut(to_records(state, names))
}

/// Reads a desired state from all its chunks, whose hashes the caller has verified.
///
/// Names are interned even if a later chunk is malformed; identifiers are never reused, so this
/// costs no more than their space.
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
    Err(StorageError::Malformed { reason: "a reference leads nowhere".to_owned() })
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
    records.sort_by(|a, b| (a.word(), a.name()).cmp(&(b.word(), b.name())));
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
            state.accounts.insert(id, account);
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
