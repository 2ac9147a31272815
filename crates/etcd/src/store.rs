//! The client of the store over the JSON gateway.

use std::time::Duration;

use bytes::Bytes;

use crate::EtcdWatch;
use crate::PlatformOptions;
use crate::endpoints::Endpoints;
use crate::wire::Base64Bytes;
use crate::wire::Compare;
use crate::wire::DecimalString;
use crate::wire::LeaseGrantRequest;
use crate::wire::LeaseMessage;
use crate::wire::PutRequest;
use crate::wire::RangeRequest;
use crate::wire::RangeResponse;
use crate::wire::RequestOp;
use crate::wire::Streamed;
use crate::wire::TxnRequest;
use crate::wire::TxnResponse;
use crate::wire::WatchCreate;
use crate::wire::WatchRequest;
use crate::wire::prefix_end;
use redwingrill_ports::Entry;
use redwingrill_ports::Expected;
use redwingrill_ports::LeaseId;
use redwingrill_ports::Revision;
use redwingrill_ports::Store;
use redwingrill_ports::StoreError;
use redwingrill_ports::Swap;
use redwingrill_transport::Pool;

/// A client of the platform's store. Clones share their connections.
#[derive(Clone, Debug)]
pub struct EtcdStore {
    endpoints: Endpoints,
}

impl EtcdStore {
    /// Creates a client that sends its requests through `pool`.
    pub fn new(options: PlatformOptions, pool: Pool) -> Self {
        Self { endpoints: Endpoints::new(options, pool) }
    }
}

impl Store for EtcdStore {
    type Watch = EtcdWatch;

    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        let request = RangeRequest { key: key.into(), range_end: None };
        let response: RangeResponse = self.endpoints.post("/v3/kv/range", &request).await?;
        response.kvs.into_iter().next().map(Entry::try_from).transpose()
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, StoreError> {
        let request = RangeRequest { key: prefix.into(), range_end: Some(prefix_end(prefix)) };
        let response: RangeResponse = self.endpoints.post("/v3/kv/range", &request).await?;
        response.kvs.into_iter().map(Entry::try_from).collect()
    }

    async fn swap(
        &self,
        key: &str,
        expected: Expected,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<Swap, StoreError> {
        let put = PutRequest {
            key: key.into(),
            value: Base64Bytes(value.to_vec()),
            lease: DecimalString(lease.map_or(0, |lease| lease.0)),
        };
        let read = RangeRequest { key: key.into(), range_end: None };
        let request = TxnRequest {
            compare: vec![compare(key, expected)],
            success: vec![RequestOp { request_put: Some(put), ..Default::default() }],
            failure: vec![RequestOp { request_range: Some(read), ..Default::default() }],
        };
        let response: TxnResponse = self.endpoints.post("/v3/kv/txn", &request).await?;
        if response.succeeded {
            return Ok(Swap::Done(response.header.revision.try_into()?));
        }
        let ranges = response.responses.into_iter().filter_map(|op| op.response_range);
        let existing =
            ranges.flat_map(|range| range.kvs).next().map(Entry::try_from).transpose()?;
        Ok(Swap::Conflict(existing))
    }

    async fn delete(&self, key: &str, expected: Revision) -> Result<bool, StoreError> {
        let range = RangeRequest { key: key.into(), range_end: None };
        let request = TxnRequest {
            compare: vec![compare(key, Expected::At(expected))],
            success: vec![RequestOp { request_delete_range: Some(range), ..Default::default() }],
            failure: Vec::new(),
        };
        let response: TxnResponse = self.endpoints.post("/v3/kv/txn", &request).await?;
        Ok(response.succeeded)
    }

    async fn watch(&self, prefix: &str, from: Revision) -> Result<EtcdWatch, StoreError> {
        let create_request = WatchCreate {
            key: prefix.into(),
            range_end: Some(prefix_end(prefix)),
            start_revision: from.into(),
        };
        let request = WatchRequest { create_request };
        let body = self.endpoints.post_streaming("/v3/watch", &request).await?;
        EtcdWatch::open(body, self.endpoints.call_timeout()).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        // The gateway takes whole seconds. A slightly longer lease does no harm, so round up.
        let ttl_s = ttl.as_secs() + u64::from(ttl.subsec_nanos() > 0);
        let ttl_s = DecimalString(i64::try_from(ttl_s).unwrap_or(i64::MAX));
        let request = LeaseGrantRequest { ttl_s };
        let response: LeaseMessage = self.endpoints.post("/v3/lease/grant", &request).await?;
        Ok(LeaseId(response.id.0))
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<bool, StoreError> {
        let request = LeaseMessage { id: DecimalString(lease.0), ttl_s: DecimalString(0) };
        let response: Streamed<LeaseMessage> =
            self.endpoints.post("/v3/lease/keepalive", &request).await?;
        Ok(response.result.ttl_s.0 > 0)
    }
}

fn compare(key: &str, expected: Expected) -> Compare {
    let (target, mod_revision, create_revision) = match expected {
        Expected::Absent => ("CREATE", None, Some(DecimalString(0))),
        Expected::At(revision) => ("MOD", Some(revision.into()), None),
    };
    Compare {
        key: key.into(),
        target: target.to_owned(),
        result: "EQUAL".to_owned(),
        mod_revision,
        create_revision,
    }
}
