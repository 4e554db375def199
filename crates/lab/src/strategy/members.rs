//! The module with membership beside it, as a node runs them: the same core that the node drives over UDP, here over the
//! emulated network. The module hears of the fleet; nothing else of it differs.

use super::Strategy;
use hillpick::{Action, Balancer, Event, FleetView, Settings};
use hillpick_fleet::{Address, Cause, Certainty, Identity, Membership, Name, Output, Settings as Members};
use std::time::Duration;

/// The token of membership's timer: the module has the last one, and requests have small ones.
const TOKEN: u64 = u64::MAX - 1;
/// The module hears of the fleet so often, if there is news: as the node does it.
const TELL_EVERY: Duration = Duration::from_millis(500);

/// What a node has found out of its members, for who measures it.
#[derive(Clone, Debug, PartialEq)]
pub struct Found {
    /// Who, by its number in the fleet.
    pub who: u32,
    /// How.
    pub cause: Cause,
}

/// A node's decisions, and its membership.
pub struct WithMembers {
    balancer: Balancer,
    settings: Settings,
    seed: u64,
    local_health: bool,
    members: Option<Membership>,
    wake: Option<Duration>,
    tell_at: Duration,
    told: Option<FleetView>,
    found: Vec<Found>,
}

impl WithMembers {
    /// A node that has just started, which doubts itself or does not.
    pub fn new(settings: Settings, seed: u64, local_health: bool) -> Self {
        WithMembers {
            balancer: Balancer::new(settings.clone(), seed),
            settings,
            seed,
            local_health,
            members: None,
            wake: None,
            tell_at: Duration::ZERO,
            told: None,
            found: Vec::new(),
        }
    }

    fn start(&mut self, now: Duration) -> Membership {
        let node = self.settings.node;
        let name = Name::try_from(format!("n{node}")).unwrap_or_else(|_| unreachable!("a short name"));
        let me = Identity {
            name,
            started_ms: now.as_millis() as u64,
            renewed: 0,
            address: Address::Node(node as u16),
            zone: self.settings.zone,
            program_version: 1,
        };
        let seeds = (0..self.settings.nodes).map(|number| Address::Node(number as u16)).collect();
        let members = Members {
            local_health: self.local_health,
            ..Members::with_defaults("lab", self.settings.nodes as usize)
        };
        Membership::new(me, members, seeds, self.seed, now)
    }

    fn carry_out(&mut self, out: Vec<Output>, actions: &mut Vec<Action>) {
        for output in out {
            match output {
                Output::Send { to: Address::Node(number), data } => {
                    actions.push(Action::SendToPeer { to: Some(number.into()), data });
                }
                Output::Changed(change) => {
                    let who = String::from(change.member.name);
                    let who = who.trim_start_matches('n').parse().unwrap_or(u32::MAX);
                    self.found.push(Found { who, cause: change.cause });
                }
                Output::Send { .. } | Output::Displaced(_) => {}
            }
        }
    }

    fn tell(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(members) = &mut self.members else { return };
        let agreement = members.agreement(now);
        let tier = FleetView {
            live: agreement.members as u32,
            rank: members.rank() as u32,
            agreed: agreement.certainty == Certainty::Agreed,
            could_be_alive: agreement.could_be_alive as u32,
        };
        if self.told != Some(tier) {
            self.told = Some(tier);
            self.balancer.handle(now, Event::FleetView(tier), actions);
        }
    }
}

impl Strategy for WithMembers {
    fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        let mut out = Vec::new();
        if self.members.is_none() {
            self.members = Some(self.start(now));
        }
        let Some(members) = &mut self.members else { return };
        match event {
            Event::PeerMessage { data, .. } => members.receive(now, &data, &mut out),
            Event::Timer { token: TOKEN } => {
                self.wake = None;
                members.tick(now, &mut out);
            }
            event => self.balancer.handle(now, event, actions),
        }
        let wake = members.wake_at();
        if let Some(at) = wake.filter(|at| self.wake.is_none_or(|set| *at < set)) {
            self.wake = Some(at);
            actions.push(Action::SetTimer { after: at.saturating_sub(now), token: TOKEN });
        }
        self.carry_out(out, actions);
        if now >= self.tell_at {
            self.tell_at = now + TELL_EVERY;
            self.tell(now, actions);
        }
    }

    fn found(&mut self) -> Vec<Found> {
        std::mem::take(&mut self.found)
    }

    fn agrees(&mut self, now: Duration) -> Option<(bool, u64)> {
        let agreement = self.members.as_mut()?.agreement(now);
        Some((agreement.certainty == Certainty::Agreed, agreement.digest))
    }
}
