//! What a node knows of the others, as the operators' calls show it. It only looks.

use hillpick_fleet::{Agreement, Identity, Membership};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// What the node knows of the others: shared with the operators' calls, which only look.
#[derive(Clone, Default)]
pub struct MembershipView(pub(super) Rc<RefCell<Option<(Membership, Instant)>>>);

impl MembershipView {
    /// All of it, as JSON; `None` where there is no membership.
    pub fn to_json(&self) -> Option<Value> {
        let mut view = self.0.borrow_mut();
        let (core, begun) = view.as_mut()?;
        let now = begun.elapsed();
        let agreement = core.agreement(now);
        let identity = |who: &Identity| {
            json!({"name": who.name.to_string(), "address": who.address.to_string(), "zone": who.zone,
                "started_ms": who.started_ms, "renewed": who.renewed, "program": who.program_version})
        };
        let members: Vec<_> = core
            .members(now)
            .iter()
            .map(|member| {
                let mut told = identity(&member.identity);
                told["state"] = json!(if member.suspect { "suspect" } else { "alive" });
                told["incarnation"] = json!(member.incarnation);
                told["heard_ms_ago"] = json!(member.heard_ago.map(|ago| ago.as_millis() as u64));
                told
            })
            .collect();
        let departed: Vec<_> = core
            .departed(now)
            .map(|(who, cause, ago)| {
                let mut told = identity(who);
                told["cause"] = json!(format!("{cause:?}").to_lowercase());
                told["ms_ago"] = json!(ago.as_millis() as u64);
                told
            })
            .collect();
        let counters = core.counters();
        let rejected: serde_json::Map<_, _> =
            counters.rejected.iter().map(|(why, count)| (why.to_string(), json!(count))).collect();
        Some(json!({
            "self": identity(core.local_identity()),
            "phase": format!("{:?}", core.phase()).to_lowercase(),
            "displaced_by": core.displaced_by().map(identity),
            "health": core.health().score(),
            "agreement": told_of(&agreement, now),
            "members": members,
            "departed": departed,
            "counters": {"sent": counters.sent, "sent_bytes": counters.sent_bytes, "heard": counters.received,
                "rejected": rejected, "doubted": counters.suspected, "renewed": counters.renewed,
                "spared": counters.suspicions_cleared, "failed": counters.failed, "left": counters.left}
        }))
    }
}

fn told_of(agreement: &Agreement, now: Duration) -> Value {
    json!({
        "certainty": format!("{:?}", agreement.certainty).to_lowercase(),
        "for_ms": now.saturating_sub(agreement.since).as_millis() as u64,
        "share": agreement.agreeing_share,
        "heard": agreement.peers_heard,
        "members": agreement.members,
        "could_be_alive": agreement.could_be_alive,
        "digest": format!("{:016x}", agreement.digest)
    })
}
