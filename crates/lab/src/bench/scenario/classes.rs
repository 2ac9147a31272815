//! How calls are counted.

use crate::caller::Ending;
use crate::caller::Outcome;

/// What a call counts as.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Class {
    /// It was answered, or was being answered in order when the run ended.
    Served,
    /// It was refused before it ran.
    Shed,
    /// Its answer ended in an error, was cut, or was not its own.
    Failed,
    /// It still waited when the run ended.
    Waiting,
}

/// Returns what a call counts as.
pub fn class_of(outcome: &Outcome) -> Class {
    match &outcome.ending {
        Ending::Complete => Class::Served,
        Ending::Refused { .. } => Class::Shed,
        Ending::Error { .. } | Ending::Wrong { .. } => Class::Failed,
        Ending::Unfinished if outcome.first_token_us.is_some() => Class::Served,
        Ending::Unfinished => Class::Waiting,
    }
}
