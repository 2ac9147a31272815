//! How often calls ran for each key.

use std::collections::BTreeMap;
use std::sync::Mutex;

use serde::Deserialize;
use serde::Serialize;

use crate::engine::FencingMode;

/// The runs of one key of one client account.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct KeyRuns {
    /// The client account, empty if the call named none.
    pub account: String,
    /// The Idempotency-Key.
    pub key: String,
    /// How often the call ran.
    pub runs: u64,
    /// How often it arrived.
    pub arrivals: u64,
    /// How often it was refused for an old fencing number.
    pub fenced: u64,
}

/// What became of a call that arrived.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Arrival {
    /// It ran; this is the number of the run over all keys.
    Ran(u64),
    /// It had run before, as this number.
    Replayed(u64),
    /// Its fencing number is lower than this one.
    Fenced(u64),
}

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    runs: u64,
    arrivals: u64,
    fenced: u64,
    highest_fencing_number: u64,
    first_run: Option<u64>,
}

#[derive(Debug, Default)]
struct State {
    records: BTreeMap<(String, String), Record>,
    total_runs: u64,
}

/// The runs of all keys.
#[derive(Debug)]
pub struct Runs {
    fencing: FencingMode,
    state: Mutex<State>,
}

impl Runs {
    /// Makes an empty count.
    pub fn new(fencing: FencingMode) -> Self {
        Self { fencing, state: Mutex::default() }
    }

    /// Notes a call with a key and runs it if it may run.
    pub fn arrive(&self, account: &str, key: &str, fencing_number: u64) -> Arrival {
        let mut state = self.state.lock().expect("no holder panics");
        let State { records, total_runs } = &mut *state;
        let record = records.entry((account.to_owned(), key.to_owned())).or_default();
        record.arrivals += 1;
        if self.fencing == FencingMode::Checked {
            if fencing_number < record.highest_fencing_number {
                record.fenced += 1;
                return Arrival::Fenced(record.highest_fencing_number);
            }
            record.highest_fencing_number = fencing_number;
            if let Some(run) = record.first_run {
                return Arrival::Replayed(run);
            }
        }
        *total_runs += 1;
        record.runs += 1;
        record.first_run.get_or_insert(*total_runs);
        Arrival::Ran(*total_runs)
    }

    /// Returns the runs of each key.
    pub fn list(&self) -> Vec<KeyRuns> {
        let state = self.state.lock().expect("no holder panics");
        let records = state.records.iter();
        records
            .map(|((account, key), record)| KeyRuns {
                account: account.clone(),
                key: key.clone(),
                runs: record.runs,
                arrivals: record.arrivals,
                fenced: record.fenced,
            })
            .collect()
    }
}
