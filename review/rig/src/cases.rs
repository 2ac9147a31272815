//! The cases.

mod frozen_waiter;
mod left_stream;
mod stale_entry;
mod watch_cut;

use std::path::PathBuf;

use crate::record::Record;
use crate::site::Site;

/// Runs a case. Returns whether the rule was broken.
pub fn run(
    case: &str,
    has_trouble: bool,
    record: Record,
    repository: PathBuf,
    folder: PathBuf,
) -> Result<bool, String> {
    record.say(&format!("case {case}, trouble: {has_trouble}"));
    let start = |services: &[(&str, usize)], nodes: usize| {
        let (repository, folder) = (repository.clone(), folder.clone());
        Site::start(record.clone(), repository, folder, services, nodes, case == "left-stream")
    };
    match case {
        "frozen-waiter" => frozen_waiter::run(start(&[("llm", 6)], 5)?, has_trouble),
        "left-stream" => left_stream::run(start(&[("llm", 6)], 2)?, has_trouble),
        "stale-entry" => stale_entry::run(start(&[("shop", 5)], 2)?, has_trouble),
        "watch-cut" => watch_cut::run(start(&[("shop", 3)], 2)?, has_trouble),
        _ => Err(format!("no case {case}")),
    }
}
