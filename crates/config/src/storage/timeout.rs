//! The timeout of calls to the store.

use std::future::Future;
use std::time::Duration;

use redwingrill_ports::StoreError;

/// The timeout of one call.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs a call with [`CALL_TIMEOUT`]. A write that times out may have taken effect.
pub async fn with_timeout<T>(
    call: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    match tokio::time::timeout(CALL_TIMEOUT, call).await {
        Ok(result) => result,
        Err(_) => Err(StoreError::ResponseLost { reason: "timed out".to_owned() }),
    }
}
