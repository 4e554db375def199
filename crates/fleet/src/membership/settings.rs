//! What a member is told, and SWIM's settings that follow from it.

use super::leavers::REMEMBERED;
use crate::wire::BODY;
use foca::PeriodicParams;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// A suspect is dead after so many periods for each factor of ten members (memberlist's rule, with half its multiple:
/// the fleet's periods are short beside its deadlines for knowing).
const SUSPICION: f64 = 2.0;
/// Members asked to probe in one's stead (SWIM's k).
const INDIRECT: NonZeroUsize = NonZeroUsize::new(3).unwrap();
/// Times that each piece of news is passed on by each member (foca's advice for large clusters is 15).
const PASSED_ON: NonZeroU8 = NonZeroU8::new(10).unwrap();

/// What a member is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The cluster's name: others' datagrams are dropped.
    pub cluster: String,
    /// How many nodes are configured.
    pub tier: usize,
    /// How often a member probes another.
    pub period: Duration,
    /// How long it waits for the answer before it asks others to probe; well under half of a period.
    pub patience: Duration,
    /// No more members than this are kept.
    pub most: usize,
    /// Whether the node doubts itself (Lifeguard's idea) and calls a suspect before it takes others for dead; without it,
    /// for comparison alone, time-outs are what they are, and those of a stop come due at its end.
    pub doubts_itself: bool,
}

impl Settings {
    /// The usual ones: a probe a second, 300 ms for its answer (peers' messages take up to 14 ms each way), 2,000 members.
    pub fn usual(cluster: &str, tier: usize) -> Self {
        Settings {
            cluster: cluster.into(),
            tier,
            period: Duration::from_secs(1),
            patience: Duration::from_millis(300),
            most: 2_000,
            doubts_itself: true,
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
        probe_period: settings.period,
        probe_rtt: settings.patience,
        num_indirect_probes: INDIRECT,
        max_transmissions: PASSED_ON,
        suspect_to_down_after: settings.period.mul_f64(SUSPICION * factors),
        remove_down_after: REMEMBERED,
        max_packet_size: NonZeroUsize::new(BODY).unwrap_or(NonZeroUsize::MIN),
        notify_down_members: true,
        periodic_announce: few(settings.period * 30, 1),
        periodic_announce_to_down_members: few(settings.period * 5, 2),
        periodic_gossip: few(settings.period / 4, 2),
    }
}
