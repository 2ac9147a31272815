//! Calls to the store, each with a timeout.

use std::time::Duration;

use crate::layout::StoreCall;
use crate::layout::StoreResponse;
use redwingrill_ports::Store;
use redwingrill_ports::StoreError;

/// Makes a call. If it takes longer than `timeout`, its response counts as lost.
pub(super) async fn run_call<S: Store>(
    store: &S,
    call: StoreCall,
    timeout: Duration,
) -> StoreResponse {
    match call {
        StoreCall::Get { key } => StoreResponse::Get(with_timeout(timeout, store.get(&key)).await),
        StoreCall::List { prefix } => {
            StoreResponse::List(with_timeout(timeout, store.list(&prefix)).await)
        }
        StoreCall::Swap { key, expected, value, lease } => StoreResponse::Swap(
            with_timeout(timeout, store.swap(&key, expected, value, lease)).await,
        ),
        StoreCall::Grant { ttl_ms } => {
            let ttl = Duration::from_millis(ttl_ms);
            StoreResponse::Grant(with_timeout(timeout, store.grant_lease(ttl)).await)
        }
        StoreCall::Delete { key, expected } => {
            StoreResponse::Delete(with_timeout(timeout, store.delete(&key, expected)).await)
        }
    }
}

async fn with_timeout<T>(
    timeout: Duration,
    call: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    let timed_out = || StoreError::ResponseLost { reason: "timeout".to_owned() };
    tokio::time::timeout(timeout, call).await.unwrap_or_else(|_| Err(timed_out()))
}
