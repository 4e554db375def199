//! Upgrades: a process that starts beside one that serves takes over its listening socket, queue and all.
//! They meet at a Unix socket in `$TMPDIR`, which both have in common, and their connection stays open: as
//! long as it does, two processes share the node's limits.

use crate::lifecycle::{Lifecycle, ProcessState};
use hillpick::control::config::RESERVED_SOCKETS;
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

const NAME: &str = "sillward.sock";
/// A predecessor that serves answers in a moment. One that has come to a standstill is not waited for.
const PATIENCE: Duration = Duration::from_millis(500);
/// After an accept that failed for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// What a process of this node tells the other one of itself, a byte whenever it changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Told {
    state: ProcessState,
    /// It takes connections from the queue that both have.
    accepts: bool,
}

impl Told {
    fn byte(self) -> u8 {
        let letter = match self.state {
            ProcessState::Active => b'a',
            ProcessState::Standby => b's',
            ProcessState::Terminating => b't',
        };
        if self.accepts { letter.to_ascii_uppercase() } else { letter }
    }

    fn of(byte: u8) -> Option<Self> {
        let state = match byte.to_ascii_lowercase() {
            b'a' => ProcessState::Active,
            b's' => ProcessState::Standby,
            b't' => ProcessState::Terminating,
            _ => return None,
        };
        Some(Told { state, accepts: byte.is_ascii_uppercase() })
    }
}

/// The processes beside this one.
#[derive(Clone, Copy, Default, PartialEq)]
struct Others {
    predecessor: Option<Told>,
    successor: Option<Told>,
}

/// Whether another process of this node runs as well, which, and how it stands.
#[derive(Default)]
pub struct HotRestart {
    others: watch::Sender<Others>,
    accepts: watch::Sender<bool>,
}

/// Shows when another process has come or gone, or stands differently.
pub struct Changes(watch::Receiver<Others>);

impl Changes {
    /// Waits for the next change.
    pub async fn next(&mut self) {
        if self.0.changed().await.is_err() {
            std::future::pending().await // its owner has gone, and the process with it
        }
    }
}

impl HotRestart {
    /// All changes from now on.
    pub fn changes(&self) -> Changes {
        Changes(self.others.subscribe())
    }

    fn set(&self, change: impl FnOnce(&mut Others)) {
        self.others.send_if_modified(|others| {
            let before = *others;
            change(others);
            before != *others
        });
    }

    /// From now on this process takes connections from the queue.
    pub fn accept(&self) {
        self.accepts.send_replace(true);
    }

    fn own(&self, lifecycle: &Lifecycle) -> Told {
        Told { state: lifecycle.now().state, accepts: *self.accepts.borrow() }
    }

    /// A process that started earlier is still there.
    pub fn has_predecessor(&self) -> bool {
        self.others.borrow().predecessor.is_some()
    }

    /// A later one has the same queue.
    pub fn has_successor(&self) -> bool {
        self.others.borrow().successor.is_some()
    }

    /// Another process takes connections from the same queue, and goes on doing so: nothing in it is lost when this one
    /// lets go of it.
    pub fn other_serves(&self) -> bool {
        let Others { predecessor, successor } = *self.others.borrow();
        let serves = |told: Told| told.accepts && told.state != ProcessState::Terminating;
        [predecessor, successor].into_iter().flatten().any(serves)
    }

    /// What this process may use of so many connections. Two processes both need what is spared for other things.
    pub fn share_of_limit(&self, all: usize) -> usize {
        let two = self.has_predecessor() || self.has_successor();
        if two { (all.saturating_sub(RESERVED_SOCKETS / 2) / 2).max(1) } else { all }
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

/// Where the processes of this node meet, if it has a place for that.
pub fn meeting_place() -> Option<PathBuf> {
    Some(PathBuf::from(std::env::var_os("TMPDIR")?).join(NAME))
}

/// What a process takes over: the clients' queue, and the one in which the next process waits.
pub struct Sockets {
    pub listener: TcpListener,
    /// None from a process whose program passes the first alone.
    pub meeting: Option<UnixListener>,
}

/// Takes the listening socket for this address over from whoever serves it. `None`, with the reason in the log if
/// there was somebody, leaves this process to bind one of its own.
pub async fn take_over(
    place: &Path,
    listen: SocketAddr,
    pair: &Rc<HotRestart>,
    lifecycle: &Rc<Lifecycle>,
) -> Option<Sockets> {
    let stream = timeout(PATIENCE, UnixStream::connect(place)).await.ok()?.ok()?;
    let taken = match timeout(PATIENCE, receive(&stream)).await {
        Ok(received) => received.and_then(|(sockets, told)| Ok((usable(sockets, listen)?, told))),
        Err(_) => Err(io::Error::other("it is silent")),
    };
    match taken {
        Ok((sockets, told)) => {
            log("took the listening socket over from the process before this one");
            pair.set(|others| others.predecessor = Some(told));
            follow(told.state, lifecycle);
            let (pair, lifecycle) = (pair.clone(), lifecycle.clone());
            spawn_local(async move {
                let mut before = told.state;
                let hear = |told: Told| {
                    pair.set(|others| others.predecessor = Some(told));
                    if std::mem::replace(&mut before, told.state) != told.state {
                        follow(told.state, &lifecycle);
                    }
                };
                keep_company(stream, &pair, &lifecycle, None, hear).await;
                pair.set(|others| others.predecessor = None);
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

/// The node is one: what its staff told the process before holds here too. Its end does not.
fn follow(state: ProcessState, lifecycle: &Lifecycle) {
    if state != ProcessState::Terminating && state != lifecycle.now().state && lifecycle.enter(state) {
        log(format_args!("{state:?}, as the process before this one"));
    }
}

fn usable(sockets: Vec<OwnedFd>, listen: SocketAddr) -> io::Result<Sockets> {
    let mut sockets = sockets.into_iter();
    let listener = sockets.next().ok_or_else(|| io::Error::other("it passed no socket"))?;
    let listener = std::net::TcpListener::from(listener);
    let address = listener.local_addr()?;
    if address != listen {
        return Err(io::Error::other(format!("it listens on {address}")));
    }
    let meeting = sockets.next().map(std::os::unix::net::UnixListener::from);
    let meeting = meeting.map(UnixListener::from_std).transpose()?;
    Ok(Sockets { listener: TcpListener::from_std(listener)?, meeting })
}

/// Passes the listening socket on to any process that starts beside this one, and the place to meet at with it: if that
/// process fails, this one is still there to be found. Of two, the first one answers, which knows of both.
pub async fn offer(
    place: PathBuf,
    listener: OwnedFd,
    meeting: Option<UnixListener>,
    pair: Rc<HotRestart>,
    lifecycle: Rc<Lifecycle>,
) {
    let meeting = match meeting.map_or_else(|| meet(&place), Ok) {
        Ok(meeting) => meeting,
        Err(e) => return log(format_args!("no upgrade can take over from here: {}: {e}", place.display())),
    };
    let mut changes = pair.changes();
    loop {
        while pair.has_predecessor() {
            changes.next().await;
        }
        let stream = match meeting.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log(format_args!("cannot accept a process after this one: {e}"));
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let own = pair.own(&lifecycle);
        match timeout(PATIENCE, send(&stream, [listener.as_fd(), meeting.as_fd()], own)).await {
            Ok(Ok(())) => {
                log("passed the listening socket on to the process after this one");
                let starts = Told { state: ProcessState::Active, accepts: false };
                pair.set(|others| others.successor = Some(starts));
                let hear = |told| pair.set(|others| others.successor = Some(told));
                keep_company(stream, &pair, &lifecycle, Some(own), hear).await;
                pair.set(|others| others.successor = None);
                log("the process after this one has gone");
            }
            Ok(Err(e)) => log(format_args!("the listening socket could not be passed on: {e}")),
            Err(_) => log("the listening socket could not be passed on: nobody took it"),
        }
    }
}

/// The name goes from the process before to this one in one step, whoever it belonged to.
fn meet(place: &Path) -> io::Result<UnixListener> {
    let own = place.with_extension(std::process::id().to_string());
    let _ = std::fs::remove_file(&own); // of a process that had this number before
    let meeting = UnixListener::bind(&own)?;
    std::fs::rename(&own, place)?;
    Ok(meeting)
}

/// Tells the other process how this one stands, whenever that changes, and hears how that one does, until it has closed
/// the connection or is gone.
async fn keep_company(
    mut stream: UnixStream,
    pair: &HotRestart,
    lifecycle: &Lifecycle,
    mut said: Option<Told>,
    mut hear: impl FnMut(Told),
) {
    let (mut phase, mut accepts) = (lifecycle.watch(), pair.accepts.subscribe());
    let mut heard = [0; 16];
    loop {
        let own = pair.own(lifecycle);
        if said.replace(own) != Some(own) && stream.write_all(&[own.byte()]).await.is_err() {
            return;
        }
        tokio::select! {
            read = stream.read(&mut heard) => match read {
                Ok(0) | Err(_) => return,
                Ok(read) => heard[..read].iter().filter_map(|byte| Told::of(*byte)).for_each(&mut hear),
            },
            Ok(()) = phase.changed() => {}
            Ok(()) = accepts.changed() => {}
        }
    }
}

async fn send(stream: &UnixStream, sockets: [BorrowedFd<'_>; 2], own: Told) -> io::Result<()> {
    let sent = stream.async_io(Interest::WRITABLE, || {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        if !control.push(SendAncillaryMessage::ScmRights(&sockets)) {
            return Err(io::Error::other("no room for the sockets"));
        }
        Ok(sendmsg(stream, &[IoSlice::new(&[b'L', own.byte()])], &mut control, SendFlags::NOSIGNAL)?)
    });
    sent.await.map(drop)
}

/// The sockets, and how the one who passes them stands: a program that does not say so serves.
async fn receive(stream: &UnixStream) -> io::Result<(Vec<OwnedFd>, Told)> {
    let received = stream.async_io(Interest::READABLE, || {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
        let (mut control, mut bytes) = (RecvAncillaryBuffer::new(&mut space), [0; 2]);
        let read =
            recvmsg(stream, &mut [IoSliceMut::new(&mut bytes)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
        let sockets = control.drain().filter_map(|message| match message {
            RecvAncillaryMessage::ScmRights(sockets) => Some(sockets),
            _ => None,
        });
        let told = bytes[..read.bytes].get(1).copied().and_then(Told::of);
        Ok((sockets.flatten().collect(), told.unwrap_or(Told { state: ProcessState::Active, accepts: true })))
    });
    received.await
}

#[cfg(test)]
mod tests;
