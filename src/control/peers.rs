//! The membership driver: connects the membership core in `hillpick_fleet`, which does no I/O, to a UDP
//! socket, timers and the log, and sends each change of the fleet view to the node. All decisions are the
//! core's; [`membership_view`] shows its state to the admin interface.

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

/// Pause between attempts to bind the address, which the predecessor holds during a hot restart until it
/// exits; also the longest wait for a writable socket when the node leaves.
const SOCKET_WAIT: Duration = Duration::from_millis(50);
/// How often the fleet view is checked for changes, which are then sent to the decision module.
const FLEET_VIEW_INTERVAL: Duration = Duration::from_millis(500);
/// The time that a probe's answer may take, as a share of the probe period.
const PROBE_TIMEOUT_SHARE: f64 = 0.3;
/// Members are written to disk at most once in this time: after a restart it is enough that some of them are
/// still alive, and the latest change is not needed.
const SAVE_INTERVAL: Duration = Duration::from_secs(2);
/// The most datagrams that are processed in a row before timers are checked again.
const MAX_DATAGRAM_BATCH: usize = 64;

/// Why a node can't take part in membership.
#[derive(Debug, thiserror::Error)]
pub enum MembershipError {
    /// The node's name can't be sent in a membership datagram.
    #[error(
        "cannot join membership under the name {name:?}: {source}; give the node another name in its configuration"
    )]
    Name {
        /// The name in the configuration.
        name: String,
        /// What is wrong with it.
        source: NameError,
    },
    /// The node's number does not fit into a datagram.
    #[error("cannot join membership as node number {0}: expected {most} at most, or fleet.advertise", most = u16::MAX)]
    Number(u32),
    /// The address is in use by another process, or is not an address of this machine.
    #[error(
        "cannot listen for the other nodes on {listen}: {source}; see which process uses it, or change peer_listen"
    )]
    Bind {
        /// The address to listen on.
        listen: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
}

/// Takes part in membership for as long as the process runs. Changes of the fleet view are sent to its owner
/// as messages of the owner's type, `M`.
pub struct MembershipDriver<M> {
    fleet: FleetConfig,
    addresses: PeerAddresses,
    name: Name,
    /// The address by which the other nodes identify this one; its port may be 0 until the socket is bound.
    advertised: Address,
    nodes: u32,
    zone: u8,
    random: Pcg32,
    view: MembershipView,
    messages: mpsc::Sender<M>,
    process: watch::Receiver<ProcessState>,
    siblings: Rc<dyn Siblings>,
    /// The fleet view that was sent last.
    sent_view: Option<FleetView>,
    /// The port of the bound socket.
    port: u16,
    saved: SavedMembers,
}

impl<M: From<FleetView>> MembershipDriver<M> {
    /// A driver for the configured membership; `None` if none is configured. `process` is the state of this
    /// process, and `siblings` tells of other processes of the same node.
    ///
    /// # Errors
    /// If the node's name or number can't be sent in a datagram.
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
            sent_view: None,
            port: 0,
        }))
    }

    /// Binds the UDP socket; `None` while the predecessor in a hot restart still holds the address.
    ///
    /// # Errors
    /// If the address can't be bound.
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

    /// Takes part in membership whenever the process is active, until it is told to stop. In standby it is
    /// not a member.
    pub async fn run(mut self, bound: Option<UdpSocket>) {
        let mut bound = bound;
        let socket = loop {
            match bound {
                Some(socket) => break socket,
                None => sleep(SOCKET_WAIT).await,
            }
            bound = match self.bind().await {
                Ok(socket) => socket,
                Err(error) => return log(error),
            };
        };
        self.port = socket.local_addr().map(|address| address.port()).unwrap_or_default();
        self.saved.load();
        let mut process = self.process.clone();
        loop {
            match process.wait_for(|state| *state != ProcessState::Standby).await.map(|state| *state) {
                Ok(ProcessState::Active) => {}
                // Terminating is final.
                Ok(ProcessState::Terminating | ProcessState::Standby) | Err(_) => return,
            }
            self.join();
            self.participate(&socket, &mut process).await;
            // A successor continues under the same name. Without one, a leave message saves the other members
            // the time to detect a failure.
            if !self.siblings.has_successor() {
                self.leave(&socket).await;
            }
        }
    }

    /// Creates the core for a new incarnation of this member, with the configured and saved addresses as
    /// seeds.
    fn join(&mut self) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let address = match self.advertised {
            Address::Socket(address) if address.port() == 0 => {
                Address::Socket(SocketAddrV4::new(*address.ip(), self.port))
            }
            address => address,
        };
        let identity = Identity {
            name: self.name,
            // Later than the previous start, even if the clock was set back since.
            started_ms: (unix.as_millis() as u64).max(self.saved.content.started_ms.saturating_add(1)),
            renewed: 0,
            address,
            zone: self.zone,
            program_version: program_version(),
        };
        self.saved.begin_incarnation(identity.started_ms);
        let settings = Settings {
            cluster: self.fleet.cluster.clone(),
            fleet_size: self.nodes as usize,
            probe_period: self.fleet.probe_period,
            probe_timeout: self.fleet.probe_period.mul_f64(PROBE_TIMEOUT_SHARE),
            max_members: MAX_PEERS,
            local_health: true,
        };
        let saved = self.saved.content.members.iter().map(|(_, address)| *address);
        let seeds = self.addresses.seeds(self.fleet.advertise.is_some(), saved);
        let seed = self.random.next_u64();
        let core = Membership::new(identity, settings, seeds, seed, Duration::ZERO);
        *self.view.0.borrow_mut() = Some((core, Instant::now()));
    }

    /// Drives the core until the process is no longer active.
    async fn participate(&mut self, socket: &UdpSocket, process: &mut watch::Receiver<ProcessState>) {
        let mut data = [0; MAX_DATAGRAM_BYTES + 1];
        let mut view_due = Instant::now() + FLEET_VIEW_INTERVAL;
        let mut save_due = Instant::now() + SAVE_INTERVAL;
        loop {
            let wake = self.wake_at().map_or(view_due, |at| at.min(view_due));
            tokio::select! {
                biased;
                _ = process.wait_for(|state| *state != ProcessState::Active) => return,
                // Timers come before datagrams, so that a flood of datagrams can't keep the node from
                // probing.
                () = sleep_until(wake) => {
                    let mut out = Vec::new();
                    if let Some((core, epoch)) = &mut *self.view.0.borrow_mut() {
                        core.tick(epoch.elapsed(), &mut out);
                    }
                    self.handle_outputs(socket, out);
                }
                received = socket.recv_from(&mut data) => {
                    let mut out = Vec::new();
                    if let Ok((length, from)) = received {
                        self.receive(from, &data[..length], &mut out);
                    }
                    for _ in 1..MAX_DATAGRAM_BATCH {
                        let Ok((length, from)) = socket.try_recv_from(&mut data) else { break };
                        self.receive(from, &data[..length], &mut out);
                    }
                    self.handle_outputs(socket, out);
                }
            }
            if Instant::now() >= view_due {
                view_due = Instant::now() + FLEET_VIEW_INTERVAL;
                self.send_fleet_view();
            }
            if Instant::now() >= save_due {
                save_due = Instant::now() + SAVE_INTERVAL;
                if let Some((core, _)) = &*self.view.0.borrow() {
                    self.saved.save(core);
                }
            }
        }
    }

    /// When the core's next timer is due.
    fn wake_at(&self) -> Option<Instant> {
        let view = self.view.0.borrow();
        let (core, epoch) = view.as_ref()?;
        core.wake_at().map(|at| *epoch + at)
    }

    /// Passes a datagram to the core. Without advertised addresses, datagrams from unconfigured addresses are
    /// dropped; with them, any sender is possible, and only the core's check of the cluster's hash remains.
    fn receive(&self, from: SocketAddr, data: &[u8], out: &mut Vec<Output>) {
        if self.fleet.advertise.is_none() && !self.addresses.contains(&from) {
            return;
        }
        if let Some((core, epoch)) = &mut *self.view.0.borrow_mut() {
            core.receive(epoch.elapsed(), data, out);
        }
    }

    /// Sends the datagrams and logs the changes that the core has put out.
    fn handle_outputs(&self, socket: &UdpSocket, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to: Address::Node(number), data } => {
                    if let Some(to) = self.addresses.by_number(number) {
                        let _ = socket.try_send_to(&data, to); // lost if the buffer is full, as on a lossy network
                    }
                }
                Output::Send { to: Address::Socket(to), data } if self.fleet.advertise.is_some() => {
                    let _ = socket.try_send_to(&data, to.into());
                }
                // Without advertised addresses, datagrams go to configured addresses only.
                Output::Send { to: Address::Socket(_), .. } => {}
                Output::Changed(change) => {
                    let member = &change.member;
                    log(format_args!(
                        "member {} {:?}: zone {}, started {}, renewed {}",
                        member.name, change.cause, member.zone, member.started_ms, member.renewed
                    ));
                }
                Output::Displaced(other) => log(format_args!(
                    "another process bears the name {} and has started later, at {}: this process is no longer a member",
                    other.name, other.started_ms
                )),
            }
        }
    }

    /// Sends the fleet view to the owner if it has changed.
    fn send_fleet_view(&mut self) {
        let fleet_view = {
            let mut view = self.view.0.borrow_mut();
            let Some((core, epoch)) = view.as_mut() else { return };
            // A process displaced by a later one of its name is not a member: its view does not count as
            // agreed, and the decision module goes by the configured number of nodes.
            let displaced = core.displaced_by().is_some();
            let agreement = core.agreement(epoch.elapsed());
            FleetView {
                live: agreement.members as u32,
                rank: core.rank() as u32,
                agreed: agreement.certainty == Certainty::Agreed && !displaced,
                could_be_alive: agreement.could_be_alive as u32,
            }
        };
        if self.sent_view != Some(fleet_view) && self.messages.try_send(M::from(fleet_view)).is_ok() {
            self.sent_view = Some(fleet_view); // if the queue is full, the next check tries again
            log(format_args!(
                "the fleet: {} live, rank {}, {}",
                fleet_view.live,
                fleet_view.rank,
                if fleet_view.agreed {
                    "agreed".into()
                } else {
                    format!("{} could be alive", fleet_view.could_be_alive)
                }
            ));
        }
    }

    /// Tells the other members that this one leaves, and the owner that it is alone.
    async fn leave(&mut self, socket: &UdpSocket) {
        let mut out = Vec::new();
        if let Some((core, epoch)) = &mut *self.view.0.borrow_mut() {
            core.leave(epoch.elapsed(), &mut out);
        }
        self.handle_outputs(socket, out);
        // The kernel sends what is in the socket's buffer without further calls.
        let _ = timeout_at(Instant::now() + SOCKET_WAIT, socket.writable()).await;
        let alone = FleetView { live: 1, rank: 0, agreed: false, could_be_alive: self.nodes };
        if self.messages.try_send(M::from(alone)).is_ok() {
            self.sent_view = Some(alone);
        }
    }
}

/// The major and minor version of this program, as one number that grows from version to version.
fn program_version() -> u16 {
    let mut parts = env!("CARGO_PKG_VERSION").split('.').map(|part| part.parse::<u16>().unwrap_or_default());
    let (major, minor) = (parts.next().unwrap_or_default(), parts.next().unwrap_or_default());
    major.saturating_mul(100).saturating_add(minor)
}
