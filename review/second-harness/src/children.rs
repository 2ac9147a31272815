//! The processes that a run started, so that none is left when it ends early.

use std::collections::BTreeSet;
use std::os::unix::process::CommandExt;
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

unsafe extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
}

/// `PR_SET_PDEATHSIG` and `SIGKILL`.
const SET_PARENT_DEATH_SIGNAL: i32 = 1;
const KILL: u64 = 9;

/// Lets a process end with this one, however this one ends. To be started from the main thread.
pub fn end_with_parent(command: &mut Command) -> &mut Command {
    // SAFETY: prctl is called between fork and exec and touches no memory of the program.
    unsafe {
        command.pre_exec(|| match prctl(SET_PARENT_DEATH_SIGNAL, KILL) {
            0 => Ok(()),
            _ => Err(std::io::Error::last_os_error()),
        })
    }
}
