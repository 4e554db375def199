//! A node's process: started, told to stop, stopped and let go on, killed, by its id and no other's; and what it uses.
//! It never outlives the rig.

use rustix::process::{Pid, Signal, kill_process};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStderr, Command};
use tokio::sync::watch;
use tokio::time::timeout;

/// How long a process may take to say where it listens, and to end once it is killed.
const PATIENCE: Duration = Duration::from_secs(30);
/// Lines of its log that are kept for a message.
const KEPT: usize = 20;

/// How to start a node: the program, and the guard that ties its life to the rig's, if there is one.
#[derive(Clone, Debug)]
pub struct Program {
    /// The node.
    pub node: std::path::PathBuf,
    /// `hillpick-lab` itself, which then starts the node as `hillpick-lab guard NODE`.
    pub guard: Option<std::path::PathBuf>,
}

/// A process that runs, or has run.
pub struct Process {
    child: Child,
    pid: Pid,
    /// Where it listens for clients.
    pub address: SocketAddr,
    /// Where it hears other nodes, if it does.
    pub peers: Option<SocketAddr>,
    /// Where its staff call, if they may.
    pub operators: Option<SocketAddr>,
    ended: watch::Receiver<bool>,
    ticks_per_s: f64,
}

impl Process {
    /// Starts a node with this configuration file, and waits until it listens.
    pub async fn start(program: &Program, config: &Path, temporary: &Path) -> io::Result<Self> {
        Process::start_with(program, &[], config, temporary).await
    }

    /// The same, with arguments.
    pub async fn start_with(
        program: &Program,
        arguments: &[&str],
        config: &Path,
        temporary: &Path,
    ) -> io::Result<Self> {
        let mut command = match &program.guard {
            Some(guard) => {
                let mut command = Command::new(guard);
                command.arg("guard").arg(&program.node);
                command
            }
            None => Command::new(&program.node),
        };
        command.args(arguments).env("PROXY_CONFIG", config).env("TMPDIR", temporary);
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .map_err(|e| io::Error::new(e.kind(), format!("{}: {e}", program.node.display())))?;
        let pid = child.id().and_then(|id| Pid::from_raw(id as i32));
        let pid = pid.ok_or_else(|| io::Error::other("a process without an id"))?;
        let stderr = child.stderr.take().ok_or_else(|| io::Error::other("a process without a log"))?;
        let mut lines = BufReader::new(stderr).lines();
        let listens = timeout(PATIENCE, listens(&mut lines)).await;
        let silent = |_| io::Error::other("a node that does not say where it listens");
        let (address, peers, operators) = listens.map_err(silent)??;
        let (tell, ended) = watch::channel(false);
        tokio::spawn(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                tracing::debug!("{line}");
            }
            tell.send_replace(true);
        });
        let ticks_per_s = rustix::param::clock_ticks_per_second() as f64;
        Ok(Process { child, pid, address, peers, operators, ended, ticks_per_s })
    }

    fn signal(&self, signal: Signal) {
        let _ = kill_process(self.pid, signal); // it may have ended; its id is not given again before it is waited for
    }

    /// SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// SIGSTOP.
    pub fn stop(&self) {
        self.signal(Signal::STOP);
    }

    /// SIGCONT.
    pub fn go_on(&self) {
        self.signal(Signal::CONT);
    }

    /// Its id.
    pub fn id(&self) -> u32 {
        self.pid.as_raw_nonzero().get() as u32
    }

    /// Waits until it has ended by itself; false if it does not within that time.
    pub async fn ends(&mut self, within: Duration) -> bool {
        timeout(within, self.child.wait()).await.is_ok()
    }

    /// SIGKILL, and waits until it is gone.
    pub async fn kill(&mut self) {
        let _ = self.child.start_kill(); // it may have ended
        let _ = timeout(PATIENCE, self.child.wait()).await;
    }

    /// Whether it has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_))) || *self.ended.borrow()
    }

    /// Processor time so far in s, and the most memory at a time in MB, as the system tells.
    pub fn usage(&self) -> Option<(f64, f64)> {
        let pid = self.pid.as_raw_nonzero();
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The name before the last parenthesis may hold anything; the fields after it begin with the third.
        let fields: Vec<_> = stat.rsplit_once(") ")?.1.split(' ').collect();
        let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        let kib: f64 = peak.trim().trim_end_matches(" kB").parse().ok()?;
        Some((ticks / self.ticks_per_s, kib / 1024.0))
    }
}

/// Where a node says that it listens, that it hears its peers, and that it takes its staff's calls: in the order in
/// which it says so.
async fn listens(
    lines: &mut Lines<BufReader<ChildStderr>>,
) -> io::Result<(SocketAddr, Option<SocketAddr>, Option<SocketAddr>)> {
    let (mut said, mut peers, mut operators) = (Vec::new(), None, None);
    while let Some(line) = lines.next_line().await? {
        let after = |words| line.rsplit_once(words).and_then(|(_, address)| address.parse().ok());
        peers = peers.or(after(" hears its peers on "));
        operators = operators.or(after(" takes the operators' calls on "));
        if let Some(address) = after(" listens on ") {
            return Ok((address, peers, operators));
        }
        said.push(line);
        if said.len() >= KEPT {
            break;
        }
    }
    Err(io::Error::other(format!("the node did not start: {}", said.join("; "))))
}
