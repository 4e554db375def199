//! Hot restart: a process that starts beside a serving one, its predecessor, receives that one's listening
//! socket, with the accept queue behind it. The successor finds its predecessor through a Unix socket in
//! `$TMPDIR`, which both share, and their connection stays open: while it does, the two processes share the
//! node's connection limits, and each tells the other its status.

use crate::executed_requests::{ChangeReader, SharedExecutedRequests};
use crate::lifecycle::{Lifecycle, ProcessState};
use hillpick::control::config::{MIN_BUFFER_BYTES, RESERVED_SOCKETS};
use hillpick::control::log::log;
use hillpick::control::process::Siblings;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{TcpListener, UnixListener, UnixStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

const SOCKET_NAME: &str = "sillward.sock";
/// A serving predecessor answers within moments; one that hangs is not waited for.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after an accept that failed, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// What a process of the node tells its sibling of itself: one byte, sent whenever it changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ProcessStatus {
    state: ProcessState,
    /// Whether it accepts connections from the shared queue.
    accepting: bool,
}

impl ProcessStatus {
    /// The status on the wire: a letter for the state, in upper case if the process accepts connections.
    fn to_byte(self) -> u8 {
        let letter = match self.state {
            ProcessState::Active => b'a',
            ProcessState::Standby => b's',
            ProcessState::Terminating => b't',
        };
        if self.accepting { letter.to_ascii_uppercase() } else { letter }
    }

    /// The status that a byte stands for; `None` if it is no status.
    fn from_byte(byte: u8) -> Option<Self> {
        let state = match byte.to_ascii_lowercase() {
            b'a' => ProcessState::Active,
            b's' => ProcessState::Standby,
            b't' => ProcessState::Terminating,
            _ => return None,
        };
        Some(ProcessStatus { state, accepting: byte.is_ascii_uppercase() })
    }
}

/// The status of the processes beside this one.
#[derive(Clone, Copy, Default, PartialEq)]
struct SiblingStatus {
    predecessor: Option<ProcessStatus>,
    successor: Option<ProcessStatus>,
}

/// What this process knows of the node's other processes during a hot restart, and whether it accepts
/// connections itself.
#[derive(Default)]
pub struct HotRestart {
    siblings: watch::Sender<SiblingStatus>,
    accepting: watch::Sender<bool>,
    /// The requests that may have run, in this process or a sibling.
    pub executed_requests: Rc<SharedExecutedRequests>,
}

/// Notifies of sibling processes that start, exit or change their status.
pub struct Changes(watch::Receiver<SiblingStatus>);

impl Changes {
    /// Waits for the next change.
    pub async fn next(&mut self) {
        if self.0.changed().await.is_err() {
            std::future::pending().await // the owner was dropped: the process ends
        }
    }
}

impl HotRestart {
    /// Watches the changes from now on.
    pub fn changes(&self) -> Changes {
        Changes(self.siblings.subscribe())
    }

    fn update_siblings(&self, change: impl FnOnce(&mut SiblingStatus)) {
        self.siblings.send_if_modified(|siblings| {
            let previous = *siblings;
            change(siblings);
            previous != *siblings
        });
    }

    /// Records that this process accepts connections from now on.
    pub fn start_accepting(&self) {
        self.accepting.send_replace(true);
    }

    fn own_status(&self, lifecycle: &Lifecycle) -> ProcessStatus {
        ProcessStatus { state: lifecycle.now().state, accepting: *self.accepting.borrow() }
    }

    /// Whether a process that started earlier is still running.
    pub fn has_predecessor(&self) -> bool {
        self.siblings.borrow().predecessor.is_some()
    }

    /// Whether a process that started later has the same listening socket.
    pub fn has_successor(&self) -> bool {
        self.siblings.borrow().successor.is_some()
    }

    /// Whether a sibling accepts connections from the same queue and is not shutting down: then nothing in
    /// the queue is lost when this process stops accepting.
    pub fn sibling_accepts(&self) -> bool {
        let SiblingStatus { predecessor, successor } = *self.siblings.borrow();
        let keeps_accepting =
            |status: ProcessStatus| status.accepting && status.state != ProcessState::Terminating;
        [predecessor, successor].into_iter().flatten().any(keeps_accepting)
    }

    /// This process's share of a connection limit: with a sibling half of it, less half of the sockets
    /// reserved for other uses, which both processes need.
    pub fn share_of_limit(&self, limit: usize) -> usize {
        let has_sibling = self.has_predecessor() || self.has_successor();
        if has_sibling { (limit.saturating_sub(RESERVED_SOCKETS / 2) / 2).max(1) } else { limit }
    }

    /// This process's share of the memory for buffers: half of it with a sibling.
    pub fn share_of_memory(&self, limit: usize) -> usize {
        let has_sibling = self.has_predecessor() || self.has_successor();
        if has_sibling { (limit / 2).max(MIN_BUFFER_BYTES) } else { limit }
    }
}

impl Siblings for HotRestart {
    fn has_predecessor(&self) -> bool {
        HotRestart::has_predecessor(self)
    }

    fn has_successor(&self) -> bool {
        HotRestart::has_successor(self)
    }
}

/// The path of the Unix socket through which the node's processes find each other; `None` without `$TMPDIR`.
pub fn socket_path() -> Option<PathBuf> {
    Some(PathBuf::from(std::env::var_os("TMPDIR")?).join(SOCKET_NAME))
}

/// The sockets that a successor receives: the clients' listening socket, and the Unix socket for the next
/// successor.
pub struct Sockets {
    /// The listening socket.
    pub listener: TcpListener,
    /// `None` from an earlier version of the program, which passes the first alone.
    pub handover_listener: Option<UnixListener>,
}

/// Takes the listening socket for this address over from the process that serves it. On `None` this process
/// has to bind a socket of its own; the reason is logged if another process was there.
pub async fn take_over(
    path: &Path,
    listen: SocketAddr,
    hot_restart: &Rc<HotRestart>,
    lifecycle: &Rc<Lifecycle>,
) -> Option<Sockets> {
    let stream = timeout(HANDOVER_TIMEOUT, UnixStream::connect(path)).await.ok()?.ok()?;
    let received = match timeout(HANDOVER_TIMEOUT, receive(&stream)).await {
        Ok(received) => received.and_then(|(sockets, status)| Ok((check_sockets(sockets, listen)?, status))),
        Err(_) => Err(io::Error::other("it did not answer in time")),
    };
    match received {
        Ok((sockets, status)) => {
            log("took the listening socket over from the process before this one");
            hot_restart.update_siblings(|siblings| siblings.predecessor = Some(status));
            follow_predecessor(status.state, lifecycle);
            let (hot_restart, lifecycle) = (hot_restart.clone(), lifecycle.clone());
            spawn_local(async move {
                let mut previous_state = status.state;
                let on_status = |status: ProcessStatus| {
                    hot_restart.update_siblings(|siblings| siblings.predecessor = Some(status));
                    if std::mem::replace(&mut previous_state, status.state) != status.state {
                        follow_predecessor(status.state, &lifecycle);
                    }
                };
                exchange_status(stream, &hot_restart, &lifecycle, None, on_status).await;
                hot_restart.update_siblings(|siblings| siblings.predecessor = None);
                log("the process before this one has gone");
            });
            Some(sockets)
        }
        Err(e) => {
            log(format_args!("nothing taken over from the process before this one: {e}"));
            None
        }
    }
}

/// Adopts the predecessor's state: what operators ordered there holds for the whole node. Its termination
/// does not.
fn follow_predecessor(state: ProcessState, lifecycle: &Lifecycle) {
    if state != ProcessState::Terminating && state != lifecycle.now().state && lifecycle.enter(state) {
        log(format_args!("{state:?}, as the process before this one"));
    }
}

fn check_sockets(sockets: Vec<OwnedFd>, listen: SocketAddr) -> io::Result<Sockets> {
    let mut sockets = sockets.into_iter();
    let listener = sockets.next().ok_or_else(|| io::Error::other("it passed no socket"))?;
    let listener = std::net::TcpListener::from(listener);
    let address = listener.local_addr()?;
    if address != listen {
        return Err(io::Error::other(format!("it listens on {address}")));
    }
    let handover_listener = sockets.next().map(std::os::unix::net::UnixListener::from);
    let handover_listener = handover_listener.map(UnixListener::from_std).transpose()?;
    Ok(Sockets { listener: TcpListener::from_std(listener)?, handover_listener })
}

/// Passes the listening socket and the Unix socket itself to any process that starts beside this one. This
/// process keeps both: if the successor fails, the next one still finds this one. Of two running processes
/// the predecessor answers the next start, as it knows of both, and only once its successor has exited.
pub async fn offer_sockets(
    path: PathBuf,
    listener: OwnedFd,
    handover_listener: Option<UnixListener>,
    hot_restart: Rc<HotRestart>,
    lifecycle: Rc<Lifecycle>,
) {
    let handover_listener = match handover_listener.map_or_else(|| bind_unix_socket(&path), Ok) {
        Ok(handover_listener) => handover_listener,
        Err(e) => return log(format_args!("no successor can take over: {}: {e}", path.display())),
    };
    let mut changes = hot_restart.changes();
    loop {
        while hot_restart.has_predecessor() {
            changes.next().await;
        }
        let stream = match handover_listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log(format_args!("cannot accept a process after this one: {e}"));
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let own = hot_restart.own_status(&lifecycle);
        match timeout(HANDOVER_TIMEOUT, send(&stream, [listener.as_fd(), handover_listener.as_fd()], own))
            .await
        {
            Ok(Ok(())) => {
                log("passed the listening socket on to the process after this one");
                let starting = ProcessStatus { state: ProcessState::Active, accepting: false };
                hot_restart.update_siblings(|siblings| siblings.successor = Some(starting));
                let on_status =
                    |status| hot_restart.update_siblings(|siblings| siblings.successor = Some(status));
                exchange_status(stream, &hot_restart, &lifecycle, Some(own), on_status).await;
                hot_restart.update_siblings(|siblings| siblings.successor = None);
                log("the process after this one has gone");
            }
            Ok(Err(e)) => log(format_args!("the listening socket could not be passed on: {e}")),
            Err(_) => log("the listening socket could not be passed on: timed out"),
        }
    }
}

/// Binds the Unix socket. The rename takes the path over in one step, whichever process it belonged to.
fn bind_unix_socket(path: &Path) -> io::Result<UnixListener> {
    let own_path = path.with_extension(std::process::id().to_string());
    let _ = std::fs::remove_file(&own_path); // left by an earlier process with the same id
    let handover_listener = UnixListener::bind(&own_path)?;
    std::fs::rename(&own_path, path)?;
    Ok(handover_listener)
}

/// Exchanges status with the sibling process: sends this process's whenever it changes, and passes on what is
/// received, until the sibling closes the connection or exits. Both tell each other which requests may have run.
async fn exchange_status(
    stream: UnixStream,
    hot_restart: &HotRestart,
    lifecycle: &Lifecycle,
    last_sent: Option<ProcessStatus>,
    on_status: impl FnMut(ProcessStatus),
) {
    hot_restart.executed_requests.begin_telling();
    exchange_until_closed(stream, hot_restart, lifecycle, last_sent, on_status).await;
    hot_restart.executed_requests.end_telling();
}

async fn exchange_until_closed(
    mut stream: UnixStream,
    hot_restart: &HotRestart,
    lifecycle: &Lifecycle,
    mut last_sent: Option<ProcessStatus>,
    mut on_status: impl FnMut(ProcessStatus),
) {
    let (mut phase, mut accepting) = (lifecycle.watch(), hot_restart.accepting.subscribe());
    let mut received = [0; 1024];
    let (requests, mut changes) = (&hot_restart.executed_requests, ChangeReader::default());
    loop {
        let own = hot_restart.own_status(lifecycle);
        if last_sent.replace(own) != Some(own) && stream.write_all(&[own.to_byte()]).await.is_err() {
            return;
        }
        tokio::select! {
            read = stream.read(&mut received) => match read {
                Ok(0) | Err(_) => return,
                Ok(read) => {
                    for byte in &received[..read] {
                        changes.push(*byte).into_iter().for_each(|change| requests.apply(change));
                        ProcessStatus::from_byte(*byte).into_iter().for_each(&mut on_status);
                    }
                }
            },
            told = requests.next_changes() => {
                if stream.write_all(&told).await.is_err() {
                    return;
                }
            }
            Ok(()) = phase.changed() => {}
            Ok(()) = accepting.changed() => {}
        }
    }
}

/// Sends the sockets together with two bytes: an `L`, which earlier versions of the program send alone, and
/// this process's status.
async fn send(stream: &UnixStream, sockets: [BorrowedFd<'_>; 2], own: ProcessStatus) -> io::Result<()> {
    let sent = stream.async_io(Interest::WRITABLE, || {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        if !control.push(SendAncillaryMessage::ScmRights(&sockets)) {
            return Err(io::Error::other("no room for the sockets"));
        }
        Ok(sendmsg(stream, &[IoSlice::new(&[b'L', own.to_byte()])], &mut control, SendFlags::NOSIGNAL)?)
    });
    sent.await.map(drop)
}

/// Receives the sockets and the sender's status. An earlier version of the program sends no status: it counts
/// as serving.
async fn receive(stream: &UnixStream) -> io::Result<(Vec<OwnedFd>, ProcessStatus)> {
    let received = stream.async_io(Interest::READABLE, || {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
        let (mut control, mut bytes) = (RecvAncillaryBuffer::new(&mut space), [0; 2]);
        let read =
            recvmsg(stream, &mut [IoSliceMut::new(&mut bytes)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
        let sockets = control.drain().filter_map(|message| match message {
            RecvAncillaryMessage::ScmRights(sockets) => Some(sockets),
            _ => None,
        });
        let status = bytes[..read.bytes].get(1).copied().and_then(ProcessStatus::from_byte);
        Ok((
            sockets.flatten().collect(),
            status.unwrap_or(ProcessStatus { state: ProcessState::Active, accepting: true }),
        ))
    });
    received.await
}

#[cfg(test)]
mod tests;
