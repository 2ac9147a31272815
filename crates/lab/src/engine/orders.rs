//! Orders to load weights or to change role, with fencing numbers.

use serde::Deserialize;
use serde::Serialize;

use crate::engine::FencingMode;

/// An order to load weights.
#[derive(Clone, PartialEq, Eq, Debug, Deserialize)]
pub struct LoadOrder {
    /// The model.
    pub model: String,
    /// The weights version.
    pub weights_version: String,
    /// The fencing number.
    pub fencing_number: u64,
}

/// An order to change role.
#[derive(Clone, PartialEq, Eq, Debug, Deserialize)]
pub struct RoleOrder {
    /// The role.
    pub role: String,
    /// The fencing number.
    pub fencing_number: u64,
}

/// The refusal of an order with an old number.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize)]
pub struct Fenced {
    /// The number that the engine holds.
    pub fencing_number: u64,
}

/// The highest fencing number seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fence {
    highest: u64,
}

impl Fence {
    /// Admits an order, or says which number it would have to reach.
    pub fn admit(&mut self, mode: FencingMode, fencing_number: u64) -> Result<(), Fenced> {
        if mode == FencingMode::Checked && fencing_number < self.highest {
            return Err(Fenced { fencing_number: self.highest });
        }
        self.highest = self.highest.max(fencing_number);
        Ok(())
    }
}
