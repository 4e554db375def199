//! The signals that a node gets: new configurations, stops, restarts and hot restarts, in series.

use super::{Dice, Run};
use crate::harness::*;
use std::os::unix::process::ExitStatusExt;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A held-up process is allowed for so long.
const STOP_TIME: Duration = Duration::from_millis(150);
/// SIGKILL follows SIGTERM no sooner than the longest deadline, counted as this at most, and a grace.
const LONGEST_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
const KILL_GRACE: Duration = Duration::from_millis(700);
/// How often a process that has been told to end is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A process of the node.
#[derive(Clone, Debug)]
pub struct ProcessRecord {
    /// When it was told to end.
    pub terminated: Option<Instant>,
    /// When it ended, or was killed.
    pub ended: Instant,
    /// Whether SIGKILL ended it.
    pub killed: bool,
    /// An end that nobody asked for, or with a failure.
    pub crashed: bool,
    /// Its peak resident memory in bytes.
    pub peak_memory: usize,
}

/// Sends signals until `end`; returns the process that serves then.
pub fn send_until(run: &Run, mut node: Node, configuration: &str, end: Instant) -> Node {
    let mut dice = Dice::new(run.plan.seed, 1);
    let configuration =
        configuration.replace(r#""listen":"127.0.0.1:0""#, &format!(r#""listen":"{}""#, node.address));
    while Instant::now() < end {
        sleep(Duration::from_millis(700) + dice.up_to(Duration::from_millis(800)));
        match dice.below(5) {
            0 | 1 => (0..1 + dice.below(3)).for_each(|_| node.signal("-HUP")),
            2 => {
                node.set_stopped(true);
                sleep(STOP_TIME);
                node.set_stopped(false);
            }
            3 => {
                terminate(run, &mut node, &mut dice);
                let tmp = node.tmp.clone();
                drop(node);
                std::fs::create_dir_all(&tmp).expect("a directory");
                node = start(run, &tmp, &configuration);
            }
            _ => {
                let successor = start(run, &node.tmp, &configuration);
                wait_until(|| successor.ops_call("GET /status") == 200, "the successor");
                terminate(run, &mut node, &mut dice);
                std::mem::forget(std::mem::replace(&mut node, successor)); // both have one directory
            }
        }
    }
    node
}

fn start(run: &Run, tmp: &std::path::Path, configuration: &str) -> Node {
    Node::start_in(tmp, configuration, &format!("ulimit -n {}; ", run.plan.sockets))
}

/// Tells a process to end, more than once, and kills it as early as the operators may.
fn terminate(run: &Run, node: &mut Node, dice: &mut Dice) {
    let peak_memory = node.peak_memory();
    let terminated = Instant::now();
    node.terminate();
    let kill_at = terminated + run.plan.budget().min(LONGEST_COUNTED_DEADLINE) + KILL_GRACE;
    let mut again = (0..dice.below(3)).map(|_| terminated + dice.up_to(KILL_GRACE)).collect::<Vec<_>>();
    let mut status = None;
    while status.is_none() && Instant::now() < kill_at {
        let due = again.iter().position(|at| *at < Instant::now());
        if let Some(due) = due {
            again.remove(due);
            node.signal(if dice.percent(50) { "-TERM" } else { "-HUP" });
        }
        sleep(POLL_INTERVAL);
        status = node.try_exit();
    }
    let killed = status.is_none();
    if killed {
        node.signal("-KILL");
    }
    let status = status.unwrap_or_else(|| node.wait_for_exit());
    let crashed = !killed && status.code() != Some(0) || killed && status.signal().is_none();
    let record =
        ProcessRecord { terminated: Some(terminated), ended: Instant::now(), killed, crashed, peak_memory };
    run.processes.lock().expect("the processes").push(record);
}

/// Takes the last process down.
pub fn end(run: &Run, mut node: Node) {
    let crashed = node.try_exit().is_some();
    let peak_memory = if crashed { 0 } else { node.peak_memory() };
    let ended = Instant::now();
    let record = ProcessRecord { terminated: None, ended, killed: false, crashed, peak_memory };
    run.processes.lock().expect("the processes").push(record);
}
