//! Carries a member's datagrams and times, as the node's own driver does. It decides nothing. It is not that driver, since a
//! run counts what is heard, cuts regions off, and looks at thousands of views a second without their members.

use super::node::Message;
use super::state::{Seen, Shared};
use hillpick::FleetView;
use hillpick::control::config::FleetConfig;
use hillpick_fleet::{Address, Certainty, Identity, MAX_DATAGRAM_BYTES, Membership, Name, Output, Settings};
use std::cell::RefCell;
use std::net::{IpAddr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

/// The module hears of the tier so often, if there is news (the node's own figure).
const TELL_EVERY: Duration = Duration::from_millis(500);
/// An answer to a probe is waited for so long, as a part of the period (the node's own figure).
const PATIENCE: f64 = 0.3;
/// Datagrams taken in before anything else has its turn (the node's own figure).
const AT_A_TIME: usize = 64;

/// A member and what it needs.
pub struct Member {
    core: Rc<RefCell<Membership>>,
    begun: Instant,
    socket: Rc<UdpSocket>,
    messages: mpsc::Sender<Message>,
    shared: Rc<Shared>,
    seen: Rc<RefCell<Seen>>,
    told: Option<FleetView>,
}

/// A node's place among the members.
pub struct Place {
    /// Its name.
    pub name: Name,
    /// Its zone.
    pub zone: u8,
    /// How many nodes are configured.
    pub nodes: u32,
    /// When it started, in ms of Unix time.
    pub started_ms: u64,
    /// For its random numbers.
    pub seed: u64,
}

impl Member {
    /// One that knows the fleet's peers alone.
    pub fn new(
        place: &Place,
        fleet: &FleetConfig,
        socket: Rc<UdpSocket>,
        messages: mpsc::Sender<Message>,
        shared: Rc<Shared>,
        seen: Rc<RefCell<Seen>>,
    ) -> Option<Self> {
        let Ok(SocketAddr::V4(address)) = socket.local_addr() else { return None };
        let core = membership(place, fleet, address);
        let core = Rc::new(RefCell::new(core));
        Some(Member { core, begun: Instant::now(), socket, messages, shared, seen, told: None })
    }

    /// What it knows.
    pub fn core(&self) -> Rc<RefCell<Membership>> {
        self.core.clone()
    }

    /// For as long as its task runs.
    pub async fn run(mut self) {
        let mut data = [0; MAX_DATAGRAM_BYTES + 1];
        let mut tell_at = Instant::now() + TELL_EVERY;
        loop {
            let wake = self.core.borrow().wake_at().map_or(tell_at, |at| (self.begun + at).min(tell_at));
            let mut out = Vec::new();
            tokio::select! {
                biased;
                () = sleep_until(wake) => self.core.borrow_mut().tick(self.begun.elapsed(), &mut out),
                came = self.socket.recv_from(&mut data) => {
                    if let Ok((length, from)) = came {
                        self.hear(from, &data[..length], &mut out);
                    }
                    for _ in 1..AT_A_TIME {
                        let Ok((length, from)) = self.socket.try_recv_from(&mut data) else { break };
                        self.hear(from, &data[..length], &mut out);
                    }
                }
            }
            carry_out(&self.socket, &self.shared, out);
            if Instant::now() >= tell_at {
                tell_at = Instant::now() + TELL_EVERY;
                self.tell();
            }
        }
    }

    fn hear(&mut self, from: SocketAddr, data: &[u8], out: &mut Vec<Output>) {
        if self.shared.is_cut(self.socket.local_addr().ok().map(|it| it.ip()), from.ip()) {
            return;
        }
        self.shared.count(|it| {
            it.heard += 1;
            it.heard_bytes += data.len() as u64;
        });
        self.core.borrow_mut().receive(self.begun.elapsed(), data, out);
    }

    /// The module hears of the tier, if that has changed.
    fn tell(&mut self) {
        let mut core = self.core.borrow_mut();
        let displaced = core.displaced_by().is_some();
        let agreement = core.agreement(self.begun.elapsed());
        let tier = FleetView {
            live: agreement.members as u32,
            rank: core.rank() as u32,
            agreed: agreement.certainty == Certainty::Agreed && !displaced,
            could_be_alive: agreement.could_be_alive as u32,
        };
        let mut seen = self.seen.borrow_mut();
        seen.view = Some((agreement.members, agreement.digest));
        seen.agreed = tier.agreed;
        if self.told != Some(tier) && self.messages.try_send(Message::Tier(tier)).is_ok() {
            self.told = Some(tier); // or the queue is full, and it is told later
        }
    }
}

fn membership(place: &Place, fleet: &FleetConfig, address: SocketAddrV4) -> Membership {
    let me = Identity {
        name: place.name,
        started_ms: place.started_ms,
        renewed: 0,
        address: Address::Socket(address),
        zone: place.zone,
        program_version: 0,
    };
    let mut settings = Settings::with_defaults(&fleet.cluster, place.nodes as usize);
    settings.probe_period = fleet.probe_period;
    settings.probe_timeout = fleet.probe_period.mul_f64(PATIENCE);
    let seeds = fleet.peers.iter().filter_map(|peer| match peer {
        SocketAddr::V4(peer) => Some(Address::Socket(*peer)),
        SocketAddr::V6(_) => None,
    });
    Membership::new(me, settings, seeds.collect(), place.seed, Duration::ZERO)
}

/// Sends what the core wants sent, but over a cut.
pub fn carry_out(socket: &UdpSocket, shared: &Shared, out: Vec<Output>) {
    let from = socket.local_addr().ok().map(|it| it.ip());
    for output in out {
        let Output::Send { to: Address::Socket(to), data } = output else { continue };
        shared.count(|it| {
            it.sent += 1;
            it.sent_bytes += data.len() as u64;
        });
        if !shared.is_cut(from, IpAddr::V4(*to.ip())) {
            let _ = socket.try_send_to(&data, to.into()); // a full buffer loses it, as a network may
        }
    }
}
