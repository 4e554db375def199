//! Views in bulk: a member that knows fewer asks another for its list of the living, a page of names at a time. Gossip
//! alone spends ten tellings of each newcomer by each member on that, which at a thousand that start together leaves no
//! room for denials of suspicion. This file holds the form of pages and who may ask how much; it applies none.

use crate::identity::{Identity, Name};
use crate::wire::{BODY, Rejected};
use serde::{Deserialize, Serialize};

/// Pages asked for in a probe period, while each teaches something: a list of 4,900 in some twenty periods, and no more
/// than 8 KB a period at any size.
const MAX_PAGE_REQUESTS: u32 = 32;
/// Pages given in a period: to two who ask at full speed.
const MAX_PAGES_SENT: u32 = 64;

/// No more members than this fit a page: the shortest identity takes 12 bytes. One more, so that a page knows whether
/// it is the last.
pub const MAX_PAGE_MEMBERS: usize = BODY / 12 + 1;

/// A body that begins with its sender and goes on with this: the page that comes after a name.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// The last name of the page before; none for the first page.
    pub after: Option<Name>,
}

/// Some of the sender's living members, in the order of names.
#[derive(Debug, PartialEq)]
pub struct Page {
    /// The members, with SWIM's incarnation of each.
    pub members: Vec<(Identity, u16)>,
    /// Whether it ends the list.
    pub last: bool,
}

impl Page {
    /// A body: its sender, and as many of the members as fit. `members` come in the order of names, from the first
    /// that is wanted. Never longer than a body may be.
    pub fn write<'a>(sender: &Identity, members: impl Iterator<Item = (&'a Identity, u16)>) -> Vec<u8> {
        let mut body = postcard::to_allocvec(sender).unwrap_or_default();
        let flag = body.len();
        body.push(1);
        for member in members {
            let Ok(bytes) = postcard::to_allocvec(&member) else { continue };
            if body.len() + bytes.len() > BODY {
                body[flag] = 0;
                break;
            }
            body.extend(bytes);
        }
        body
    }

    /// What follows the sender in a body.
    pub fn read(body: &[u8]) -> Result<Self, Rejected> {
        let (last, mut rest) = match body {
            [flag @ (0 | 1), rest @ ..] => (*flag == 1, rest),
            [] => return Err(Rejected::Truncated),
            _ => return Err(Rejected::Garbage),
        };
        let mut members = Vec::new();
        while !rest.is_empty() {
            let (member, after) = postcard::take_from_bytes(rest).map_err(crate::wire::decode_error)?;
            members.push(member);
            rest = after;
        }
        Ok(Page { members, last })
    }
}

/// How far this node is through others' lists, and what is left of its allowances in this period.
#[derive(Debug, Default)]
pub struct Pages {
    /// The last name of the page that came last. It moves on whoever is asked, so that small differences are found too.
    after: Option<Name>,
    asked: u32,
    given: u32,
}

impl Pages {
    /// A probe period has begun.
    pub fn renew(&mut self) {
        (self.asked, self.given) = (0, 0);
    }

    /// The next page to ask for; `None` when this period's allowance is spent.
    pub fn ask(&mut self) -> Option<Ask> {
        self.asked += 1;
        (self.asked <= MAX_PAGE_REQUESTS).then_some(Ask { after: self.after })
    }

    /// Whether another may be given a page.
    pub fn may_give(&mut self) -> bool {
        self.given += 1;
        self.given <= MAX_PAGES_SENT
    }

    /// A page has come: the next one begins after it.
    pub fn came(&mut self, page: &Page) {
        self.after = page.members.last().filter(|_| !page.last).map(|(identity, _)| identity.name);
    }
}

#[cfg(test)]
mod tests;
