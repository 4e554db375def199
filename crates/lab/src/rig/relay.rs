//! Relays: every path of the rig leads through one, which can take longer, hold, drop or reset what passes. TCP for
//! clients, servers and discovery; UDP between nodes.

use bytes::Bytes;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;

/// Connections of one relay at a time; further ones wait to be accepted.
const CONNECTIONS: usize = 512;
/// Datagrams that one relay may hold back at a time; beyond that they are lost, as on a real link.
const DELAYED: usize = 1024;

/// One direction of a path.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Way {
    /// Faults that hold it.
    pub held: u32,
    /// Faults that drop what is sent.
    pub dropped: u32,
    /// It takes longer by this.
    pub delay: Duration,
    /// A part of the datagrams is lost.
    pub loss: f64,
}

/// Both directions of a path, and how often its connections were reset.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ways {
    /// From who opens the connection, or sends the datagram.
    pub out: Way,
    /// Back.
    pub back: Way,
    /// Connections of an earlier count are over.
    pub resets: u64,
}

/// A path and its state. Whoever has it may change that at any time.
#[derive(Clone)]
pub struct Path(Arc<watch::Sender<Ways>>);

impl Default for Path {
    fn default() -> Self {
        Path(Arc::new(watch::Sender::new(Ways::default())))
    }
}

impl Path {
    /// Changes its state.
    pub fn change(&self, change: impl FnOnce(&mut Ways)) {
        self.0.send_modify(change);
    }

    /// Its state now.
    pub fn now(&self) -> Ways {
        *self.0.borrow()
    }

    /// Whether anything is wrong with it.
    pub fn is_faulty(&self) -> bool {
        let Ways { out, back, .. } = self.now();
        (out, back) != (Way::default(), Way::default())
    }

    /// Waits until it is as wanted.
    pub async fn until(&self, wanted: impl FnMut(&Ways) -> bool) -> Ways {
        let mut watched = self.0.subscribe();
        watched.wait_for(wanted).await.map(|ways| *ways).unwrap_or_default()
    }
}

/// Where a relay leads, which may change; nowhere while nobody listens there.
pub type Target = Arc<Mutex<Option<SocketAddr>>>;

/// A relay for TCP connections. It ends with this value.
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its path.
    pub path: Path,
    /// Connections that it has taken.
    pub taken: Arc<AtomicU64>,
    _tasks: JoinSet<()>,
}

impl Relay {
    /// A relay on loopback that leads to `target`.
    pub async fn start(target: Target, path: Path) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let mut tasks = JoinSet::new();
        let taken = Arc::new(AtomicU64::new(0));
        tasks.spawn(accept(listener, target, path.clone(), taken.clone()));
        Ok(Relay { address, path, taken, _tasks: tasks })
    }
}

async fn accept(listener: TcpListener, target: Target, path: Path, taken: Arc<AtomicU64>) {
    let places = Arc::new(Semaphore::new(CONNECTIONS));
    let mut connections = JoinSet::new();
    loop {
        let Ok(place) = places.clone().acquire_owned().await else { return };
        let Ok((from, _)) = listener.accept().await else { continue };
        taken.fetch_add(1, Ordering::Relaxed);
        while connections.try_join_next().is_some() {}
        let (target, path) = (target.clone(), path.clone());
        connections.spawn(async move {
            let _place = place;
            let there = *target.lock().expect("a target");
            let to = match there {
                Some(there) => TcpStream::connect(there).await,
                None => Err(io::ErrorKind::ConnectionRefused.into()),
            };
            match to {
                Ok(to) => join(from, to, path).await,
                Err(_) => reset(&from),
            }
        });
    }
}

/// The connection ends with a reset when it is dropped.
fn reset(stream: &TcpStream) {
    let _ = stream.set_zero_linger(); // or it has ended already
}

async fn join(from: TcpStream, to: TcpStream, path: Path) {
    let begun = path.now().resets;
    let _ = (from.set_nodelay(true), to.set_nodelay(true));
    let ((from_read, from_write), (to_read, to_write)) = (from.into_split(), to.into_split());
    let pumps = async {
        let out = pump(from_read, to_write, &path, |ways| ways.out);
        let back = pump(to_read, from_write, &path, |ways| ways.back);
        // The halves live until both directions have ended, or one is broken: only then the connections close.
        tokio::try_join!(out, back)
    };
    tokio::select! {
        ended = pumps => drop(ended),
        _ = path.until(|ways| ways.resets != begun) => {}
    }
}

/// Passes on what comes, as the path allows at that time, until one side ends. What a path drops ends all that would
/// follow: the direction says nothing more, and the connection is reset when the path is sound again.
async fn pump(
    mut read: OwnedReadHalf,
    mut write: OwnedWriteHalf,
    path: &Path,
    way: fn(&Ways) -> Way,
) -> Result<(OwnedReadHalf, OwnedWriteHalf), Broken> {
    let mut piece = vec![0; 16 * 1024];
    loop {
        let length = read.read(&mut piece).await.unwrap_or(0);
        let now = way(&path.now());
        if now.dropped > 0 {
            path.until(|ways| way(ways).dropped == 0).await;
            reset(read.as_ref());
            reset(write.as_ref());
            return Err(Broken);
        }
        if now.held > 0 {
            path.until(|ways| way(ways).held == 0).await;
        }
        if !now.delay.is_zero() {
            tokio::time::sleep(now.delay).await;
        }
        if length == 0 || write.write_all(&piece[..length]).await.is_err() {
            let _ = write.shutdown().await; // the other side may have gone first
            return Ok((read, write));
        }
    }
}

/// A connection has lost something, and is to be reset.
struct Broken;

/// Relays for the datagrams of a tier: each node sends to an address of its own for each other node, and each hears
/// them from the address under which it knows the sender.
pub struct Datagrams {
    /// By sender and receiver: where the first sends to reach the second.
    pub addresses: Vec<Vec<SocketAddr>>,
    /// By sender: where it sends to reach all.
    pub to_all: Vec<SocketAddr>,
    /// By sender and receiver.
    pub paths: Vec<Vec<Path>>,
    /// By receiver: where it listens, once it does.
    pub targets: Vec<Target>,
    /// Datagrams longer than this were sent by a node: its number and their length.
    pub too_long: Arc<Mutex<Vec<(usize, usize)>>>,
    /// Bytes that nodes sent, once for each receiver.
    pub bytes: Arc<AtomicU64>,
    _tasks: JoinSet<()>,
}

/// The longest datagram that the protocol allows.
const LONGEST: usize = 256;

impl Datagrams {
    /// Relays among so many nodes.
    pub async fn start(nodes: usize, seed: u64) -> io::Result<Self> {
        let chance = Arc::new(Mutex::new(crate::emu::chance(seed, 76, 0)));
        let mut sockets = Vec::new();
        let mut to_all = Vec::new();
        for _ in 0..nodes {
            let mut row = Vec::new();
            for _ in 0..nodes {
                row.push(Arc::new(UdpSocket::bind("127.0.0.1:0").await?));
            }
            sockets.push(row);
            to_all.push(UdpSocket::bind("127.0.0.1:0").await?);
        }
        let paths: Vec<Vec<Path>> =
            (0..nodes).map(|_| (0..nodes).map(|_| Path::default()).collect()).collect();
        let targets: Vec<Target> = (0..nodes).map(|_| Target::default()).collect();
        let too_long = Arc::new(Mutex::new(Vec::new()));
        let bytes = Arc::new(AtomicU64::new(0));
        let (mut addresses, mut alls, mut tasks) = (Vec::new(), Vec::new(), JoinSet::new());
        let delayed = Arc::new(Semaphore::new(DELAYED));
        for (from, row) in sockets.iter().enumerate() {
            let mut here = Vec::new();
            for (to, socket) in row.iter().enumerate() {
                here.push(socket.local_addr()?);
                let link = Link {
                    path: paths[from][to].clone(),
                    target: targets[to].clone(),
                    back: sockets[to][from].clone(),
                    delayed: delayed.clone(),
                    chance: chance.clone(),
                };
                tasks.spawn(hear(socket.clone(), vec![link], from, too_long.clone(), bytes.clone()));
            }
            addresses.push(here);
        }
        for (from, socket) in to_all.into_iter().enumerate() {
            alls.push(socket.local_addr()?);
            let others = (0..nodes).filter(|to| *to != from).map(|to| Link {
                path: paths[from][to].clone(),
                target: targets[to].clone(),
                back: sockets[to][from].clone(),
                delayed: delayed.clone(),
                chance: chance.clone(),
            });
            tasks.spawn(hear(Arc::new(socket), others.collect(), from, too_long.clone(), bytes.clone()));
        }
        Ok(Datagrams { addresses, to_all: alls, paths, targets, too_long, bytes, _tasks: tasks })
    }
}

struct Link {
    path: Path,
    target: Target,
    /// The socket from which the receiver knows the sender.
    back: Arc<UdpSocket>,
    delayed: Arc<Semaphore>,
    chance: Arc<Mutex<Pcg64Mcg>>,
}

impl Link {
    async fn pass(&self, data: Bytes) {
        let way = self.path.now().out;
        let there = *self.target.lock().expect("a target");
        let Some(there) = there.filter(|_| way.dropped == 0 && way.held == 0) else { return };
        if way.loss > 0.0 && self.chance.lock().expect("chance").random::<f64>() < way.loss {
            return;
        }
        if way.delay.is_zero() {
            let _ = self.back.send_to(&data, there).await; // who is gone hears nothing
            return;
        }
        let Ok(place) = self.delayed.clone().try_acquire_owned() else { return };
        let (back, delay) = (self.back.clone(), way.delay);
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = back.send_to(&data, there).await;
            drop(place);
        });
    }
}

async fn hear(
    socket: Arc<UdpSocket>,
    links: Vec<Link>,
    from: usize,
    too_long: Arc<Mutex<Vec<(usize, usize)>>>,
    bytes: Arc<AtomicU64>,
) {
    let mut data = vec![0; 2048];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut data).await else { continue };
        if length > LONGEST {
            let mut noted = too_long.lock().expect("the notes");
            if noted.len() < 100 {
                noted.push((from, length));
            }
            continue;
        }
        bytes.fetch_add((length * links.len()) as u64, Ordering::Relaxed);
        let data = Bytes::copy_from_slice(&data[..length]);
        for link in &links {
            link.pass(data.clone()).await;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Instant;
    use tokio::time::timeout;

    const PATIENCE: Duration = Duration::from_secs(30);

    /// A peer that sends back what it gets, behind a relay, and a connection to that.
    async fn echo() -> (Relay, TcpStream) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let there = listener.local_addr().unwrap();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                tokio::spawn(async move {
                    let (mut read, mut write) = stream.split();
                    let _ = tokio::io::copy(&mut read, &mut write).await;
                });
            }
        });
        let relay = Relay::start(Arc::new(Mutex::new(Some(there))), Path::default()).await.unwrap();
        let stream = TcpStream::connect(relay.address).await.unwrap();
        (relay, stream)
    }

    async fn says(stream: &mut TcpStream, text: &[u8]) -> io::Result<Vec<u8>> {
        stream.write_all(text).await?;
        let mut back = vec![0; text.len()];
        timeout(PATIENCE, stream.read_exact(&mut back)).await.expect("an answer in time")?;
        Ok(back)
    }

    #[tokio::test]
    async fn a_path_passes_holds_and_delays() {
        let (relay, mut stream) = echo().await;
        assert_eq!(says(&mut stream, b"one").await.unwrap(), b"one");
        relay.path.change(|ways| ways.back.held += 1);
        stream.write_all(b"two").await.unwrap();
        let mut back = [0; 3];
        // It stays silent for as long as it is held; then all comes.
        assert!(timeout(Duration::from_millis(50), stream.read_exact(&mut back)).await.is_err());
        relay.path.change(|ways| ways.back.held -= 1);
        timeout(PATIENCE, stream.read_exact(&mut back)).await.unwrap().unwrap();
        assert_eq!(&back, b"two");
        relay.path.change(|ways| ways.out.delay = Duration::from_millis(80));
        let begun = Instant::now();
        assert_eq!(says(&mut stream, b"three").await.unwrap(), b"three");
        assert!(begun.elapsed() >= Duration::from_millis(80));
    }

    #[tokio::test]
    async fn what_is_dropped_ends_in_a_reset_when_the_path_is_sound() {
        let (relay, mut stream) = echo().await;
        assert_eq!(says(&mut stream, b"one").await.unwrap(), b"one");
        relay.path.change(|ways| ways.out.dropped += 1);
        stream.write_all(b"two").await.unwrap();
        let mut back = [0; 3];
        assert!(timeout(Duration::from_millis(50), stream.read_exact(&mut back)).await.is_err());
        relay.path.change(|ways| ways.out.dropped -= 1);
        let read = timeout(PATIENCE, stream.read_exact(&mut back)).await.expect("an end");
        assert!(read.is_err(), "nothing of it comes later");
    }

    #[tokio::test]
    async fn a_reset_ends_connections_and_new_ones_pass() {
        let (relay, mut stream) = echo().await;
        assert_eq!(says(&mut stream, b"one").await.unwrap(), b"one");
        relay.path.change(|ways| ways.resets += 1);
        let mut back = [0; 1];
        let read = timeout(PATIENCE, stream.read(&mut back)).await.expect("an end");
        assert!(matches!(read, Err(_) | Ok(0)));
        let mut stream = TcpStream::connect(relay.address).await.unwrap();
        assert_eq!(says(&mut stream, b"two").await.unwrap(), b"two");
    }

    /// Each node hears the others from the address at which it reaches them; a one-way cut is one-way.
    #[tokio::test]
    async fn datagrams_come_from_their_senders_address() {
        let relays = Datagrams::start(2, 1).await.unwrap();
        let mut nodes = Vec::new();
        for target in &relays.targets {
            let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
            *target.lock().unwrap() = Some(socket.local_addr().unwrap());
            nodes.push(socket);
        }
        let mut data = [0; 16];
        nodes[0].send_to(b"hello", relays.addresses[0][1]).await.unwrap();
        let (length, from) = timeout(PATIENCE, nodes[1].recv_from(&mut data)).await.unwrap().unwrap();
        assert_eq!((&data[..length], from), (&b"hello"[..], relays.addresses[1][0]));
        relays.paths[0][1].change(|ways| ways.out.dropped += 1);
        nodes[0].send_to(b"lost", relays.addresses[0][1]).await.unwrap();
        nodes[0].send_to(&[0; 257], relays.to_all[0]).await.unwrap();
        nodes[1].send_to(b"back", relays.to_all[1]).await.unwrap();
        let (length, _) = timeout(PATIENCE, nodes[0].recv_from(&mut data)).await.unwrap().unwrap();
        assert_eq!(&data[..length], b"back");
        relays.paths[0][1].change(|ways| ways.out.dropped -= 1);
        nodes[0].send_to(b"again", relays.addresses[0][1]).await.unwrap();
        let (length, _) = timeout(PATIENCE, nodes[1].recv_from(&mut data)).await.unwrap().unwrap();
        assert_eq!(&data[..length], b"again");
        assert_eq!(*relays.too_long.lock().unwrap(), [(0, 257)]);
    }
}
