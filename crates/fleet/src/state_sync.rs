//! State sync: a member whose view is incomplete or differs asks another for its list of live members, one
//! page in the order of names at a time. By gossip alone each member would pass on every newcomer ten times,
//! which leaves no room for refutations of suspicions when a thousand nodes start together.
//!
//! This file holds the format of pages and the limits on how many are requested and sent. It does not apply
//! them to a view.

use crate::identity::{Identity, Name};
use crate::wire::{MAX_BODY_BYTES, Rejected};
use serde::{Deserialize, Serialize};

/// The pages requested in a probe period, as long as each brings something new: a list of 4,900 members takes
/// some twenty periods, at no more than 8 KB in a period whatever the size of the fleet.
const MAX_REQUESTS_PER_PERIOD: u32 = 32;
/// The pages sent in a probe period: enough for two members that request as many as they may.
const MAX_PAGES_PER_PERIOD: u32 = 64;

/// An upper bound on the members in a page: the shortest identity takes 12 bytes. It is one more than can
/// fit, so that the writer of a page sees whether the list ends there.
pub const MAX_PAGE_MEMBERS: usize = MAX_BODY_BYTES / 12 + 1;

/// A request for the page that follows a name. In the body it stands after the sender's identity.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct PageRequest {
    /// The last name of the previous page; none for the first page.
    pub after: Option<Name>,
}

/// Some of the sender's live members, in the order of their names.
#[derive(Debug, PartialEq)]
pub struct Page {
    /// The members, each with its SWIM incarnation.
    pub members: Vec<(Identity, u16)>,
    /// Whether the list ends with this page.
    pub last: bool,
}

impl Page {
    /// Encodes a body: the sender's identity, and as many of the members as fit. `members` come in the order
    /// of names, from the first one wanted. The result is at most [`MAX_BODY_BYTES`] long.
    pub fn encode<'a>(sender: &Identity, members: impl Iterator<Item = (&'a Identity, u16)>) -> Vec<u8> {
        let mut body = postcard::to_allocvec(sender).unwrap_or_default();
        let last_flag = body.len();
        body.push(1);
        for member in members {
            let Ok(bytes) = postcard::to_allocvec(&member) else { continue };
            if body.len() + bytes.len() > MAX_BODY_BYTES {
                body[last_flag] = 0;
                break;
            }
            body.extend(bytes);
        }
        body
    }

    /// Decodes what follows the sender's identity in a body.
    pub fn decode(body: &[u8]) -> Result<Self, Rejected> {
        let (last, mut rest) = match body {
            [flag @ (0 | 1), rest @ ..] => (*flag == 1, rest),
            [] => return Err(Rejected::Truncated),
            _ => return Err(Rejected::Garbage),
        };
        let mut members = Vec::new();
        while !rest.is_empty() {
            let (member, remaining) = postcard::take_from_bytes(rest).map_err(crate::wire::decode_error)?;
            members.push(member);
            rest = remaining;
        }
        Ok(Page { members, last })
    }
}

/// How far this node has read through other members' lists, and how many pages it has requested and sent in
/// this period.
#[derive(Debug, Default)]
pub struct StateSync {
    /// The last name of the page received last. The next request continues there whichever member it goes to,
    /// so that small differences between lists are found too.
    resume_after: Option<Name>,
    requested: u32,
    sent: u32,
}

impl StateSync {
    /// Resets the counts at the start of a probe period.
    pub fn start_period(&mut self) {
        (self.requested, self.sent) = (0, 0);
    }

    /// The next page to request; `None` once this period's limit is reached.
    pub fn next_request(&mut self) -> Option<PageRequest> {
        self.requested += 1;
        (self.requested <= MAX_REQUESTS_PER_PERIOD).then_some(PageRequest { after: self.resume_after })
    }

    /// Whether another page may be sent in this period; counts it.
    pub fn may_send_page(&mut self) -> bool {
        self.sent += 1;
        self.sent <= MAX_PAGES_PER_PERIOD
    }

    /// Moves on past a page that was received; after the last page the next request starts the list over.
    pub fn advance_past(&mut self, page: &Page) {
        self.resume_after = page.members.last().filter(|_| !page.last).map(|(identity, _)| identity.name);
    }
}

#[cfg(test)]
mod tests;
