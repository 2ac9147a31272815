//! Retires and deletes pages past the retention window.
//!
//! ```text
//!   open --seal--> sealed --window--> retired (short hashes) --key retention--> deleted
//! ```
//!
//! Keys of a retired page are still refused as expired. Pages are deleted oldest first, and the
//! newest page of a shard is never deleted.

use crate::layout::LayoutConfig;
use crate::layout::paged::index::SealedIndex;

/// A maintenance step for the page of one slice.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum MaintenanceStep {
    /// Replaces the records by short hashes.
    Retire(u64),
    /// Deletes the page.
    Delete(u64),
}

/// Returns the next maintenance step that is due for a shard's pages.
pub(super) fn next_maintenance_step(
    index: &SealedIndex,
    open_slice: u64,
    window_ms: u64,
    config: &LayoutConfig,
    wall_ms: u64,
) -> Option<MaintenanceStep> {
    let retire_after_ms = window_ms.saturating_add(config.view_ttl_ms);
    let delete_after_ms = config.key_retention_ms(window_ms).saturating_add(config.view_ttl_ms);
    let mut oldest = true;
    for (slice, page) in index.iter() {
        let age_ms = wall_ms.saturating_sub(page.changed_at_ms);
        if oldest && page.retired && age_ms > delete_after_ms && slice + 1 < open_slice {
            return Some(MaintenanceStep::Delete(slice));
        }
        oldest = false;
        if !page.retired && age_ms > retire_after_ms {
            return Some(MaintenanceStep::Retire(slice));
        }
    }
    None
}
