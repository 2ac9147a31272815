//! What a process has used, as the operating system counts it.

use std::fs;
use std::io;
use std::time::Duration;

/// The unit of processor times that the kernel reports.
const TICK: Duration = Duration::from_millis(10);
/// The places of user and system time after the command's name in `/proc/ID/stat`.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

/// What a process has used so far.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ProcessUsage {
    /// The processor time.
    pub processor: Duration,
    /// The memory that is resident now.
    pub resident_bytes: u64,
}

impl ProcessUsage {
    /// Reads the usage of a process.
    pub fn of(process_id: u32) -> io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{process_id}/stat"))?;
        let status = fs::read_to_string(format!("/proc/{process_id}/status"))?;
        let processor = processor_time(&stat).ok_or(io::ErrorKind::InvalidData)?;
        let resident_bytes = resident_bytes(&status).ok_or(io::ErrorKind::InvalidData)?;
        Ok(Self { processor, resident_bytes })
    }
}

fn processor_time(stat: &str) -> Option<Duration> {
    // The command's name may hold spaces and ends at the last parenthesis.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = |field: usize| fields.get(field)?.parse::<u32>().ok();
    Some(TICK * (ticks(USER_TIME_FIELD)? + ticks(SYSTEM_TIME_FIELD)?))
}

fn resident_bytes(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kilobytes * 1_024)
}
