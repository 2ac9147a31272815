//! The bound on one call to the store.

use std::future::Future;
use std::time::Duration;

use redwingrill_ports::StoreError;

/// How long a call may take.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Gives up a call that takes too long; a write may then have taken effect.
pub async fn bounded<T>(
    call: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    match tokio::time::timeout(CALL_TIMEOUT, call).await {
        Ok(answer) => answer,
        Err(_) => Err(StoreError::ResponseLost { reason: "no answer in time".to_owned() }),
    }
}
