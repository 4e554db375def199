//! The state of membership as JSON, for `GET /members` of the admin interface. Read-only.

use hillpick_fleet::{Agreement, Identity, Membership};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A read-only handle to the membership core, shared with the admin interface; empty until the node first
/// joins. Times of the core count from the `Instant` beside it.
#[derive(Clone, Default)]
pub struct MembershipView(pub(super) Rc<RefCell<Option<(Membership, Instant)>>>);

impl MembershipView {
    /// The whole state as JSON; `None` where no fleet is configured or the node has not joined yet.
    pub fn to_json(&self) -> Option<Value> {
        let mut view = self.0.borrow_mut();
        let (core, epoch) = view.as_mut()?;
        let now = epoch.elapsed();
        let agreement = core.agreement(now);
        let identity_json = |identity: &Identity| {
            json!({"name": identity.name.to_string(), "address": identity.address.to_string(), "zone": identity.zone,
                "started_ms": identity.started_ms, "renewed": identity.renewed, "program": identity.program_version})
        };
        let members: Vec<_> = core
            .members(now)
            .iter()
            .map(|member| {
                let mut entry = identity_json(&member.identity);
                entry["state"] = json!(if member.suspect { "suspect" } else { "alive" });
                entry["incarnation"] = json!(member.incarnation);
                entry["heard_ms_ago"] = json!(member.heard_ago.map(|ago| ago.as_millis() as u64));
                entry
            })
            .collect();
        let departed: Vec<_> = core
            .departed(now)
            .map(|(identity, cause, ago)| {
                let mut entry = identity_json(identity);
                entry["cause"] = json!(format!("{cause:?}").to_lowercase());
                entry["ms_ago"] = json!(ago.as_millis() as u64);
                entry
            })
            .collect();
        let counters = core.counters();
        let rejected: serde_json::Map<_, _> =
            counters.rejected.iter().map(|(reason, count)| (reason.to_string(), json!(count))).collect();
        Some(json!({
            "self": identity_json(core.local_identity()),
            "phase": format!("{:?}", core.phase()).to_lowercase(),
            "displaced_by": core.displaced_by().map(identity_json),
            "health": core.health().score(),
            "agreement": agreement_json(&agreement, now),
            "members": members,
            "departed": departed,
            "counters": {"sent": counters.sent, "sent_bytes": counters.sent_bytes, "heard": counters.received,
                "rejected": rejected, "doubted": counters.suspected, "renewed": counters.renewed,
                "spared": counters.suspicions_cleared, "failed": counters.failed, "left": counters.left}
        }))
    }
}

fn agreement_json(agreement: &Agreement, now: Duration) -> Value {
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
