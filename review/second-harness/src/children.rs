//! The processes that a run started, so that none is left when it ends early.

use std::collections::BTreeSet;
use std::process::Command;
use std::sync::Mutex;

static RUNNING: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

/// Notes a process that was started.
pub fn started(id: u32) {
    RUNNING.lock().expect("no holder panics").insert(id);
}

/// Notes a process that has ended and was waited for.
pub fn ended(id: u32) {
    RUNNING.lock().expect("no holder panics").remove(&id);
}

/// Kills what still runs.
pub fn kill_all() {
    for id in RUNNING.lock().expect("no holder panics").iter() {
        let _ = Command::new("sh").arg("-c").arg(format!("kill -KILL {id}")).status();
    }
}
