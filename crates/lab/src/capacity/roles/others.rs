//! What is not a node: the machines set aside, agents, and a server as it sees the nodes.

use super::costs::*;
use super::{Kind, Line, Role};
use crate::capacity::decisions::connections;
use crate::capacity::first_look;
use crate::capacity::size::{Capacity, DAY_S};
use crate::capacity::table::number;

fn held_by_server(capacity: &Capacity) -> f64 {
    let meeting = capacity.meeting(COMPARED);
    connections::held_by_server(meeting.nodes_per_server(), meeting.rate(), kept_s(capacity))
}

const LIST_SERVERS: &[Line] = &[
    line(Kind::State, "nodes fed by one", "")
        .form(nodes_of_machine, |it| over(it.fleet.nodes, it.fleet.control_machines)),
    line(Kind::Messages, "changes for each node, mean of the day", "B/s").form(
        |it| list_bytes_per_s(it) * nodes_of_machine(it),
        |it| times(list_bytes_per_s(it), nodes_of_machine(it)),
    ),
    line(Kind::Messages, "changes, bytes out", "B/s").run("list server", "bytes of lists of changes out"),
    line(Kind::Messages, "whole lists, bytes out", "B/s").run("list server", "bytes of whole lists out"),
    line(Kind::Processor, "processor time", "core").run("list server", "processor"),
    line(Kind::Memory, "resident memory", "B").run("list server", "resident memory"),
];

const CONFIGURATION_SERVERS: &[Line] = &[
    line(Kind::State, "settings held", "B")
        .form(Capacity::settings_bytes, |_| "as the scale run writes them, for one node".to_owned()),
    line(Kind::Messages, "files out, mean of the day, one a node and change", "1/s").form(
        |it| it.day.changes / DAY_S * nodes_of_machine(it),
        |it| format!("{} x {}", over(it.day.changes, DAY_S), over(it.fleet.nodes, it.fleet.control_machines)),
    ),
    line(Kind::Messages, "bytes out, mean of the day", "B/s").form(
        |it| it.settings_bytes() * it.day.changes / DAY_S * nodes_of_machine(it),
        |it| {
            format!(
                "{} B x {} x {}",
                number(it.settings_bytes()),
                over(it.day.changes, DAY_S),
                number(nodes_of_machine(it))
            )
        },
    ),
    line(Kind::Processor, "processor time", "core"),
    line(Kind::Memory, "resident memory", "B"),
];

const AGENT: &[Line] = &[
    line(Kind::State, "the list that it holds", "B").form(first_look::whole_list_bytes, whole_list),
    line(Kind::Messages, "changes to its nodes, bytes out", "B/s")
        .run("agent", "bytes of lists of changes out"),
    line(Kind::Processor, "processor time", "core").run("agent", "processor"),
    line(Kind::Memory, "resident memory", "B").run("agent", "resident memory"),
];

const SERVER: &[Line] = &[
    line(Kind::State, "connections held by it, each node using 64 servers", "").form(held_by_server, |it| {
        format!("{} x (1 - {})", over(it.fleet.nodes * COMPARED, it.fleet.servers), dialling(it))
    }),
    line(Kind::Messages, "requests", "1/s")
        .form(Capacity::per_server_s, |it| over(it.fleet.requests_per_s, it.fleet.servers)),
    line(Kind::Messages, "probes at most", "1/s").form(probes_at_server, |it| {
        format!("{} x {}", over(it.fleet.nodes, it.fleet.servers), number(probes_per_s(it)))
    }),
    line(Kind::Processor, "probes", "core").form(
        |it| probes_at_server(it) * it.assumed.probe_work_ms / 1e3,
        |it| times(probes_at_server(it), it.assumed.probe_work_ms) + " ms",
    ),
    line(Kind::Memory, "of its connections", "B"),
];

/// The roles, in the order of the page.
pub const ROLES: &[Role] = &[
    Role {
        name: "list servers on the ten machines",
        mechanism: "none yet: a site's own, or a list service of ours",
        lines: LIST_SERVERS,
    },
    Role {
        name: "configuration servers on the ten machines",
        mechanism: "none yet: files and SIGHUP by the site's own means",
        lines: CONFIGURATION_SERVERS,
    },
    Role { name: "agent", mechanism: "the site's own", lines: AGENT },
    Role {
        name: "a server as it sees the nodes",
        mechanism: "`src/bin/sillward/backend.rs`; `candidate_limit` in `src/policy/selection.rs` bounds the servers of a node",
        lines: SERVER,
    },
];
