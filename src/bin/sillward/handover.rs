//! Upgrades: a process that starts beside one that serves takes over its listening socket, queue and all.
//! They meet at a Unix socket in `$TMPDIR`, which both have in common, and their connection stays open: as
//! long as it does, two processes share the node's limits.

use crate::config::SPARE_SOCKETS;
use crate::log::log;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use std::cell::Cell;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, Interest};
use tokio::net::{TcpListener, UnixListener, UnixStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

const NAME: &str = "sillward.sock";
/// A predecessor that serves answers in a moment. One that has come to a standstill is not waited for.
const PATIENCE: Duration = Duration::from_millis(500);
/// After an accept that failed for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Whether another process of this node runs as well, and which.
#[derive(Default)]
pub struct Pair {
    predecessor: Cell<bool>,
    successor: Cell<bool>,
    changed: Notify,
}

impl Pair {
    /// Waits until another process has come or gone.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    fn set(&self, which: &Cell<bool>, there: bool) {
        which.set(there);
        self.changed.notify_one();
    }

    /// A process that started earlier is still there.
    pub fn has_predecessor(&self) -> bool {
        self.predecessor.get()
    }

    /// A later one accepts from the same queue.
    pub fn has_successor(&self) -> bool {
        self.successor.get()
    }

    /// What this process may use of so many connections. Two processes both need what is spared for other things.
    pub fn share(&self, all: usize) -> usize {
        let two = self.has_predecessor() || self.has_successor();
        if two { (all.saturating_sub(SPARE_SOCKETS / 2) / 2).max(1) } else { all }
    }
}

/// Where the processes of this node meet, if it has a place for that.
pub fn meeting_place() -> Option<PathBuf> {
    Some(PathBuf::from(std::env::var_os("TMPDIR")?).join(NAME))
}

/// Takes the listening socket for this address over from whoever serves it. `None`, with the reason in the log if
/// there was somebody, leaves this process to bind one of its own.
pub async fn take_over(place: &Path, listen: SocketAddr, pair: &Rc<Pair>) -> Option<TcpListener> {
    let mut stream = timeout(PATIENCE, UnixStream::connect(place)).await.ok()?.ok()?;
    let listener = match timeout(PATIENCE, receive(&stream)).await {
        Ok(received) => received.and_then(|socket| {
            let listener = std::net::TcpListener::from(socket);
            match listener.local_addr()? {
                address if address == listen => TcpListener::from_std(listener),
                other => Err(io::Error::other(format!("it listens on {other}"))),
            }
        }),
        Err(_) => Err(io::Error::other("it is silent")),
    };
    match listener {
        Ok(listener) => {
            log("took the listening socket over from the process before this one");
            pair.set(&pair.predecessor, true);
            let pair = pair.clone();
            spawn_local(async move {
                ended(&mut stream).await;
                pair.set(&pair.predecessor, false);
                log("the process before this one has gone");
            });
            Some(listener)
        }
        Err(e) => {
            log(format_args!("nothing taken over from the process before this one: {e}"));
            None
        }
    }
}

/// Passes the listening socket on to any process that starts beside this one.
pub async fn offer(place: PathBuf, listener: OwnedFd, pair: Rc<Pair>) {
    let meeting = match meet(&place) {
        Ok(meeting) => meeting,
        Err(e) => return log(format_args!("no upgrade can take over from here: {}: {e}", place.display())),
    };
    loop {
        let mut stream = match meeting.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log(format_args!("cannot accept a process after this one: {e}"));
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        match timeout(PATIENCE, send(&stream, &listener)).await {
            Ok(Ok(())) => {
                log("passed the listening socket on to the process after this one");
                pair.set(&pair.successor, true);
                ended(&mut stream).await;
                pair.set(&pair.successor, false);
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

/// Waits until the other process has closed the connection or is gone; it never says anything on it.
async fn ended(stream: &mut UnixStream) {
    let mut nothing = [0; 16];
    while stream.read(&mut nothing).await.is_ok_and(|read| read > 0) {}
}

async fn send(stream: &UnixStream, socket: &OwnedFd) -> io::Result<()> {
    let sockets = [socket.as_fd()];
    let sent = stream.async_io(Interest::WRITABLE, || {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        if !control.push(SendAncillaryMessage::ScmRights(&sockets)) {
            return Err(io::Error::other("no room for a socket"));
        }
        Ok(sendmsg(stream, &[IoSlice::new(b"L")], &mut control, SendFlags::NOSIGNAL)?)
    });
    sent.await.map(drop)
}

async fn receive(stream: &UnixStream) -> io::Result<OwnedFd> {
    let received = stream.async_io(Interest::READABLE, || {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let (mut control, mut byte) = (RecvAncillaryBuffer::new(&mut space), [0]);
        let read = recvmsg(stream, &mut [IoSliceMut::new(&mut byte)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
        let sockets = control.drain().filter_map(|message| match message {
            RecvAncillaryMessage::ScmRights(sockets) => Some(sockets),
            _ => None,
        });
        let socket = sockets.flatten().next();
        socket.filter(|_| read.bytes == 1).ok_or_else(|| io::Error::other("it passed no socket"))
    });
    received.await
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::task::LocalSet;

    /// A place of this test's own to meet at, short enough for a Unix socket's name.
    struct Place(PathBuf);

    impl Place {
        fn new(name: &str) -> Self {
            let directory = std::env::temp_dir().join(format!("sw-{}-{name}", std::process::id()));
            std::fs::create_dir_all(&directory).expect("a directory");
            Place(directory)
        }
    }

    impl Drop for Place {
        fn drop(&mut self) {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }

    fn at(name: &str, test: impl AsyncFnOnce(PathBuf)) {
        let place = Place::new(name);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, test(place.0.join(NAME)));
    }

    async fn until(holds: impl Fn() -> bool) {
        let looks = async {
            while !holds() {
                sleep(Duration::from_millis(2)).await;
            }
        };
        timeout(Duration::from_secs(30), looks).await.expect("it holds in the end");
    }

    #[test]
    fn a_socket_is_passed_on_with_its_queue_and_both_share_until_one_goes() {
        at("pass", async |place| {
            let first = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = first.local_addr().expect("its address");
            let socket = first.as_fd().try_clone_to_owned().expect("a handle");
            let (old, new) = (Rc::<Pair>::default(), Rc::<Pair>::default());
            let offers = spawn_local(offer(place.clone(), socket, old.clone()));
            until(|| place.exists()).await;
            // It waits in the queue, and the first listener is closed before anybody accepts it.
            let _waits = tokio::net::TcpStream::connect(address).await.expect("room in the queue");
            let elsewhere = "127.0.0.1:1".parse().expect("an address");
            assert!(take_over(&place, elsewhere, &new).await.is_none(), "not the address asked for");
            let second = take_over(&place, address, &new).await.expect("the socket");
            drop(first);
            timeout(PATIENCE, second.accept()).await.expect("what waited").expect("a connection");
            until(|| old.has_successor()).await;
            assert!(new.has_predecessor() && !new.has_successor() && !old.has_predecessor());
            assert_eq!((old.share(100), new.share(100), new.share(9)), (38, 38, 1));
            offers.abort();
            until(|| !new.has_predecessor()).await;
            assert_eq!(new.share(9), 9);
        });
    }

    #[test]
    fn a_leftover_and_a_process_at_a_standstill_hold_up_nobody() {
        at("left", async |place| {
            let pair = Rc::<Pair>::default();
            let address = "127.0.0.1:1".parse().expect("an address");
            assert!(take_over(&place, address, &pair).await.is_none(), "nobody was ever there");
            drop(UnixListener::bind(&place).expect("a name"));
            assert!(take_over(&place, address, &pair).await.is_none(), "a leftover");
            std::fs::remove_file(&place).expect("a leftover");
            let _silent = UnixListener::bind(&place).expect("a name");
            assert!(take_over(&place, address, &pair).await.is_none(), "it accepts nobody");
            assert!(!pair.has_predecessor());
            meet(&place).expect("the name, all the same");
        });
    }
}
