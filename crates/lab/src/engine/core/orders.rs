//! Orders carried out.

use tokio::time::Instant;

use super::Core;
use super::State;
use crate::engine::orders::Fenced;
use crate::engine::orders::LoadOrder;
use crate::engine::orders::RoleOrder;

impl Core {
    /// Admits an order to load weights.
    pub fn admit_load(&self, order: &LoadOrder) -> Result<(), Fenced> {
        let mut state = self.lock();
        state.fence.admit(self.options.fencing, order.fencing_number)?;
        if order.weights_version != state.weights_version {
            state.is_loading = true;
        }
        Ok(())
    }

    /// Loads weights that were admitted; the cache of the older ones is dropped.
    pub async fn load_weights(&self, weights_version: &str) {
        let incarnation = {
            let state = self.lock();
            if !state.is_loading {
                return;
            }
            state.incarnation
        };
        self.options.weight_loader.load().await;
        let mut state = self.lock();
        // A crash ends a load that was under way.
        if state.incarnation != incarnation {
            return;
        }
        state.weights_version = weights_version.to_owned();
        state.is_loading = false;
        state.cache.clear();
        let State { events, cache, .. } = &mut *state;
        events.record(Instant::now(), cache.take_changes());
    }

    /// Carries out an order to change role.
    pub fn change_role(&self, order: RoleOrder) -> Result<(), Fenced> {
        let mut state = self.lock();
        state.fence.admit(self.options.fencing, order.fencing_number)?;
        state.role = order.role;
        Ok(())
    }
}
