//! Hollow nodes: the production control code, and no data path. Many share a process and its thread.

mod membership;
pub mod node;
pub mod state;

use super::configuration::{Own, Settings, address_of_region};
use super::messages::{Hollow, NodePlace, NodesReport};
use hillpick::control::clock::Clock;
use hillpick::control::config::{Config, LiveSettings};
use hillpick::control::discovery::DiscoveryClient;
use hillpick::settings::SettingsUpdate;
use hillpick_fleet::{Membership, Name};
use membership::{Member, Place, carry_out};
use node::{Message, Node, Surroundings};
use rand::Rng;
use state::{Seen, Shared};
use std::cell::RefCell;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinSet, yield_now};

/// Messages that may wait for a node's loop (the node's own figure).
const MESSAGES: usize = 4096;
/// Random numbers of a node's own.
const NODE: u64 = 94;
const ARRIVALS: u64 = 95;

/// A node's place, and its life if it runs.
struct Slot {
    place: NodePlace,
    socket: Rc<UdpSocket>,
    /// The start of its latest life, in ms of Unix time.
    started_ms: u64,
    life: Option<Life>,
}

struct Life {
    _tasks: JoinSet<()>,
    core: Rc<RefCell<Membership>>,
    began: tokio::time::Instant,
    messages: mpsc::Sender<Message>,
    current: LiveSettings,
    config: Config,
    /// Where discovery is; it does not move here.
    _moved: watch::Sender<SocketAddr>,
    seen: Rc<RefCell<Seen>>,
}

/// All hollow nodes of a process.
pub struct Nodes {
    clock: Clock,
    hollow: Hollow,
    settings: Settings,
    version: u32,
    seeds: Vec<SocketAddr>,
    slots: Vec<Slot>,
    shared: Rc<Shared>,
}

impl Nodes {
    /// Places and their sockets; nobody runs yet.
    ///
    /// # Errors
    /// If a socket can't be had.
    pub async fn new(hollow: Hollow) -> io::Result<Self> {
        let settings = Settings::new(hollow.settings, 0);
        let mut slots = Vec::new();
        for place in hollow.nodes.iter().copied() {
            let socket = Rc::new(UdpSocket::bind((address_of_region(place.region), 0)).await?);
            slots.push(Slot { place, socket, started_ms: 0, life: None });
        }
        let (clock, shared) = (Clock::start(), Rc::default());
        Ok(Nodes { clock, hollow, settings, version: 0, seeds: Vec::new(), slots, shared })
    }

    /// Where they hear each other.
    ///
    /// # Errors
    /// What the system says.
    pub fn addresses(&self) -> io::Result<Vec<SocketAddr>> {
        self.slots.iter().map(|slot| slot.socket.local_addr()).collect()
    }

    /// All start, and know these addresses to begin with.
    ///
    /// # Errors
    /// If the configuration is no good.
    pub async fn go(&mut self, seeds: Vec<SocketAddr>) -> io::Result<()> {
        self.seeds = seeds;
        let all: Vec<_> = self.slots.iter().map(|slot| slot.place.number).collect();
        self.start(&all).await
    }

    /// These start, as far as they are here and don't run.
    ///
    /// # Errors
    /// If the configuration is no good.
    pub async fn start(&mut self, nodes: &[u32]) -> io::Result<()> {
        for at in self.here(nodes) {
            if self.slots[at].life.is_none() {
                self.start_one(at)?;
                yield_now().await; // the others go on meanwhile
            }
        }
        Ok(())
    }

    /// These are gone without a word.
    pub fn kill(&mut self, nodes: &[u32]) {
        self.here(nodes).into_iter().for_each(|at| self.slots[at].life = None);
    }

    /// These leave, and start anew.
    ///
    /// # Errors
    /// If the configuration is no good.
    pub async fn restart(&mut self, nodes: &[u32]) -> io::Result<()> {
        for at in self.here(nodes) {
            let slot = &mut self.slots[at];
            if let Some(life) = slot.life.take() {
                let mut out = Vec::new();
                life.core.borrow_mut().leave(life.began.elapsed(), &mut out);
                carry_out(&slot.socket, &self.shared, out);
            }
        }
        self.start(nodes).await
    }

    /// A region is cut off, or healed.
    pub fn cut(&self, region: u32, off: bool) {
        self.shared.cut(IpAddr::V4(address_of_region(region)), off);
    }

    /// All read another version of their configuration, as at SIGHUP. A bad one changes nothing.
    pub async fn change_settings(&mut self, version: u32, bad: bool, made_ms: u64) {
        let settings = Settings::new(self.hollow.settings, version);
        for at in 0..self.slots.len() {
            let text = self.text(at, &settings);
            let Some(life) = &mut self.slots[at].life else { continue };
            // What is cut off half-way is how a bad file mostly looks.
            let text = if bad { &text[..text.len() / 2] } else { &text };
            match Config::parse(text) {
                Ok(mut config) => {
                    // Nobody else has it yet, so that nothing is copied.
                    Arc::make_mut(&mut config.site).keep_numbering(&life.config.site);
                    let replacement = SettingsUpdate::new(config.site.clone(), &life.config.site);
                    life.current.set(config.site.clone());
                    let told = Message::Settings(Box::new(replacement), version, made_ms);
                    life.config = config;
                    let _ = life.messages.send(told).await; // or the node has ended
                }
                Err(_) => self.shared.refused.set(self.shared.refused.get() + 1),
            }
            yield_now().await;
        }
        if !bad {
            (self.settings, self.version) = (settings, version);
        }
    }

    fn here(&self, nodes: &[u32]) -> Vec<usize> {
        let at = |node: &u32| self.slots.iter().position(|slot| slot.place.number == *node);
        nodes.iter().filter_map(at).collect()
    }

    fn text(&self, at: usize, settings: &Settings) -> String {
        let NodePlace { number, zone, region, agent } = self.slots[at].place;
        let seed = crate::emu::chance(self.hollow.seed, NODE, number.into()).random();
        settings.text(&Own { number, zone, region, discovery: agent, peers: &self.seeds, seed })
    }

    fn start_one(&mut self, at: usize) -> io::Result<()> {
        let (began, began_at) = (self.clock.now(), tokio::time::Instant::now());
        let config = Config::parse(&self.text(at, &self.settings)).map_err(io::Error::other)?;
        let slot = &mut self.slots[at];
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        slot.started_ms = (unix.as_millis() as u64).max(slot.started_ms + 1);
        // What came while nobody ran here was for no one.
        while slot.socket.try_recv(&mut [0; 1]).is_ok() {}
        let seen = Rc::new(RefCell::new(Seen { settings: self.version, ..Seen::default() }));
        let (messages, inbox) = mpsc::channel(MESSAGES);
        let (orders, discovery_orders) = mpsc::channel(16);
        let current = LiveSettings::new(config.site.clone());
        let (moved, address) = watch::channel(config.discovery);
        let discovery = DiscoveryClient::new(&config, current.clone(), address, messages.clone());
        let around = Surroundings {
            clock: self.clock,
            began,
            discovery: orders,
            listed: discovery.ready(),
            shared: self.shared.clone(),
            seen: seen.clone(),
            random: crate::emu::chance(self.hollow.seed, ARRIVALS, slot.place.number.into()),
            arrivals_per_s: self.hollow.arrivals_per_s,
        };
        let place = Place {
            name: Name::try_from(config.name.as_str()).map_err(io::Error::other)?,
            zone: slot.place.zone as u8,
            nodes: self.hollow.settings.nodes,
            started_ms: slot.started_ms,
            seed: config.seed.rotate_left(17),
        };
        let fleet = config.fleet.as_ref().ok_or_else(|| io::Error::other("a node without membership"))?;
        let member = Member::new(
            &place,
            fleet,
            slot.socket.clone(),
            messages.clone(),
            self.shared.clone(),
            seen.clone(),
        );
        let member = member.ok_or_else(|| io::Error::other("a node without an address"))?;
        let core = member.core();
        let mut tasks = JoinSet::new();
        tasks.spawn_local(Node::new(&config, around).run(inbox));
        tasks.spawn_local(discovery.run(discovery_orders));
        tasks.spawn_local(member.run());
        slot.life = Some(Life {
            _tasks: tasks,
            core,
            began: began_at,
            messages,
            current,
            config,
            _moved: moved,
            seen,
        });
        Ok(())
    }

    /// How they stand.
    pub fn report(&self) -> NodesReport {
        let mut report = NodesReport {
            datagrams: self.shared.datagrams(),
            requests: self.shared.requests.get(),
            served: self.shared.served.get(),
            settings_refused: self.shared.refused.get(),
            ready_ms: std::mem::take(&mut self.shared.ready_ms.borrow_mut()),
            changes_ms: self.shared.changes.borrow_mut().take(),
            settings_ms: self.shared.settings.borrow_mut().take(),
            held_ms: u64::MAX,
            settings: u32::MAX,
            ..NodesReport::default()
        };
        for life in self.slots.iter().filter_map(|slot| slot.life.as_ref()) {
            let seen = life.seen.borrow();
            report.running += 1;
            report.ready += u32::from(seen.ready);
            report.held_ms = report.held_ms.min(seen.held_ms);
            report.settings = report.settings.min(seen.settings);
            report.agreed += u32::from(seen.agreed);
            let view =
                seen.view.map_or("none".into(), |(members, digest)| format!("{members} {digest:016x}"));
            *report.views.entry(view).or_default() += 1;
        }
        report
    }
}
