//! What a process uses, as the system tells it.

use std::path::Path;

/// Resident memory of a process now, in bytes; `None` if it has ended.
#[must_use]
pub fn resident(pid: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
    let pages: u64 = text.split(' ').nth(1)?.parse().ok()?;
    Some(pages * rustix::param::page_size() as u64)
}

/// Processor time of a process so far, in s; `None` if it has ended.
#[must_use]
pub fn processor_s(pid: u32) -> Option<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The name before the last parenthesis may hold anything; the fields after it begin with the third.
    let fields: Vec<_> = stat.rsplit_once(") ")?.1.split(' ').collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    Some(ticks / rustix::param::clock_ticks_per_second() as f64)
}

/// The machine's memory in bytes.
#[must_use]
pub fn machine_memory() -> Option<u64> {
    let text = std::fs::read_to_string(Path::new("/proc/meminfo")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kib: u64 = line.trim().trim_end_matches(" kB").parse().ok()?;
    Some(kib * 1024)
}

/// The load average of the last minute.
#[must_use]
pub fn load_1m() -> Option<f64> {
    std::fs::read_to_string("/proc/loadavg").ok()?.split(' ').next()?.parse().ok()
}

/// How many ports the system gives out by itself.
#[must_use]
pub fn free_ports() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").ok()?;
    let mut bounds = text.split_whitespace().filter_map(|bound| bound.parse::<u64>().ok());
    let (first, last) = (bounds.next()?, bounds.next()?);
    Some(last.checked_sub(first)? + 1)
}
