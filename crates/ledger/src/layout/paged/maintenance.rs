//! What becomes of pages past the retained window.
//!
//! ```text
//!   open --seal--> sealed --past the window--> retired (short hashes) --much later--> deleted
//! ```
//!
//! A retired page still refuses its keys as expired. Pages are deleted oldest first, and never the
//! newest of a shard.

use crate::layout::LayoutConfig;
use crate::layout::paged::index::SealedIndex;

/// The next step for one page.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum MaintenanceStep {
    /// Cut the page down to short hashes.
    Retire(u64),
    /// Delete the page.
    Delete(u64),
}

/// Returns the next step that is due for a shard's pages.
pub(super) fn next_maintenance_step(
    index: &SealedIndex,
    open_slice: u64,
    window_ms: u64,
    config: &LayoutConfig,
    wall_ms: u64,
) -> Option<MaintenanceStep> {
    let retire_after_ms = window_ms.saturating_add(config.view_ttl_ms);
    let key_retention_ms = config.key_retention_ms(window_ms).saturating_add(config.view_ttl_ms);
    let mut oldest = true;
    for (slice, page) in index.iter() {
        let age_ms = wall_ms.saturating_sub(page.changed_at_ms);
        if oldest && page.retired && age_ms > key_retention_ms && slice + 1 < open_slice {
            return Some(MaintenanceStep::Delete(slice));
        }
        oldest = false;
        if !page.retired && age_ms > retire_after_ms {
            return Some(MaintenanceStep::Retire(slice));
        }
    }
    None
}
