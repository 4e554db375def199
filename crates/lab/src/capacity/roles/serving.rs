//! What serves requests in a node.

use super::costs::*;
use super::{Kind, Line, Role};
use crate::capacity::decisions::{connections, retries};
use crate::capacity::size::Capacity;
use crate::capacity::table::number;

fn held_by_node(capacity: &Capacity) -> f64 {
    connections::held_by_server(COMPARED, capacity.meeting(COMPARED).rate(), kept_s(capacity))
}

fn dials_per_s(capacity: &Capacity) -> f64 {
    let meeting = capacity.meeting(COMPARED);
    meeting.per_node_s * connections::share_that_dials(meeting.rate(), kept_s(capacity))
}

const FRONT: &[Line] = &[
    line(Kind::State, "client connections", ""),
    line(Kind::Messages, "requests", "1/s")
        .form(Capacity::per_node_s, |it| over(it.fleet.requests_per_s, it.fleet.nodes)),
    line(Kind::Processor, "the requests", "core"),
    line(Kind::Memory, "buffers of the connections", "B"),
];

const BACKEND: &[Line] = &[
    line(Kind::State, "connections, 64 servers used", "")
        .form(held_by_node, |it| format!("64 x (1 - {})", dialling(it))),
    line(Kind::State, "places by server, all listed", "B"),
    line(Kind::Messages, "new connections, 64 servers used", "1/s")
        .form(dials_per_s, |it| format!("{} x {}", number(it.per_node_s()), dialling(it))),
    line(Kind::Processor, "the sweep over all places", "core"),
    line(Kind::Memory, "connections and buffers", "B"),
];

const PROBING: &[Line] = &[
    line(Kind::State, "probes out for one held request", "").form(|_| 2.0, |_| "two at a time".to_owned()),
    line(Kind::Messages, "probes at most", "1/s")
        .form(probes_per_s, |it| times(probes_per_s(it) / it.per_node_s(), it.per_node_s())),
    line(Kind::Processor, "probes", "core"),
    line(Kind::Memory, "probes out", "B"),
];

const RETRIES: &[Line] = &[
    line(Kind::State, "tokens at most", "").form(|_| 2.0 / retries::BUDGET, |_| over(2.0, retries::BUDGET)),
    line(Kind::Messages, "further attempts at most", "1/s")
        .form(|it| retries::BUDGET * it.per_node_s(), |it| times(retries::BUDGET, it.per_node_s())),
    line(Kind::Processor, "further attempts", "core"),
    line(Kind::Memory, "bodies kept for a repeat", "B"),
];

const COLD: &[Line] = &[
    line(Kind::State, "cold servers that a node draws for at most", "")
        .form(|_| 2.0 * COMPARED, |_| "2 x 64".to_owned()),
    line(Kind::Messages, "what a server gets at its start, all nodes, against what is allowed", "1/s")
        .bound(|it| it.cold_server().allowed(0.0) / it.assumed.overload_time_s)
        .form(
            |it| it.cold_server().sent(0.0) / it.assumed.overload_time_s,
            |it| {
                let allowed = over(it.cold_server().allowed(0.0), it.assumed.overload_time_s);
                format!("0.8 x {} x {allowed}", number(it.assumed.load))
            },
        ),
    line(Kind::Processor, "draws, at each request", "core"),
    line(Kind::Memory, "within the server table", "B")
        .form(|_| 0.0, |_| "two times a server, in its entry".to_owned()),
];

const ZONES: &[Line] = &[
    line(Kind::State, "zones", "").form(|it| it.fleet.zones, |it| number(it.fleet.zones)),
    line(Kind::Messages, "none", "1/s").form(|_| 0.0, |_| "it sends nothing".to_owned()),
    line(Kind::Processor, "the look over all servers, eight times in an overload", "core"),
    line(Kind::Memory, "by zone", "B"),
];

/// The roles, in the order of the page.
pub const ROLES: &[Role] = &[
    Role {
        name: "front side",
        mechanism: "`src/bin/sillward/frontend.rs`; bounded by `limits`",
        lines: FRONT,
    },
    Role {
        name: "backend side",
        mechanism: "`src/bin/sillward/backend.rs`; bounded by `limits.sockets`",
        lines: BACKEND,
    },
    Role {
        name: "probing",
        mechanism: "`src/policy/selection.rs`, `src/bin/sillward/backend.rs`; paid for by requests",
        lines: PROBING,
    },
    Role {
        name: "retries and copies",
        mechanism: "`src/policy/retry.rs`, `src/policy/dispatch.rs`; one budget a node",
        lines: RETRIES,
    },
    Role { name: "cold ramp", mechanism: "`src/policy/slow_start.rs`", lines: COLD },
    Role { name: "zones", mechanism: "`src/policy/zones.rs`, off in `run`", lines: ZONES },
];
