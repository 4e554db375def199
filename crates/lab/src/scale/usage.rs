//! What a process uses, as the system tells it.

use std::path::Path;

/// Resident memory of a process now, in bytes; `None` if it has ended.
#[must_use]
pub fn resident(pid: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
    let pages: u64 = text.split(' ').nth(1)?.parse().ok()?;
    Some(pages * rustix::param::page_size() as u64)
}

/// Processor time of the threads that a process has now, in s; `None` if it has ended. It is in ns in the system's own
/// figures, where `/proc/PID/stat` has hundredths of a second, which is too coarse for what idles.
#[must_use]
pub fn processor_s(pid: u32) -> Option<f64> {
    let threads = std::fs::read_dir(format!("/proc/{pid}/task")).ok()?;
    let of = |thread: std::fs::DirEntry| {
        let text = std::fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<u64>().ok()
    };
    let nanos: u64 = threads.flatten().filter_map(of).sum();
    Some(nanos as f64 / 1e9)
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
