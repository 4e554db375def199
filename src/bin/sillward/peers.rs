//! The node's part in membership: datagrams and times in and out of its core, the log of who comes and goes, and what the
//! module is told of the tier. It decides nothing.

use crate::handover::Pair;
use crate::lifecycle::{Lifecycle, State};
use crate::messages::Message;
use hillpick::Tier;
use hillpick::control::config::{Config, Fleet, MOST_PEERS};
use hillpick::control::log::log;
use hillpick::control::saved_file;
use hillpick_fleet::{Address, Agreement, Certainty, DATAGRAM, Identity, Membership, Name, Output, Settings};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, spawn_blocking};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// The predecessor in an upgrade holds the address until it goes: it is asked for so often.
const BIND_PAUSE: Duration = Duration::from_millis(50);
/// The module hears of the tier so often, if there is news.
const TELL_EVERY: Duration = Duration::from_millis(500);
/// An answer to a probe is waited for so long, as a part of the period.
const PATIENCE: f64 = 0.3;
/// Members are written to disk at most so often: a start needs some that still live, not the last change.
const SAVE_EVERY: Duration = Duration::from_secs(2);
/// Datagrams taken in before anything else has its turn.
const AT_A_TIME: usize = 64;

/// What the node knows of the others: shared with the operators' calls, which only look.
#[derive(Clone, Default)]
pub struct View(Rc<RefCell<Option<(Membership, Instant)>>>);

impl View {
    /// All of it, as JSON; `None` where there is no membership.
    pub fn tell(&self) -> Option<Value> {
        let mut view = self.0.borrow_mut();
        let (core, begun) = view.as_mut()?;
        let now = begun.elapsed();
        let agreement = core.agreement(now);
        let identity = |who: &Identity| {
            json!({"name": who.name.to_string(), "address": who.address.to_string(), "zone": who.zone,
                "started_ms": who.started_ms, "renewed": who.renewed, "program": who.program})
        };
        let members: Vec<_> = core
            .members(now)
            .iter()
            .map(|member| {
                let mut told = identity(&member.identity);
                told["state"] = json!(if member.suspect { "suspect" } else { "alive" });
                told["incarnation"] = json!(member.incarnation);
                told["heard_ms_ago"] = json!(member.heard.map(|ago| ago.as_millis() as u64));
                told
            })
            .collect();
        let departed: Vec<_> = core
            .departed(now)
            .map(|(who, cause, ago)| {
                let mut told = identity(who);
                told["cause"] = json!(format!("{cause:?}").to_lowercase());
                told["ms_ago"] = json!(ago.as_millis() as u64);
                told
            })
            .collect();
        let counters = core.counters();
        let rejected: serde_json::Map<_, _> =
            counters.rejected.iter().map(|(why, count)| (why.to_string(), json!(count))).collect();
        Some(json!({
            "self": identity(core.me()),
            "phase": format!("{:?}", core.phase()).to_lowercase(),
            "displaced_by": core.displaced().map(identity),
            "health": core.health().score(),
            "agreement": told_of(&agreement, now),
            "members": members,
            "departed": departed,
            "counters": {"sent": counters.sent, "sent_bytes": counters.sent_bytes, "heard": counters.heard,
                "rejected": rejected, "doubted": counters.doubted, "renewed": counters.renewed,
                "spared": counters.spared, "failed": counters.failed, "left": counters.left}
        }))
    }
}

fn told_of(agreement: &Agreement, now: Duration) -> Value {
    json!({
        "certainty": format!("{:?}", agreement.certainty).to_lowercase(),
        "for_ms": now.saturating_sub(agreement.since).as_millis() as u64,
        "share": agreement.share,
        "heard": agreement.heard,
        "members": agreement.members,
        "could_be_alive": agreement.could_be_alive,
        "digest": format!("{:016x}", agreement.digest)
    })
}

/// What a start finds again of the life before: when that began, and whom it knew.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Saved {
    started_ms: u64,
    members: Vec<(Name, Address)>,
}

/// Takes part in membership for as long as the process runs.
pub struct Peers {
    fleet: Fleet,
    name: Name,
    node: u16,
    nodes: u32,
    zone: u8,
    random: Pcg32,
    view: View,
    messages: mpsc::Sender<Message>,
    lifecycle: Rc<Lifecycle>,
    pair: Rc<Pair>,
    told: Option<Tier>,
    /// The port on which it hears.
    port: u16,
    /// What the disk holds, and the write that is under way.
    saved: Saved,
    saving: Option<JoinHandle<()>>,
}

impl Peers {
    /// As the configuration says; `None` where it says nothing of it.
    pub fn new(
        config: &Config,
        view: View,
        messages: mpsc::Sender<Message>,
        lifecycle: Rc<Lifecycle>,
        pair: Rc<Pair>,
    ) -> Option<Self> {
        let fleet = config.fleet.clone()?;
        let settings = &config.site.settings;
        Some(Peers {
            name: Name::try_from(config.name.clone()).ok()?,
            node: u16::try_from(settings.node).ok()?,
            nodes: settings.nodes,
            zone: settings.zone,
            random: Pcg32::seed_from_u64(config.seed.rotate_left(17)),
            fleet,
            view,
            messages,
            lifecycle,
            pair,
            told: None,
            port: 0,
            saved: Saved::default(),
            saving: None,
        })
    }

    /// The socket on which the others are heard; none yet while the process before this one in an upgrade has it.
    pub async fn bind(&self) -> Result<Option<UdpSocket>, String> {
        match UdpSocket::bind(self.fleet.listen).await {
            Ok(socket) => {
                let address = socket.local_addr().unwrap_or(self.fleet.listen);
                log(format_args!("{} hears its peers on {address}", self.name));
                Ok(Some(socket))
            }
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && self.pair.has_predecessor() => Ok(None),
            Err(e) => Err(format!("cannot hear the other nodes on {}: {e}", self.fleet.listen)),
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
                Err(what) => return log(what),
            };
        };
        self.port = socket.local_addr().map(|address| address.port()).unwrap_or_default();
        self.load();
        let mut phase = self.lifecycle.watch();
        loop {
            if phase.wait_for(|phase| phase.state != State::Standby).await.is_err() {
                return;
            }
            if phase.borrow().state == State::Terminating {
                return;
            }
            self.start();
            self.take_part(&socket, &mut phase).await;
            // A successor takes the name over as it stands; else the others are told, and need not find out.
            if !self.pair.has_successor() {
                self.leave(&socket).await;
            }
        }
    }

    fn start(&mut self) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let address = match self.fleet.advertise {
            None => Address::Seat(self.node),
            Some(address) if address.port() == 0 => {
                Address::Socket(SocketAddrV4::new(*address.ip(), self.port))
            }
            Some(address) => Address::Socket(address),
        };
        let me = Identity {
            name: self.name,
            // Later than its last life, also where the clock has been set back.
            started_ms: (unix.as_millis() as u64).max(self.saved.started_ms.saturating_add(1)),
            renewed: 0,
            address,
            zone: self.zone,
            program: program(),
        };
        self.saved.started_ms = me.started_ms;
        let settings = Settings {
            cluster: self.fleet.cluster.clone(),
            tier: self.nodes as usize,
            period: self.fleet.period,
            patience: self.fleet.period.mul_f64(PATIENCE),
            most: MOST_PEERS,
            doubts_itself: true,
        };
        let seat = |(seat, peer): (usize, &SocketAddr)| match (self.fleet.advertise, peer) {
            (Some(_), SocketAddr::V4(peer)) => Address::Socket(*peer),
            _ => Address::Seat(seat as u16),
        };
        let mut seeds: Vec<_> = self.fleet.peers.iter().enumerate().map(seat).collect();
        for (_, address) in &self.saved.members {
            if !seeds.contains(address) {
                seeds.push(*address);
            }
        }
        let seed = self.random.next_u64();
        let core = Membership::new(me, settings, seeds, seed, Duration::ZERO);
        *self.view.0.borrow_mut() = Some((core, Instant::now()));
    }

    async fn take_part(
        &mut self,
        socket: &UdpSocket,
        phase: &mut tokio::sync::watch::Receiver<crate::lifecycle::Phase>,
    ) {
        let mut data = [0; DATAGRAM + 1];
        let mut tell_at = Instant::now() + TELL_EVERY;
        let mut save_at = Instant::now() + SAVE_EVERY;
        loop {
            let wake = self.wake_at().map_or(tell_at, |at| at.min(tell_at));
            tokio::select! {
                biased;
                _ = phase.wait_for(|phase| phase.state != State::Active) => return,
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
                self.save();
            }
        }
    }

    /// What the life before has left. A file that is broken is no reason not to start: `peers` is there as well.
    fn load(&mut self) {
        let Some(path) = &self.fleet.saved else { return };
        match saved_file::load::<Saved>(path) {
            Ok(None) => {}
            Ok(Some(kept)) => {
                let known = kept.value.members.len();
                let age =
                    kept.age.map_or("of an unknown age".into(), |age| format!("{} s old", age.as_secs()));
                log(format_args!("{known} saved members, {age}, to be asked who lives"));
                self.saved = kept.value;
                self.saved.members.truncate(MOST_PEERS);
            }
            Err(problem) => log(format_args!("no saved members from {}: {problem}", path.display())),
        }
    }

    /// Writes its members to disk if they have changed, off the thread that serves. Who knows nobody keeps what was known.
    fn save(&mut self) {
        let Some(path) = self.fleet.saved.clone() else { return };
        if self.saving.as_ref().is_some_and(|saving| !saving.is_finished()) {
            return;
        }
        let now = {
            let view = self.view.0.borrow();
            let Some((core, begun)) = view.as_ref() else { return };
            let members = core.members(begun.elapsed());
            let members = members.into_iter().map(|it| (it.identity.name, it.identity.address)).collect();
            Saved { started_ms: core.me().started_ms, members }
        };
        if now.members.is_empty() || now == self.saved {
            return;
        }
        self.saved = now.clone();
        self.saving = Some(spawn_blocking(move || {
            if let Err(e) = saved_file::save(&path, &now) {
                log(format_args!("cannot save the members to {}: {e}", path.display()));
            }
        }));
    }

    fn wake_at(&self) -> Option<Instant> {
        let view = self.view.0.borrow();
        let (core, begun) = view.as_ref()?;
        core.wake_at().map(|at| *begun + at)
    }

    /// What comes from no peer's address is nobody's; where members come with addresses of their own, the cluster's hash
    /// has to do.
    fn hear(&self, from: SocketAddr, data: &[u8], out: &mut Vec<Output>) {
        if self.fleet.advertise.is_none() && !self.fleet.peers.contains(&from) {
            return;
        }
        if let Some((core, begun)) = &mut *self.view.0.borrow_mut() {
            core.hear(begun.elapsed(), data, out);
        }
    }

    fn carry_out(&self, socket: &UdpSocket, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to: Address::Seat(seat), data } => {
                    if let Some(to) = self.fleet.peers.get(usize::from(seat)) {
                        let _ = socket.try_send_to(&data, *to); // a full buffer loses it, as a network may
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

    /// The module hears of the tier, if that has changed.
    fn tell(&mut self) {
        let tier = {
            let mut view = self.view.0.borrow_mut();
            let Some((core, begun)) = view.as_mut() else { return };
            // Who is no member knows nothing, and goes by the settings.
            let displaced = core.displaced().is_some();
            let agreement = core.agreement(begun.elapsed());
            Tier {
                live: agreement.members as u32,
                rank: core.rank() as u32,
                agreed: agreement.certainty == Certainty::Agreed && !displaced,
                could_be_alive: agreement.could_be_alive as u32,
            }
        };
        if self.told != Some(tier) && self.messages.try_send(Message::Tier(tier)).is_ok() {
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
        let alone = Tier { live: 1, rank: 0, agreed: false, could_be_alive: self.nodes };
        if self.messages.try_send(Message::Tier(alone)).is_ok() {
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
