//! Sending of datagrams. The bodies of SWIM messages are made by foca.

use super::{Membership, Output};
use crate::identity::Address;
use crate::wire::{Header, KIND_OFFSET};
use rand::seq::IndexedRandom;

/// The kind of a body that is a SWIM message.
pub(super) const KIND_SWIM: u8 = 0;
/// The kind of a body that only tells the sender's identity, and asks for the receiver's. SWIM sends to
/// identities, and a newcomer knows only addresses.
pub(super) const KIND_HELLO: u8 = 1;
/// The kind of the answer to a hello: it tells the sender's identity.
pub(super) const KIND_WELCOME: u8 = 2;
/// The kind of a request for a page of the receiver's member list.
pub(super) const KIND_PAGE_REQUEST: u8 = 3;
/// The kind of the answer to a page request.
pub(super) const KIND_PAGE: u8 = 4;
/// The number of seeds that are contacted at a time.
const SEEDS_PER_ATTEMPT: usize = 3;
/// Once a node has members, it contacts the seeds at whose addresses it knows none in every tenth period
/// only: they may be in another partition.
const SEED_CONTACT_PERIODS: u64 = 10;

impl Membership {
    /// Contacts some of the seeds at whose addresses no member is known: in every period while there are no
    /// members, and in every tenth period later.
    pub(super) fn contact_seeds(&mut self, out: &mut Vec<Output>) {
        self.periods += 1;
        let alone = self.members.is_empty();
        if !alone && self.periods % SEED_CONTACT_PERIODS != 0 {
            return;
        }
        let known: std::collections::BTreeSet<_> =
            self.members.values().map(|member| member.address).collect();
        let unknown: Vec<_> = self.seeds.iter().filter(|address| !known.contains(address)).copied().collect();
        let targets: Vec<_> = unknown.choose_multiple(&mut self.random, SEEDS_PER_ATTEMPT).copied().collect();
        for to in targets {
            self.send_identity(KIND_HELLO, to, out);
        }
    }

    /// Sends a body that holds only this node's identity.
    pub(super) fn send_identity(&mut self, kind: u8, to: Address, out: &mut Vec<Output>) {
        if let Ok(body) = postcard::to_allocvec(&self.local) {
            self.send(kind, to, &body, out);
        }
    }

    /// Sends a body of a kind, behind a header.
    pub(super) fn send(&mut self, kind: u8, to: Address, body: &[u8], out: &mut Vec<Output>) {
        self.sequence += 1;
        let header = Header {
            cluster: self.cluster_hash,
            sequence: self.sequence,
            digest: self.digest,
            members: (self.members.len() + 1).min(usize::from(u16::MAX)) as u16,
            phase: self.phase,
        };
        let mut data = header.encode(body);
        data[KIND_OFFSET] = kind;
        self.counters.sent += 1;
        self.counters.sent_bytes += data.len() as u64;
        out.push(Output::Send { to, data });
    }
}
