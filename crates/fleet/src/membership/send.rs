//! Datagrams that a member makes, but for SWIM's own bodies.

use super::{Membership, Output};
use crate::identity::Address;
use crate::wire::Head;
use rand::seq::IndexedRandom;

/// A body that is SWIM's, and the two that make a newcomer and a member known to each other: SWIM sends to identities,
/// and a newcomer knows only addresses.
pub(super) const SWIM: u8 = 0;
pub(super) const HELLO: u8 = 1;
pub(super) const WELCOME: u8 = 2;
/// Its sender wants a page of the other's list of members, and here it is.
pub(super) const ASK: u8 = 3;
pub(super) const PAGE: u8 = 4;
/// Addresses that a newcomer tries in a period, and a member in ten: those may be of a part that was cut off.
const JOIN_ATTEMPTS: usize = 3;

impl Membership {
    /// Calls at some of the addresses where others may be: at each turn while it knows nobody, and now and then later, at
    /// those where it knows nobody.
    pub(super) fn probe_unknown(&mut self, out: &mut Vec<Output>) {
        self.turns += 1;
        let alone = self.members.is_empty();
        if !alone && self.turns % 10 != 0 {
            return;
        }
        let known: std::collections::BTreeSet<_> =
            self.members.values().map(|member| member.address).collect();
        let unknown: Vec<_> = self.seeds.iter().filter(|address| !known.contains(address)).copied().collect();
        let some: Vec<_> = unknown.choose_multiple(&mut self.random, JOIN_ATTEMPTS).copied().collect();
        for to in some {
            self.send_identity(HELLO, to, out);
        }
    }

    pub(super) fn send_identity(&mut self, kind: u8, to: Address, out: &mut Vec<Output>) {
        if let Ok(body) = postcard::to_allocvec(&self.me) {
            self.send(kind, to, &body, out);
        }
    }

    pub(super) fn send(&mut self, kind: u8, to: Address, body: &[u8], out: &mut Vec<Output>) {
        self.sequence += 1;
        let head = Head {
            cluster: self.cluster,
            sequence: self.sequence,
            digest: self.digest,
            members: (self.members.len() + 1).min(usize::from(u16::MAX)) as u16,
            phase: self.phase,
        };
        let mut data = head.write(body);
        data[3] = kind;
        self.counters.sent += 1;
        self.counters.sent_bytes += data.len() as u64;
        out.push(Output::Send { to, data });
    }
}
