//! Compares two sets of records.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use super::record::Record;

/// How an entity changed.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DifferenceKind {
    /// Only the new set contains it.
    Added,
    /// Both sets contain it, with different values.
    Changed,
    /// Only the old set contains it.
    Removed,
}

/// One entity that changed.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub struct Difference {
    /// How it changed.
    pub kind: DifferenceKind,
    /// The header of its section, without brackets.
    pub section: String,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.kind {
            DifferenceKind::Added => '+',
            DifferenceKind::Changed => '~',
            DifferenceKind::Removed => '-',
        };
        write!(f, "{sign} [{}]", self.section)
    }
}

/// Returns the differences between two sets of records, sorted by section.
pub fn differences(old: &[Record], new: &[Record]) -> Vec<Difference> {
    let old = index_by_section(old);
    let new = index_by_section(new);
    let mut kinds = BTreeMap::new();
    for (section, record) in &new {
        match old.get(section) {
            None => kinds.insert(section, DifferenceKind::Added),
            Some(previous) if previous != record => kinds.insert(section, DifferenceKind::Changed),
            Some(_) => None,
        };
    }
    for section in old.keys().filter(|section| !new.contains_key(*section)) {
        kinds.insert(section, DifferenceKind::Removed);
    }
    kinds.into_iter().map(|(section, kind)| Difference { kind, section: section.clone() }).collect()
}

fn index_by_section(records: &[Record]) -> BTreeMap<String, &Record> {
    records
        .iter()
        .map(|record| (format!("{} {}", record.keyword(), record.name()), record))
        .collect()
}
