//! A part of a scale run, as the run has it: a process of its own that is told what to do and says how it stands. It is
//! ended by its own id, and ends by itself with the run.

use super::messages::{Begin, Order, Told};
use std::io;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};
use tokio::time::timeout;

/// A part that does not answer within this has failed.
const PATIENCE: Duration = Duration::from_secs(60);

/// A part that runs.
pub struct Part {
    child: Child,
    /// Its process.
    pub pid: u32,
    orders: ChildStdin,
    told: Lines<BufReader<ChildStdout>>,
}

impl Part {
    /// Starts one. What it has to log goes where the run's log goes.
    ///
    /// # Errors
    /// If it can't be started.
    pub async fn start(program: &Path, begin: &Begin) -> io::Result<Self> {
        let named = |e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", program.display()));
        let mut child = Command::new(program)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .kill_on_drop(true)
            .spawn()
            .map_err(named)?;
        let (Some(pid), Some(orders), Some(told)) = (child.id(), child.stdin.take(), child.stdout.take())
        else {
            return Err(io::Error::other("a process without an id or pipes"));
        };
        let mut part = Part { child, pid, orders, told: BufReader::new(told).lines() };
        part.write(begin).await?;
        Ok(part)
    }

    async fn write(&mut self, line: &impl serde::Serialize) -> io::Result<()> {
        let mut text = serde_json::to_string(line)?;
        text.push('\n');
        self.orders.write_all(text.as_bytes()).await
    }

    /// Tells it to do something.
    ///
    /// # Errors
    /// If it has ended.
    pub async fn order(&mut self, order: &Order) -> io::Result<()> {
        self.write(order).await
    }

    /// What it says next.
    ///
    /// # Errors
    /// If it has failed or ended, or says nothing.
    pub async fn hear(&mut self) -> io::Result<Told> {
        let line = timeout(PATIENCE, self.told.next_line()).await;
        let line = line.map_err(|_| io::Error::other("a part of the run says nothing"))??;
        let line = line.ok_or_else(|| io::Error::other("a part of the run has ended"))?;
        match serde_json::from_str(&line)? {
            Told::Failed(what) => Err(io::Error::other(what)),
            told => Ok(told),
        }
    }

    /// Where it listens, which it says first.
    ///
    /// # Errors
    /// If it fails before.
    pub async fn listens(&mut self) -> io::Result<Vec<std::net::SocketAddr>> {
        match self.hear().await? {
            Told::Listens(addresses) => Ok(addresses),
            other => Err(io::Error::other(format!("expected where it listens, not {other:?}"))),
        }
    }

    /// Ends it, and waits until it has gone.
    pub async fn end(mut self) {
        let _ = self.child.start_kill(); // it may have ended
        let _ = timeout(PATIENCE, self.child.wait()).await;
    }
}
