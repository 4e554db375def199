//! What a member is told, and SWIM's settings that follow from it.

use super::graceful_leave::TOMBSTONE_TTL;
use crate::wire::BODY;
use foca::PeriodicParams;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// A suspect is dead after so many periods for each factor of ten members (memberlist's rule, with half its multiple:
/// the fleet's periods are short beside its deadlines for knowing).
const SUSPICION_PERIODS: f64 = 2.0;
/// Members asked to probe in one's stead (SWIM's k).
const INDIRECT_PROBES: NonZeroUsize = NonZeroUsize::new(3).unwrap();
/// Times that each piece of news is passed on by each member (foca's advice for large clusters is 15).
const MAX_TRANSMISSIONS: NonZeroU8 = NonZeroU8::new(10).unwrap();

/// The most members that a node keeps: twice the 4,900 nodes of the largest fleet that is planned, as while a whole fleet
/// runs beside the one that it replaces. docs/membership.md has what each costs.
pub const MAX_MEMBERS: usize = 2 * 4_900;

/// What a member is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The cluster's name: others' datagrams are dropped.
    pub cluster: String,
    /// How many nodes are configured.
    pub fleet_size: usize,
    /// How often a member probes another.
    pub probe_period: Duration,
    /// How long it waits for the answer before it asks others to probe; well under half of a period.
    pub probe_timeout: Duration,
    /// No more members than this are kept.
    pub max_members: usize,
    /// Whether the node doubts itself (Lifeguard's idea) and calls a suspect before it takes others for dead; without it,
    /// for comparison alone, time-outs are what they are, and those of a stop come due at its end.
    pub local_health: bool,
}

impl Settings {
    /// The usual ones: a probe a second, 300 ms for its answer (peers' messages take up to 14 ms each way), as many
    /// members as are kept at all.
    pub fn with_defaults(cluster: &str, fleet_size: usize) -> Self {
        Settings {
            cluster: cluster.into(),
            fleet_size,
            probe_period: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(300),
            max_members: MAX_MEMBERS,
            local_health: true,
        }
    }
}

/// SWIM's settings for a fleet of so many members. What a node sends is the same at every size.
pub(super) fn config(settings: &Settings, members: usize) -> foca::Config {
    let factors = (members as f64).log10().max(1.0);
    let few = |frequency, num_members| {
        let num_members = NonZeroUsize::new(num_members).unwrap_or(NonZeroUsize::MIN);
        Some(PeriodicParams { frequency, num_members })
    };
    foca::Config {
        probe_period: settings.probe_period,
        probe_rtt: settings.probe_timeout,
        num_indirect_probes: INDIRECT_PROBES,
        max_transmissions: MAX_TRANSMISSIONS,
        suspect_to_down_after: settings.probe_period.mul_f64(SUSPICION_PERIODS * factors),
        remove_down_after: TOMBSTONE_TTL,
        max_packet_size: NonZeroUsize::new(BODY).unwrap_or(NonZeroUsize::MIN),
        notify_down_members: true,
        periodic_announce: few(settings.probe_period * 30, 1),
        periodic_announce_to_down_members: few(settings.probe_period * 5, 2),
        periodic_gossip: few(settings.probe_period / 4, 2),
    }
}
