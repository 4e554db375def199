//! A node's part in membership: datagrams and times in and out of its core, the log of who comes and goes, and what the
//! node's owner is told of the fleet. It decides nothing: the core in `hillpick_fleet` does, and [`membership_view`] shows what that
//! knows.

mod addresses;
pub mod membership_view;
mod saved_members;
#[cfg(test)]
mod tests;

use crate::FleetView;
use crate::control::config::{Config, FleetConfig, MAX_PEERS};
use crate::control::log::log;
use crate::control::process::{ProcessState, Siblings};
use addresses::PeerAddresses;
use hillpick_fleet::{
    Address, Certainty, Identity, MAX_DATAGRAM_BYTES, Membership, Name, NameError, Output, Settings,
};
use membership_view::MembershipView;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use saved_members::SavedMembers;
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// The predecessor in an upgrade holds the address until it goes: it is asked for so often.
const BIND_PAUSE: Duration = Duration::from_millis(50);
/// The module hears of the fleet so often, if there is news.
const TELL_EVERY: Duration = Duration::from_millis(500);
/// An answer to a probe is waited for so long, as a part of the period.
const PATIENCE: f64 = 0.3;
/// Members are written to disk at most so often: a start needs some that still live, not the last change.
const SAVE_EVERY: Duration = Duration::from_secs(2);
/// Datagrams taken in before anything else has its turn.
const AT_A_TIME: usize = 64;

/// Why a node can take no part in membership.
#[derive(Debug, thiserror::Error)]
pub enum MembershipError {
    /// The name does not fit into a datagram.
    #[error(
        "no membership under the name {name:?}: {source}; give the node another name in its configuration"
    )]
    Name {
        /// The name of the configuration.
        name: String,
        /// What is wrong with it.
        source: NameError,
    },
    /// The node's number does not fit into a datagram.
    #[error("no membership for a node of number {0}: expected {most} at most, or fleet.advertise", most = u16::MAX)]
    Number(u32),
    /// The address is another's, or no address of this machine.
    #[error(
        "cannot hear the other nodes on {listen}: {source}; see which process has it, or change peer_listen"
    )]
    Bind {
        /// Where the others should be heard.
        listen: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
}

/// Takes part in membership for as long as the process runs. Its owner hears of the fleet by messages of its own kind,
/// `M`.
pub struct MembershipDriver<M> {
    fleet: FleetConfig,
    addresses: PeerAddresses,
    name: Name,
    /// The address by which the others know it; the port may be open until the socket is bound.
    advertised: Address,
    nodes: u32,
    zone: u8,
    random: Pcg32,
    view: MembershipView,
    messages: mpsc::Sender<M>,
    process: watch::Receiver<ProcessState>,
    siblings: Rc<dyn Siblings>,
    told: Option<FleetView>,
    /// The port on which it hears.
    port: u16,
    saved: SavedMembers,
}

impl<M: From<FleetView>> MembershipDriver<M> {
    /// As the configuration says; `None` where it says nothing of it. `process` is how this process stands, and
    /// `siblings` which others of the same node there are.
    ///
    /// # Errors
    /// If the node's name or number does not fit into a datagram.
    pub fn new(
        config: &Config,
        view: MembershipView,
        messages: mpsc::Sender<M>,
        process: watch::Receiver<ProcessState>,
        siblings: Rc<dyn Siblings>,
    ) -> Result<Option<Self>, MembershipError> {
        let Some(fleet) = config.fleet.clone() else { return Ok(None) };
        let settings = &config.site.settings;
        let name = Name::try_from(config.name.as_str())
            .map_err(|source| MembershipError::Name { name: config.name.clone(), source })?;
        let advertised = match fleet.advertise {
            Some(address) => Address::Socket(address),
            None => {
                let number =
                    u16::try_from(settings.node).map_err(|_| MembershipError::Number(settings.node))?;
                Address::Node(number)
            }
        };
        Ok(Some(MembershipDriver {
            addresses: PeerAddresses::new(fleet.peers.clone()),
            saved: SavedMembers::new(fleet.saved.clone()),
            name,
            advertised,
            nodes: settings.nodes,
            zone: settings.zone,
            random: Pcg32::seed_from_u64(config.seed.rotate_left(17)),
            fleet,
            view,
            messages,
            process,
            siblings,
            told: None,
            port: 0,
        }))
    }

    /// The socket on which the others are heard; none yet while the process before this one in an upgrade has it.
    ///
    /// # Errors
    /// If the address can't be had.
    pub async fn bind(&self) -> Result<Option<UdpSocket>, MembershipError> {
        match UdpSocket::bind(self.fleet.listen).await {
            Ok(socket) => {
                let address = socket.local_addr().unwrap_or(self.fleet.listen);
                log(format_args!("{} hears its peers on {address}", self.name));
                Ok(Some(socket))
            }
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && self.siblings.has_predecessor() => Ok(None),
            Err(source) => Err(MembershipError::Bind { listen: self.fleet.listen, source }),
        }
    }

    /// Until the process is told to stop; in standby it is no member.
    pub async fn run(mut self, bound: Option<UdpSocket>) {
        let mut bound = bound;
        let socket = loop {
            match bound {
                Some(socket) => break socket,
                None => sleep(BIND_PAUSE).await,
            }
            bound = match self.bind().await {
                Ok(socket) => socket,
                Err(problem) => return log(problem),
            };
        };
        self.port = socket.local_addr().map(|address| address.port()).unwrap_or_default();
        self.saved.load();
        let mut process = self.process.clone();
        loop {
            match process.wait_for(|state| *state != ProcessState::Standby).await.map(|state| *state) {
                Ok(ProcessState::Active) => {}
                // Nothing follows termination.
                Ok(ProcessState::Terminating | ProcessState::Standby) | Err(_) => return,
            }
            self.start();
            self.take_part(&socket, &mut process).await;
            // A successor takes the name over as it stands; else the others are told, and need not find out.
            if !self.siblings.has_successor() {
                self.leave(&socket).await;
            }
        }
    }

    fn start(&mut self) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let address = match self.advertised {
            Address::Socket(address) if address.port() == 0 => {
                Address::Socket(SocketAddrV4::new(*address.ip(), self.port))
            }
            address => address,
        };
        let me = Identity {
            name: self.name,
            // Later than its last life, also where the clock has been set back.
            started_ms: (unix.as_millis() as u64).max(self.saved.saved.started_ms.saturating_add(1)),
            renewed: 0,
            address,
            zone: self.zone,
            program_version: program(),
        };
        self.saved.starts(me.started_ms);
        let settings = Settings {
            cluster: self.fleet.cluster.clone(),
            fleet_size: self.nodes as usize,
            probe_period: self.fleet.probe_period,
            probe_timeout: self.fleet.probe_period.mul_f64(PATIENCE),
            max_members: MAX_PEERS,
            local_health: true,
        };
        let saved = self.saved.saved.members.iter().map(|(_, address)| *address);
        let seeds = self.addresses.seeds(self.fleet.advertise.is_some(), saved);
        let seed = self.random.next_u64();
        let core = Membership::new(me, settings, seeds, seed, Duration::ZERO);
        *self.view.0.borrow_mut() = Some((core, Instant::now()));
    }

    async fn take_part(&mut self, socket: &UdpSocket, process: &mut watch::Receiver<ProcessState>) {
        let mut data = [0; MAX_DATAGRAM_BYTES + 1];
        let mut tell_at = Instant::now() + TELL_EVERY;
        let mut save_at = Instant::now() + SAVE_EVERY;
        loop {
            let wake = self.wake_at().map_or(tell_at, |at| at.min(tell_at));
            tokio::select! {
                biased;
                _ = process.wait_for(|state| *state != ProcessState::Active) => return,
                // Timers come before datagrams: a flood of these must not keep the node from probing.
                () = sleep_until(wake) => {
                    let mut out = Vec::new();
                    if let Some((core, begun)) = &mut *self.view.0.borrow_mut() {
                        core.tick(begun.elapsed(), &mut out);
                    }
                    self.carry_out(socket, out);
                }
                came = socket.recv_from(&mut data) => {
                    let mut out = Vec::new();
                    if let Ok((length, from)) = came {
                        self.hear(from, &data[..length], &mut out);
                    }
                    for _ in 1..AT_A_TIME {
                        let Ok((length, from)) = socket.try_recv_from(&mut data) else { break };
                        self.hear(from, &data[..length], &mut out);
                    }
                    self.carry_out(socket, out);
                }
            }
            if Instant::now() >= tell_at {
                tell_at = Instant::now() + TELL_EVERY;
                self.tell();
            }
            if Instant::now() >= save_at {
                save_at = Instant::now() + SAVE_EVERY;
                if let Some((core, _)) = &*self.view.0.borrow() {
                    self.saved.save(core);
                }
            }
        }
    }

    fn wake_at(&self) -> Option<Instant> {
        let view = self.view.0.borrow();
        let (core, begun) = view.as_ref()?;
        core.wake_at().map(|at| *begun + at)
    }

    /// What comes from no peer's address is nobody's; where members come with addresses of their own, the cluster's hash
    /// has to do.
    fn hear(&self, from: SocketAddr, data: &[u8], out: &mut Vec<Output>) {
        if self.fleet.advertise.is_none() && !self.addresses.contains(&from) {
            return;
        }
        if let Some((core, begun)) = &mut *self.view.0.borrow_mut() {
            core.receive(begun.elapsed(), data, out);
        }
    }

    fn carry_out(&self, socket: &UdpSocket, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to: Address::Node(number), data } => {
                    if let Some(to) = self.addresses.of(number) {
                        let _ = socket.try_send_to(&data, to); // a full buffer loses it, as a network may
                    }
                }
                Output::Send { to: Address::Socket(to), data } if self.fleet.advertise.is_some() => {
                    let _ = socket.try_send_to(&data, to.into());
                }
                // Nobody here is known by another address than the configuration's.
                Output::Send { to: Address::Socket(_), .. } => {}
                Output::Changed(change) => {
                    let who = &change.member;
                    log(format_args!(
                        "member {} {:?}: zone {}, started {}, renewed {}",
                        who.name, change.cause, who.zone, who.started_ms, who.renewed
                    ));
                }
                Output::Displaced(by) => log(format_args!(
                    "another process bears the name {} and has started later, at {}: this one is no member any more",
                    by.name, by.started_ms
                )),
            }
        }
    }

    /// The module hears of the fleet, if that has changed.
    fn tell(&mut self) {
        let tier = {
            let mut view = self.view.0.borrow_mut();
            let Some((core, begun)) = view.as_mut() else { return };
            // Who is no member knows nothing, and goes by the settings.
            let displaced = core.displaced_by().is_some();
            let agreement = core.agreement(begun.elapsed());
            FleetView {
                live: agreement.members as u32,
                rank: core.rank() as u32,
                agreed: agreement.certainty == Certainty::Agreed && !displaced,
                could_be_alive: agreement.could_be_alive as u32,
            }
        };
        if self.told != Some(tier) && self.messages.try_send(M::from(tier)).is_ok() {
            self.told = Some(tier); // or the queue is full, and it is told later
            log(format_args!(
                "the tier: {} live, rank {}, {}",
                tier.live,
                tier.rank,
                if tier.agreed { "agreed".into() } else { format!("{} could be alive", tier.could_be_alive) }
            ));
        }
    }

    async fn leave(&mut self, socket: &UdpSocket) {
        let mut out = Vec::new();
        if let Some((core, begun)) = &mut *self.view.0.borrow_mut() {
            core.leave(begun.elapsed(), &mut out);
        }
        self.carry_out(socket, out);
        // What is in the socket's buffer goes out by itself.
        let _ = timeout_at(Instant::now() + BIND_PAUSE, socket.writable()).await;
        let alone = FleetView { live: 1, rank: 0, agreed: false, could_be_alive: self.nodes };
        if self.messages.try_send(M::from(alone)).is_ok() {
            self.told = Some(alone);
        }
    }
}

/// The version of this program, as a number that grows.
fn program() -> u16 {
    let mut parts = env!("CARGO_PKG_VERSION").split('.').map(|part| part.parse::<u16>().unwrap_or_default());
    let (major, minor) = (parts.next().unwrap_or_default(), parts.next().unwrap_or_default());
    major.saturating_mul(100).saturating_add(minor)
}
