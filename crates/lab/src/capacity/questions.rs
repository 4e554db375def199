//! What the operators' protocol leaves open and the size turns on, both readings reckoned through.

use super::decisions::{connections, probes};
use super::first_look;
use super::roles::{MEMBERSHIP_BYTES, list_bytes_per_s};
use super::runs::Runs;
use super::size::{Capacity, DAY_S};
use super::table::{Table, number, percent};

/// What one more server, or route, adds to a node's memory in bytes: by the runs, else by the operators' first look.
struct Memory {
    server: f64,
    route: f64,
}

impl Memory {
    fn of(capacity: &Capacity, runs: &Runs) -> Self {
        let found = runs.estimate("real node", "resident memory", capacity);
        let slope = |against: &str| found.as_ref().and_then(|it| it.slope(against));
        Memory {
            server: slope("servers").unwrap_or_else(|| 1e6 * first_look::memory_by_servers(capacity).slope),
            route: slope("routes").unwrap_or_else(|| 1e6 * first_look::memory_by_routes(capacity).slope),
        }
    }
}

pub(super) fn tables(capacity: &Capacity, runs: &Runs) -> Vec<Table> {
    let memory = Memory::of(capacity, runs);
    vec![
        told(capacity, &memory),
        served(capacity, &memory),
        routes(capacity, &memory),
        counted(capacity),
        control(capacity),
    ]
}

/// Services that a node serves, in the readings between all and one.
fn services(capacity: &Capacity) -> [f64; 5] {
    [capacity.fleet.services, 120.0, 12.0, 2.0, 1.0]
}

fn list_of(capacity: &Capacity, memory: &Memory, servers: f64) -> [String; 3] {
    let bytes = servers * first_look::bytes_a_server(capacity);
    [
        number(bytes / 1e6),
        number(bytes / capacity.bounds.control_bytes_per_s),
        number(memory.server * servers / 1e6),
    ]
}

/// How a service and its servers are told.
fn told(capacity: &Capacity, memory: &Memory) -> Table {
    let titles = [
        "reading",
        "servers told to a node",
        "list, MB",
        "s of the 10 KB/s",
        "memory over an empty node, MB",
    ];
    let mut table = Table::new("question-told", &titles);
    let a_service = capacity.fleet.servers / capacity.fleet.services;
    let readings = [
        ("a list for all: the service is no part of it, or a name in each entry", capacity.fleet.servers),
        ("a list for each service, a node of two services", 2.0 * a_service),
        ("a list for each service, a node of one", a_service),
    ];
    for (reading, servers) in readings {
        table.row(
            [vec![reading.to_owned(), number(servers)], list_of(capacity, memory, servers).to_vec()].concat(),
        );
    }
    table
}

/// All services at each node, or a few.
fn served(capacity: &Capacity, memory: &Memory) -> Table {
    let (short, long) = idle_closes(capacity);
    let titles = vec![
        "services at a node".to_owned(),
        "requests a second for one".to_owned(),
        "nodes of a service".to_owned(),
        "servers of them".to_owned(),
        "list of these, MB".to_owned(),
        "memory over an empty node, MB".to_owned(),
        format!("dial, one server a service, {} s", number(short)),
        format!("dial, eight, {} s", number(short)),
        format!("dial, eight, {} s", number(long)),
        format!("servers a service for 1 % dials, {} s", number(long)),
    ];
    let mut table = Table { name: "question-served".to_owned(), titles, rows: Vec::new() };
    let a_service = capacity.fleet.servers / capacity.fleet.services;
    for services in services(capacity) {
        let rate = capacity.per_node_s() / services;
        let dial = |subset: f64, close| {
            percent(connections::share_that_dials(rate / subset, connections::kept_s(close)))
        };
        let [list, _, table_memory] = list_of(capacity, memory, services * a_service);
        table.row([
            number(services),
            number(rate),
            number(capacity.fleet.nodes * services / capacity.fleet.services),
            number(services * a_service),
            list,
            table_memory,
            dial(1.0, short),
            dial(8.0, short),
            dial(8.0, long),
            number(connections::largest_subset(rate, connections::kept_s(long), 0.01)),
        ]);
    }
    table
}

fn idle_closes(capacity: &Capacity) -> (f64, f64) {
    let closes = capacity.assumed.idle_close_s.iter().copied();
    (closes.clone().fold(f64::INFINITY, f64::min), closes.fold(0.0, f64::max))
}

/// How a route and its service are told.
fn routes(capacity: &Capacity, memory: &Memory) -> Table {
    let titles = ["reading", "routes at a node", "memory over an empty node, MB", "of 32 MB"];
    let mut table = Table::new("question-routes", &titles);
    let a_service = capacity.fleet.routes / capacity.fleet.services;
    let readings = [
        ("all routes in each node's settings", capacity.fleet.routes),
        ("the routes of its services, two services", 2.0 * a_service),
    ];
    for (reading, routes) in readings {
        let taken = memory.route * routes / 1e6;
        table.row([
            reading.to_owned(),
            number(routes),
            number(taken),
            percent(taken / capacity.bounds.memory_mb),
        ]);
    }
    table
}

/// Whether the agent's list counts within the 10 KB a second.
fn counted(capacity: &Capacity) -> Table {
    let titles = ["what", "it counts", "it does not count"];
    let mut table = Table::new("question-counted", &titles);
    let (bytes, bounds) = (capacity.bounds.control_bytes_per_s, &capacity.bounds);
    let entry = first_look::bytes_a_server(capacity);
    let zone = capacity.fleet.servers / capacity.fleet.zones * entry;
    let free = "bounded by the agent and by memory";
    let rows = [
        (
            "the whole list at a start, s",
            number(first_look::whole_list_bytes(capacity) / bytes),
            free.to_owned(),
        ),
        (
            "servers told until ready",
            number((bytes * bounds.ready_s / entry).floor()),
            number(capacity.fleet.servers),
        ),
        ("a zone gone is told after, s", number(zone / bytes), free.to_owned()),
        (
            "changes that can be in force in time",
            number((bytes * bounds.in_force_s / entry).floor()),
            number(capacity.fleet.servers / capacity.fleet.zones),
        ),
        ("the mean day's changes, of the bytes", percent(list_bytes_per_s(capacity) / bytes), percent(0.0)),
    ];
    rows.into_iter().for_each(|(what, yes, no)| table.row([what.to_owned(), yes, no]));
    table
}

/// What "for control" takes in.
fn control(capacity: &Capacity) -> Table {
    let titles = ["reading", "B/s that are known", "left of the 10 KB/s", "what is left has to carry"];
    let mut table = Table::new("question-control", &titles);
    let list = list_bytes_per_s(capacity);
    let probes = probes::a_request(capacity.assumed.probe_price) * capacity.per_node_s();
    let settings = capacity.day.changes / DAY_S;
    let mut row = |reading: &str, known: f64, carries: String| {
        let left = capacity.bounds.control_bytes_per_s - known;
        table.row([reading.to_owned(), number(known), number(left), carries]);
    };
    row("the list alone", list, "nothing more".to_owned());
    row(
        "list and settings",
        list,
        format!(
            "{} settings a second: {} B each at most",
            number(settings),
            number((capacity.bounds.control_bytes_per_s - list) / settings)
        ),
    );
    let whole = capacity.settings_bytes() * settings;
    row("list and settings, each change the whole file", list + whole, "nothing more".to_owned());
    row("and membership", list + MEMBERSHIP_BYTES, "settings as before".to_owned());
    let left = capacity.bounds.control_bytes_per_s - list - MEMBERSHIP_BYTES;
    row(
        "and probes",
        list + MEMBERSHIP_BYTES,
        format!("{} probes a second with {} B each, without settings", number(probes), number(left / probes)),
    );
    table
}
