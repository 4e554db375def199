//! The emulated world as it stands: nodes, servers, requests, the networks between them. Types and small arithmetic;
//! what happens is in the files beside this one.

use super::fates::{Fates, First, Standing};
use super::plan::Plan;
use super::queue::Queue;
use super::server::{AttemptNo, Server};
use crate::judge::{Cause, Judge};
use crate::shares::Allowances;
use crate::strategy::{Make, Strategy};
use crate::time::{FOREVER, Nanos, millis};
use hillpick::{Action, Outcome, ServerEntry, ServerId, ServerState};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// Numbers of things in a world; none is given twice.
pub type NodeNo = u32;
/// Likewise.
pub type ServerNo = u32;
/// Likewise.
pub type RequestNo = u32;
/// Likewise.
pub type TryNo = u32;

/// Something that is to happen.
pub enum Ev {
    /// The next client comes.
    Arrive,
    /// A client tries again.
    Retry(RequestNo),
    /// A client's try reaches its node.
    Reach(TryNo),
    /// A final answer is with the client.
    Reply(TryNo),
    /// A client gives a try up.
    Leave(TryNo),
    /// A client learns that its node can't be reached, or has died.
    Unreachable(TryNo),
    /// A node learns that a client has left.
    Gone(TryNo),
    /// By now a node has given its final answer, or a rule is broken.
    Overdue(TryNo),
    /// A timer of a node's strategy.
    Timer { node: NodeNo, life: u32, token: u64 },
    /// A node stops waiting for an attempt.
    Due(AttemptNo),
    /// An attempt reaches its server.
    AtServer(AttemptNo),
    /// A server's work is done, if this plan still holds.
    Done { server: ServerNo, plan: u32 },
    /// The end of an attempt reaches its node, with the server's load if that is told.
    Ended { attempt: AttemptNo, outcome: Outcome, load: Option<f32> },
    /// A server learns that an attempt was given up.
    CallOff(AttemptNo),
    /// A probe reaches its server.
    ProbeAt { node: NodeNo, life: u32, server: ServerNo, sent: Nanos },
    /// Its end is known at the node.
    Probed { node: NodeNo, life: u32, server: ServerNo, sent: Nanos, outcome: Outcome, load: Option<f32> },
    /// News of the list reach a node's machine.
    List(NodeNo),
    /// A datagram reaches a node.
    Datagram { node: NodeNo, from: NodeNo, data: Rc<[u8]> },
    /// A node that was busy or stopped goes on with what has come meanwhile.
    Wake(NodeNo),
    /// A node's process starts.
    Start { node: NodeNo, life: u32 },
    /// The front learns that a node is ready, or dead.
    Front { node: NodeNo, life: u32, up: bool },
    /// A part of a fault.
    Fault { fault: usize, step: Step },
    /// An idle server announces itself.
    Sign { server: ServerNo, spell: u32 },
    /// Connections that have been idle for too long close.
    Sweep,
    /// Strategies that see the truth are shown it.
    Look,
}

/// A part of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// It begins.
    Begin,
    /// It ends.
    End,
    /// The next batch of those concerned is told to stop.
    Batch(u32),
    /// A batch is gone.
    BatchGone(u32),
    /// One of those concerned is held back, or goes on.
    Pause { victim: u32, still: bool },
}

/// What a client wants, over all its tries.
pub struct Request {
    /// Its class.
    pub class: u8,
    /// Where its client is.
    pub zone: u8,
    /// Its tenant.
    pub tenant: u16,
    /// Whether it was asked inside that one's share.
    pub inside: bool,
    /// What it concerns; 0 for nothing.
    pub key: u64,
    /// Its work, in s of a standard core.
    pub work: f64,
    /// When it was first tried.
    pub asked: Nanos,
    /// Tries so far.
    pub tries: u32,
    /// How its first try ended.
    pub first: First,
    /// The worst that befell it.
    pub cause: Cause,
    /// Its end is known.
    pub closed: bool,
}

/// The deadline of a try that its node has not taken yet.
pub const NOT_THERE: Nanos = u64::MAX;

/// A try of a client at a node.
pub struct Try {
    /// Whose.
    pub request: RequestNo,
    /// Where, in which life.
    pub node: NodeNo,
    /// Likewise.
    pub life: u32,
    /// When it was sent, and when its client gives it up.
    pub sent: Nanos,
    /// Likewise.
    pub until: Nanos,
    /// The node's deadline for it; [`NOT_THERE`] until the node has taken it.
    pub due: Nanos,
    /// In the order of sending.
    pub attempts: Vec<AttemptNo>,
    /// The node's final answer.
    pub answer: Option<Answer>,
    /// The client waits no more: it has its answer, or has left.
    pub over: bool,
    /// The node has learned that the client has left.
    pub left: bool,
}

/// A final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// By this attempt.
    Served(AttemptNo),
    /// With how long the client is to wait.
    Refused(Option<Nanos>),
    /// Without a promise.
    Failed,
}

/// An attempt of a node at a server.
pub struct Attempt {
    /// Of which try, and its number there.
    pub of: TryNo,
    /// Likewise.
    pub number: u32,
    /// Where.
    pub server: ServerNo,
    /// When.
    pub sent: Nanos,
    /// When it is at the server; nothing overtakes it on its connection.
    pub arrives: Nanos,
    /// The life of the server that its connection leads to; `None` if there never was one.
    pub connected: Option<u32>,
    /// It pays for a new connection.
    pub fresh: bool,
    /// How it ended, as its node knows.
    pub ended: Option<Outcome>,
    /// It is to end as called off.
    pub called_off: bool,
    /// How its server stood when it came there.
    pub found: Standing,
}

impl Attempt {
    /// Whether the rules count it as one that may have run.
    pub fn may_have_run(&self) -> bool {
        !self.ended.is_some_and(Outcome::never_ran)
    }
}

/// What a node's strategy has been told of a server.
#[derive(Clone, Copy)]
pub struct Told {
    /// Since when it is told to send there nothing new; `FOREVER` if it is not.
    pub stop: Nanos,
    /// The start that it knows of.
    pub started: Option<Nanos>,
    /// The server stood in one of its lists.
    pub listed: bool,
}

impl Default for Told {
    fn default() -> Self {
        Told { stop: FOREVER, started: None, listed: false }
    }
}

/// A node.
pub struct Node {
    /// Where it is.
    pub zone: u8,
    /// Its decisions, while it runs.
    pub strategy: Option<Box<dyn Strategy>>,
    /// How often it has started.
    pub life: u32,
    /// What came while it was busy or stopped, in order.
    pub inbox: VecDeque<Ev>,
    /// Until then its processor has work; a wake is set for that.
    pub busy: Nanos,
    /// Likewise.
    pub wake_set: bool,
    /// Faults that stop it.
    pub stopped: u32,
    /// Faults that starve it, by number, with the part of the processor that is left.
    pub starved: Vec<(usize, f64)>,
    /// It has been stopped or starved.
    pub troubled: bool,
    /// Faults that hold it dead.
    pub killed: u32,
    /// When it died last.
    pub died: Option<Nanos>,
    /// Idle connections to each server: since when, and the server's life.
    pub idle: BTreeMap<ServerNo, Vec<(Nanos, u32)>>,
    /// By server.
    pub told: Vec<Told>,
    /// Changes of the list that its machine has been sent, and that its strategy has seen.
    pub sent: usize,
    /// Likewise.
    pub seen: usize,
    /// When news are on their way: when they come.
    pub news: Option<Nanos>,
    /// How its wall clock is off: at once, and as its present process read it at its start.
    pub step_s: f64,
    /// Likewise.
    pub offset_s: f64,
    /// The front sends clients here.
    pub front: bool,
    /// Clients that come here, against the other nodes of its zone.
    pub weight: f64,
    /// Tries that it has taken and not answered.
    pub open: BTreeSet<TryNo>,
    /// Attempts that it waits for.
    pub out: BTreeSet<AttemptNo>,
}

/// A change of the list.
pub struct Change {
    /// When.
    pub at: Nanos,
    /// Which server.
    pub server: ServerNo,
    /// As it stands from then on.
    pub entry: ServerEntry,
}

/// What is wrong between zones, and with clients and feeds. Counts of faults, so that they may overlap.
#[derive(Default)]
pub struct Trouble {
    /// By zone: faults that cut what leaves it to other zones' servers, and what comes in.
    pub servers_out: Vec<u32>,
    /// Likewise.
    pub servers_in: Vec<u32>,
    /// Likewise between nodes.
    pub peers_out: Vec<u32>,
    /// Likewise.
    pub peers_in: Vec<u32>,
    /// Faults that keep the list from a zone.
    pub list_in: Vec<u32>,
    /// Faults that keep the list from all.
    pub list_silent: u32,
    /// Faults that make it late, and that make it stale: by number, in ns.
    pub list_late: Vec<(usize, Nanos)>,
    /// Likewise.
    pub list_stale: Vec<(usize, Nanos)>,
    /// Faults that reset connections: by number, the part.
    pub resets: Vec<(usize, f64)>,
    /// Faults that spoil datagrams: by number, loss, delay in ms and duplicates.
    pub lossy: Vec<(usize, [f64; 3])>,
    /// Faults that make more clients come: by number, the factor, and where.
    pub flash: Vec<(usize, f64, Option<u8>)>,
    /// Faults that make some requests heavy: by number, the part, times how much work, and of which class.
    pub heavy: Vec<(usize, f64, f64, Option<u8>)>,
    /// Faults that make clients come again at once: by number, the tries.
    pub storm: Vec<(usize, u32)>,
}

impl Trouble {
    /// None, among so many zones.
    pub fn none(zones: usize) -> Self {
        let zero = || vec![0; zones];
        Trouble {
            servers_out: zero(),
            servers_in: zero(),
            peers_out: zero(),
            peers_in: zero(),
            list_in: zero(),
            ..Trouble::default()
        }
    }

    /// Whether what goes from a zone to another one's servers, or from servers to it, gets there.
    pub fn passes(&self, from: u8, to: u8) -> bool {
        from == to || self.servers_out[usize::from(from)] == 0 && self.servers_in[usize::from(to)] == 0
    }

    /// Likewise between nodes.
    pub fn peers_pass(&self, from: u8, to: u8) -> bool {
        from == to || self.peers_out[usize::from(from)] == 0 && self.peers_in[usize::from(to)] == 0
    }
}

/// The world.
pub struct World {
    /// What stays the same.
    pub plan: Plan,
    /// What decides at the nodes: its name, and a node of it that starts.
    pub strategy: String,
    /// Likewise.
    pub make: Make,
    /// The seed.
    pub seed: u64,
    /// Now.
    pub now: Nanos,
    /// What is to happen.
    pub queue: Queue<Ev>,
    /// All of each kind, by number.
    pub servers: Vec<Server>,
    /// Likewise.
    pub nodes: Vec<Node>,
    /// Likewise.
    pub requests: Vec<Request>,
    /// Likewise.
    pub tries: Vec<Try>,
    /// Likewise.
    pub attempts: Vec<Attempt>,
    /// The list as it was at the begin, and its changes.
    pub listed: Vec<ServerEntry>,
    /// Likewise.
    pub changes: Vec<Change>,
    /// What is wrong.
    pub trouble: Trouble,
    /// Whom each fault concerns, once it has begun.
    pub victims: Vec<Vec<u32>>,
    /// The nodes of each zone, with the sums of their weights.
    pub fronts: Vec<Vec<(NodeNo, f64)>>,
    /// Chance on the networks and at servers; demand and faults have their own, so that they don't hang on decisions.
    pub chance: Pcg64Mcg,
    /// When the next client comes.
    pub arrivals: Pcg64Mcg,
    /// What tenants may still ask for inside their shares.
    pub allowances: Allowances,
    /// Requests whose end is not known.
    pub open: u64,
    /// No more requests than this.
    pub most_requests: u64,
    /// From this request on, response times are summed: their sum in s, and their number.
    pub measure_from: u64,
    /// Likewise.
    pub responses: (f64, u64),
    /// How long it took, in s, until somebody knew that a node's life had ended.
    pub first_found: BTreeMap<(NodeNo, u32), f64>,
    /// When nodes that know of one another were all of one mind last, and since when they were not, in turn.
    pub minds: Vec<(Nanos, bool)>,
    /// Requests by their ends.
    pub fates: Fates,
    /// The books.
    pub judge: Judge,
    /// Kept to save work: actions, and planned ends of jobs.
    pub actions: Vec<Action>,
    /// Likewise.
    pub planned: Vec<(AttemptNo, Nanos, u32)>,
}

/// A source of chance of its own for one thing: the same in every run of a seed, whatever else happens.
pub fn chance(seed: u64, what: u64, number: u64) -> Pcg64Mcg {
    // SplitMix64's finalizer: neighbouring numbers give unrelated seeds.
    let mut z = seed
        .wrapping_mul(0x9e37_79b9_7f4a_7c15)
        .wrapping_add(what.wrapping_mul(0xd1b5_4a32_d192_ed03))
        .wrapping_add(number.wrapping_mul(0x8cb9_2ba7_2f3d_8dd7));
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    Pcg64Mcg::seed_from_u64(z ^ (z >> 31))
}

/// A server's id: its number below a scramble of it, so that ids tell nothing and still lead back.
pub fn server_id(server: ServerNo) -> ServerId {
    let scramble: u32 = chance(0x5e7, 1, server.into()).random();
    ServerId(u64::from(scramble) << 32 | u64::from(server))
}

/// The server of this id, if it is one.
pub fn server_no(id: ServerId) -> ServerNo {
    id.0 as u32
}

impl World {
    /// One way between two zones, with chance.
    pub fn latency(&mut self, from: u8, to: u8) -> Nanos {
        let base = self.plan.latency(from, to);
        let jitter = self.plan.experiment.world.jitter;
        if base == 0 || jitter == 0.0 {
            return base;
        }
        base + (base as f64 * jitter * self.chance.random::<f64>()) as Nanos
    }

    /// An entry of the list for a server as it stands.
    pub fn entry(&self, server: ServerNo, state: ServerState) -> ServerEntry {
        let it = &self.servers[server as usize];
        ServerEntry {
            id: server_id(server),
            zone: it.zone,
            kind: it.kind,
            cell: it.cell,
            state,
            weight: 1.0,
            started: it.started.map(|at| crate::time::duration(super::plan::EPOCH + at)),
        }
    }

    /// Something befell a request; the worst is remembered.
    pub fn blame(&mut self, attempt: AttemptNo, cause: Cause) {
        let of = self.attempts[attempt as usize].of;
        let request = self.tries[of as usize].request;
        let request = &mut self.requests[request as usize];
        request.cause = request.cause.max(cause);
    }

    /// A span between two bounds in ms, by chance.
    pub fn between_ms(&mut self, [low, high]: [f64; 2]) -> Nanos {
        millis(low + (high - low) * self.chance.random::<f64>())
    }

    /// The planned ends of jobs at a server are put into the queue.
    pub fn put_planned(&mut self, server: ServerNo) {
        let mut planned = std::mem::take(&mut self.planned);
        for (_, end, plan) in planned.drain(..) {
            if end < FOREVER {
                self.queue.push(end, Ev::Done { server, plan });
            }
        }
        self.planned = planned;
    }
}
