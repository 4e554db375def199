//! The control side of a node.

use super::costs::*;
use super::{Kind, Line, Role};
use crate::capacity::first_look;
use crate::capacity::size::{Capacity, DAY_S};
use crate::capacity::table::number;

/// Members that a node keeps (`MAX_PEERS` in `src/control/config.rs`).
const MOST_PEERS: f64 = hillpick::control::config::MAX_PEERS as f64;
/// The longest saved file (`MAX_FILE_BYTES` in `src/control/saved_file.rs`), in bytes.
const LONGEST_FILE: f64 = (4 << 20) as f64;
/// A place of the ring (`Balancer::ready_ring`), in bytes: its point and the server's place.
const RING_PLACE: f64 = 16.0;
/// An allowance (`Allowance` in `src/state.rs`), in bytes: what is left, and when that was reckoned.
const ALLOWANCE: f64 = 24.0;
/// Shares of attempts in time by crowding (`Balancer::in_time_by_load`), 64 of 8 bytes.
const IN_TIME: f64 = 512.0;
/// What a member takes where 200 are known (`crates/fleet/tests/memory.rs` prints it; docs/membership.md), in bytes.
const MEMBER: f64 = 306.0;
/// What a node sends for membership at 300 nodes (docs/membership.md), in bytes a second.
pub const MEMBERSHIP_BYTES: f64 = 157.0;

/// What servers, tenants and routes add to an empty node, by the lines of the first look: slopes and full sizes.
fn first_look_parts(capacity: &Capacity) -> [(f64, f64); 3] {
    let fleet = &capacity.fleet;
    [
        (first_look::memory_by_servers(capacity).slope, fleet.servers),
        (first_look::memory_by_tenants(capacity).slope, fleet.tenants),
        (first_look::memory_by_routes(capacity).slope, fleet.routes),
    ]
}

fn first_look_memory(capacity: &Capacity) -> f64 {
    first_look_parts(capacity).iter().map(|(slope, full)| slope * full * MB).sum()
}

fn first_look_memory_how(capacity: &Capacity) -> String {
    let [servers, tenants, routes] = first_look_parts(capacity).map(|(slope, full)| times(slope, full));
    format!("({servers} + {tenants} + {routes}) MB")
}

/// Servers of a zone.
fn zone(capacity: &Capacity) -> f64 {
    capacity.fleet.servers / capacity.fleet.zones
}

fn zone_in_one_second(capacity: &Capacity) -> f64 {
    first_look::processor_by_servers(capacity).slope * zone(capacity)
}

const WHOLE: &[Line] = &[
    line(Kind::State, "resident memory of the structures alone", "B")
        .bound(memory)
        .run("hollow node", "resident memory of the structures"),
    line(Kind::Memory, "resident memory over an empty node: servers, tenants and routes", "B")
        .bound(memory)
        .run("real node", "resident memory")
        .over_an_empty_node()
        .first_look(first_look_memory, first_look_memory_how),
    line(Kind::Memory, "peak over an empty node", "B")
        .bound(memory)
        .run("real node", "peak memory")
        .over_an_empty_node(),
    line(Kind::Processor, "a real node, control and some requests, mean", "core")
        .run("real node", "processor"),
    line(Kind::Processor, "control, mean", "core").bound(core_share).run("hollow node", "processor"),
    line(Kind::Processor, "control, worst second", "core")
        .bound(core_share)
        .run("hollow node", "processor, worst second"),
    line(Kind::Processor, "until a restarted node is ready, last of the restarted", "s")
        .bound(ready)
        .run("hollow node", "ready after restart, 100 %"),
    line(Kind::Processor, "until a real node is ready after its start", "s")
        .bound(ready)
        .run("real node", "ready after start"),
    line(Kind::Messages, "a change of the list in force at all nodes, worst change", "s")
        .bound(in_force)
        .run("hollow node", "change of the list in force at 100 % of the nodes, worst change"),
    line(Kind::Messages, "settings in force at all nodes, worst change", "s")
        .bound(in_force)
        .run("hollow node", "settings in force at 100 % of the nodes, worst change"),
    line(Kind::Messages, "added to 99 in 100 requests while the whole list comes", "s")
        .bound(|it| it.bounds.added_ms / 1e3),
];

const DISCOVERY: &[Line] = &[
    line(Kind::State, "when each server started", "B")
        .bound(memory)
        .run("hollow node", "state of the discovery client"),
    line(Kind::Messages, "the whole list at the 10 KB a second until ready, if it counts", "s")
        .bound(ready)
        .form(
            |it| first_look::whole_list_bytes(it) / it.bounds.control_bytes_per_s,
            |it| over(first_look::whole_list_bytes(it), it.bounds.control_bytes_per_s),
        ),
    line(Kind::Messages, "changes of the list, mean of the day", "B/s")
        .bound(bytes_per_s)
        .form(list_bytes_per_s, |it| times(it.list_changes_per_s(), first_look::bytes_a_server(it)) + " B"),
    line(Kind::Messages, "changes of the list, bytes in", "B/s")
        .bound(bytes_per_s)
        .run("hollow node", "bytes of lists of changes in"),
    line(Kind::Messages, "whole lists, bytes in", "B/s")
        .bound(bytes_per_s)
        .run("hollow node", "bytes of whole lists in"),
    line(Kind::Processor, "taking in the whole list, of the time until ready", "s").bound(ready).first_look(
        |it| first_look::processor_by_servers(it).at(it.fleet.servers),
        |it| along(first_look::processor_by_servers(it), it.fleet.servers),
    ),
    line(Kind::Memory, "peak over steady while the list comes", "B"),
];

const SERVER_TABLE: &[Line] = &[
    line(Kind::State, "bytes by structure", "B")
        .bound(memory)
        .run("hollow node", "state of the server table"),
    line(Kind::Messages, "changes taken in a second, mean of the day", "1/s").form(
        Capacity::list_changes_per_s,
        |it| {
            let events = format!("(2 x {} + 3 x {})", number(it.day.failures), number(it.day.restarts));
            format!("{events} x {}", over(it.part_of_servers(), DAY_S))
        },
    ),
    line(Kind::Processor, "a zone gone, taken in within one second", "core").bound(core_share).first_look(
        zone_in_one_second,
        |it| {
            format!("{} s x {}", number(first_look::processor_by_servers(it).slope), number(zone(it).round()))
        },
    ),
    line(Kind::Memory, "resident memory by servers", "B")
        .bound(memory)
        .run("real node", "resident memory")
        .along("servers")
        .first_look(
            |it| first_look::memory_by_servers(it).at(it.fleet.servers) * MB,
            |it| format!("({}) MB", along(first_look::memory_by_servers(it), it.fleet.servers)),
        ),
];

const SELECTION: &[Line] = &[
    line(Kind::State, "the ring", "B").bound(memory).form(
        |it| RING_PLACE * it.fleet.servers,
        |it| format!("{} B x {}", number(RING_PLACE), number(it.fleet.servers)),
    ),
    line(Kind::State, "shares in time by crowding", "B").form(|_| IN_TIME, |_| "64 x 8 B".to_owned()),
    line(Kind::Messages, "none", "1/s").form(|_| 0.0, |_| "it sends nothing".to_owned()),
    line(Kind::Processor, "a choice at full size", "s"),
    line(Kind::Memory, "as its state", "B").form(
        |it| RING_PLACE * it.fleet.servers + IN_TIME,
        |it| format!("{} B x {} + {} B", number(RING_PLACE), number(it.fleet.servers), number(IN_TIME)),
    ),
];

const SETTINGS: &[Line] = &[
    line(Kind::State, "the configuration", "B")
        .bound(memory)
        .run("hollow node", "state of the configuration"),
    line(Kind::Messages, "the settings file, at 10 KB a second, against in force, if it counts", "s")
        .bound(in_force)
        .form(
            |it| it.settings_bytes() / it.bounds.control_bytes_per_s,
            |it| over(it.settings_bytes(), it.bounds.control_bytes_per_s),
        ),
    line(Kind::Messages, "whole settings for each change of the day, mean", "B/s").bound(bytes_per_s).form(
        |it| it.settings_bytes() * it.day.changes / DAY_S,
        |it| format!("{} B x {}", number(it.settings_bytes()), over(it.day.changes, DAY_S)),
    ),
    line(Kind::Processor, "taking in settings", "s"),
    line(Kind::Memory, "resident memory by routes", "B")
        .bound(memory)
        .run("real node", "resident memory")
        .along("routes")
        .first_look(
            |it| first_look::memory_by_routes(it).at(it.fleet.routes) * MB,
            |it| format!("({}) MB, two points", along(first_look::memory_by_routes(it), it.fleet.routes)),
        ),
];

const TENANTS: &[Line] = &[
    line(Kind::State, "allowances", "B").bound(memory).form(
        |it| ALLOWANCE * it.fleet.tenants,
        |it| format!("{} B x {}", number(ALLOWANCE), number(it.fleet.tenants)),
    ),
    line(Kind::State, "routes and tenants in the module", "B")
        .bound(memory)
        .run("hollow node", "state of routes and tenants"),
    line(Kind::Messages, "between nodes", "1/s").form(|_| 0.0, |_| "it sends nothing".to_owned()),
    line(Kind::Processor, "taking in all tenants at the start", "s"),
    line(Kind::Memory, "resident memory by tenants", "B")
        .bound(memory)
        .run("real node", "resident memory")
        .along("tenants")
        .first_look(
            |it| first_look::memory_by_tenants(it).at(it.fleet.tenants) * MB,
            |it| format!("({}) MB, two points", along(first_look::memory_by_tenants(it), it.fleet.tenants)),
        ),
];

const MEMBERSHIP: &[Line] = &[
    line(Kind::State, "members, against those that a node keeps", "")
        .bound(|_| MOST_PEERS)
        .form(|it| it.fleet.nodes, |it| number(it.fleet.nodes)),
    line(Kind::State, "bytes by structure", "B").bound(memory).run("hollow node", "state of the membership"),
    line(Kind::Messages, "datagrams out", "B/s")
        .bound(bytes_per_s)
        .run("hollow node", "bytes of datagrams out"),
    line(Kind::Messages, "datagrams out, as at 300 nodes", "B/s")
        .bound(bytes_per_s)
        .earlier(|_| MEMBERSHIP_BYTES, |_| "docs/membership.md: no growth with the tier".to_owned()),
    line(Kind::Processor, "probes and gossip", "core"),
    line(Kind::Memory, "members", "B").bound(memory).earlier(
        |it| MEMBER * it.fleet.nodes,
        |it| format!("{} B x {} (docs/membership.md)", number(MEMBER), number(it.fleet.nodes)),
    ),
];

const SAVED: &[Line] = &[
    line(Kind::State, "the whole list, against the longest file", "B")
        .bound(|_| LONGEST_FILE)
        .form(first_look::whole_list_bytes, whole_list),
    line(Kind::Messages, "none", "1/s").form(|_| 0.0, |_| "it sends nothing".to_owned()),
    line(Kind::Processor, "writing it, off the thread that serves", "core"),
    line(Kind::Memory, "its text while it is written", "B"),
];

const HAND_OVER: &[Line] = &[
    line(Kind::State, "processes at a time", "").form(|_| 2.0, |_| "old and new".to_owned()),
    line(Kind::Messages, "whole lists for one upgrade", "")
        .form(|_| 1.0, |_| "the new process asks for all".to_owned()),
    line(Kind::Processor, "the new process's start beside the old one's requests", "core"),
    line(Kind::Memory, "both processes, over two empty ones", "B")
        .bound(memory)
        .run("real node", "resident memory")
        .over_an_empty_node()
        .twice()
        .first_look(|it| 2.0 * first_look_memory(it), |it| format!("2 x {}", first_look_memory_how(it))),
];

/// The roles, in the order of the page.
pub const ROLES: &[Role] = &[
    Role {
        name: "a node in all",
        mechanism: "`src/control/`, `src/state.rs`, `src/control/server_table/`",
        lines: WHOLE,
    },
    Role {
        name: "discovery client",
        mechanism: "`src/control/discovery/`; resumed from a saved list: none yet",
        lines: DISCOVERY,
    },
    Role {
        name: "server table",
        mechanism: "`src/policy/subset.rs`, `src/control/server_table/`, `src/state.rs`",
        lines: SERVER_TABLE,
    },
    Role {
        name: "selection state",
        mechanism: "`src/policy/selection.rs` compares 64 at most; `src/state.rs` holds the ring of those held",
        lines: SELECTION,
    },
    Role {
        name: "routes and settings",
        mechanism: "`src/settings.rs`, `src/control/config.rs`, whole at each start and SIGHUP; by changes: none yet",
        lines: SETTINGS,
    },
    Role {
        name: "tenants and limits",
        mechanism: "`src/policy/request_value.rs`, all tenants in even parts; made on use, given to the nodes that see them: none yet",
        lines: TENANTS,
    },
    Role {
        name: "membership",
        mechanism: "`crates/fleet/`, `src/control/peers.rs`, off in `run`",
        lines: MEMBERSHIP,
    },
    Role { name: "saved files", mechanism: "`src/control/saved_file.rs`, whole each time", lines: SAVED },
    Role { name: "hand-over", mechanism: "`src/bin/sillward/handover.rs`", lines: HAND_OVER },
];
