//! The settings of a member, and foca's configuration that follows from them.

use super::graceful_leave::TOMBSTONE_TTL;
use crate::wire::MAX_BODY_BYTES;
use foca::PeriodicParams;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// The suspicion timeout is this many probe periods times the decimal logarithm of the number of members:
/// memberlist's rule with half its multiplier, since the fleet's probe periods are short against the time
/// within which a failure must be known.
const SUSPICION_PERIODS: f64 = 2.0;
/// The number of members that are asked for an indirect probe (SWIM's k).
const INDIRECT_PROBES: NonZeroUsize = NonZeroUsize::new(3).unwrap();
/// How often each member passes on each update (foca suggests 15 for very large clusters).
const MAX_TRANSMISSIONS: NonZeroU8 = NonZeroU8::new(10).unwrap();

/// The greatest number of members that a node keeps: twice the 4,900 nodes of the largest planned fleet, as
/// when a whole fleet runs beside the one that it replaces. docs/membership.md says what each member costs.
pub const MAX_MEMBERS: usize = 2 * 4_900;

/// The settings of a member.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The cluster's name. Datagrams of other clusters are dropped.
    pub cluster: String,
    /// The number of configured nodes.
    pub fleet_size: usize,
    /// The time from one probe to the next.
    pub probe_period: Duration,
    /// How long a direct ack is awaited before others are asked for an indirect probe; well under half of a
    /// period.
    pub probe_timeout: Duration,
    /// The greatest number of other members that are kept.
    pub max_members: usize,
    /// Whether to use the local health score (Lifeguard), and to contact a suspect directly before it is
    /// declared dead. Without it, which is meant for comparison only, timeouts are constant and those of a
    /// stop all come due at its end.
    pub local_health: bool,
}

impl Settings {
    /// The default settings: one probe a second, 300 ms for its ack (a datagram takes up to 14 ms each way),
    /// and up to [`MAX_MEMBERS`] members.
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

/// Foca's configuration for a view of `members` members. How much a node sends does not depend on that
/// number.
pub(super) fn foca_config(settings: &Settings, members: usize) -> foca::Config {
    let log_members = (members as f64).log10().max(1.0);
    let periodic = |frequency, num_members| {
        let num_members = NonZeroUsize::new(num_members).unwrap_or(NonZeroUsize::MIN);
        Some(PeriodicParams { frequency, num_members })
    };
    foca::Config {
        probe_period: settings.probe_period,
        probe_rtt: settings.probe_timeout,
        num_indirect_probes: INDIRECT_PROBES,
        max_transmissions: MAX_TRANSMISSIONS,
        suspect_to_down_after: settings.probe_period.mul_f64(SUSPICION_PERIODS * log_members),
        remove_down_after: TOMBSTONE_TTL,
        max_packet_size: NonZeroUsize::new(MAX_BODY_BYTES).unwrap_or(NonZeroUsize::MIN),
        notify_down_members: true,
        periodic_announce: periodic(settings.probe_period * 30, 1),
        periodic_announce_to_down_members: periodic(settings.probe_period * 5, 2),
        periodic_gossip: periodic(settings.probe_period / 4, 2),
    }
}
