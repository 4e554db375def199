//! The tables of decisions that stop working as the fleet grows, and of the subset that follows.

use super::decisions::{allowance, connections, evidence, probes, retries};
use super::size::{Capacity, DAY_S};
use super::table::{Table, number, or_hardly_any, percent};

/// The most requests that may pay for a new connection.
const MOST_DIALS: f64 = 0.01;
/// Own requests in flight are to tell at least so much of all.
const LEAST_CORRELATION: f64 = 0.5;
/// The share of nodes that is to have seen enough of a server that fails, within the time for a change.
const SEEN_BY: f64 = 0.99;
/// The spread of servers' load above which a server of two spreads over the mean is past its capacity at the assumed load.
const SPREADS: f64 = 2.0;

pub(super) fn tables(capacity: &Capacity) -> Vec<Table> {
    vec![
        meetings(capacity),
        dials(capacity),
        evidence_by_subset(capacity),
        follows(capacity),
        allowances(capacity),
        depths(),
        cold(capacity),
        retries_table(capacity),
        probes_table(capacity),
    ]
}

fn titled(name: &str, first: &str, rest: Vec<String>) -> Table {
    let mut titles = vec![first.to_owned()];
    titles.extend(rest);
    Table { name: name.to_owned(), titles, rows: Vec::new() }
}

fn meetings(capacity: &Capacity) -> Table {
    let titles = [
        "servers used by a node",
        "s between two requests to one",
        "nodes of a server",
        "own count tells of all (correlation)",
        "requests that find a fresh own sign",
        "spread of servers' load, uncorrected",
    ];
    let mut table = Table::new("meetings", &titles);
    for subset in &capacity.assumed.subsets {
        let meeting = capacity.meeting(*subset);
        let nodes = meeting.nodes_per_server();
        table.row([
            number(*subset),
            number(meeting.interval_s()),
            number(nodes),
            number(evidence::correlation_of_own_count(nodes)),
            percent(evidence::finds_fresh_sign(meeting.rate(), capacity.answer_s())),
            percent(meeting.load_spread(capacity.assumed.uneven)),
        ]);
    }
    table
}

fn dials(capacity: &Capacity) -> Table {
    let closes = &capacity.assumed.idle_close_s;
    let titles = closes.iter().flat_map(|close| {
        let close = number(*close);
        [
            format!("requests that dial, idle close {close} s"),
            format!("connections of a server, {close} s"),
            format!("handshakes a second at a server, {close} s"),
        ]
    });
    let mut table = titled("dials", "servers used by a node", titles.collect());
    for subset in &capacity.assumed.subsets {
        let meeting = capacity.meeting(*subset);
        let mut row = vec![number(*subset)];
        for close in closes {
            let kept = connections::kept_s(*close);
            let share = connections::share_that_dials(meeting.rate(), kept);
            row.push(percent(share));
            row.push(number(connections::held_by_server(meeting.nodes_per_server(), meeting.rate(), kept)));
            row.push(or_hardly_any(share * capacity.per_server_s()));
        }
        table.row(row);
    }
    table
}

fn evidence_by_subset(capacity: &Capacity) -> Table {
    let failures = evidence::failures_to_eject();
    let titles = [
        "servers used by a node",
        "s until a node has ejected a failing server, mean",
        "s, 99 in 100 nodes",
        "requests that fail there, whole fleet",
        "misses of one class remembered, mean",
    ];
    let mut table = Table::new("evidence", &titles);
    for subset in &capacity.assumed.subsets {
        let meeting = capacity.meeting(*subset);
        table.row([
            number(*subset),
            number(evidence::mean_time_to(failures, meeting.rate())),
            number(evidence::time_to(failures, meeting.rate(), SEEN_BY)),
            number(evidence::failures_of_fleet(failures, meeting.nodes_per_server())),
            number(evidence::misses_remembered(meeting.rate(), capacity.assumed.overload_time_s)),
        ]);
    }
    table
}

/// What each decision asks of the subset.
fn follows(capacity: &Capacity) -> Table {
    let mut table = Table::new("subset", &["decision", "asks for", "servers used by a node", "arithmetic"]);
    let per_node = capacity.per_node_s();
    for close in &capacity.assumed.idle_close_s {
        let kept = connections::kept_s(*close);
        table.row([
            format!("connections kept, idle close {} s", number(*close)),
            format!("at most {} of requests dial", percent(MOST_DIALS)),
            format!("at most {}", number(connections::largest_subset(per_node, kept, MOST_DIALS).floor())),
            format!("{} x {} / ln {}", number(per_node), number(kept), number(1.0 / MOST_DIALS)),
        ]);
    }
    let servers_a_node = capacity.fleet.servers / capacity.fleet.nodes;
    let most_nodes = LEAST_CORRELATION.powi(-2);
    table.row([
        "the estimate of Join-Up-To(m)".to_owned(),
        format!("correlation of own count with all of {} or more", number(LEAST_CORRELATION)),
        format!("at most {}", number((most_nodes * servers_a_node).floor())),
        format!("{} nodes a server x {}", number(most_nodes), number(servers_a_node)),
    ]);
    let slowest = evidence::time_to(evidence::failures_to_eject(), 1.0, SEEN_BY);
    table.row([
        "ejection".to_owned(),
        format!("99 in 100 nodes have seen enough within {} s", number(capacity.bounds.in_force_s)),
        format!("at most {}", number((per_node * capacity.bounds.in_force_s / slowest).floor())),
        format!("{} x {} / {}", number(per_node), number(capacity.bounds.in_force_s), number(slowest)),
    ]);
    let misses = evidence::largest_subset_for_misses(per_node, capacity.assumed.overload_time_s);
    table.row([
        "broken for a class".to_owned(),
        "the mean memory of misses passes the mark".to_owned(),
        format!("at most {}", number(misses.floor())),
        format!("{} x 3 x {} / 2", number(per_node), number(capacity.assumed.overload_time_s)),
    ]);
    // (1 + 2 x uneven / root of nodes) x load <= 1.
    let spread = (1.0 / capacity.assumed.load - 1.0) / SPREADS;
    let nodes = (capacity.assumed.uneven / spread).powi(2);
    table.row([
        "evenness, nodes' rates uneven, nobody corrects".to_owned(),
        format!(
            "two spreads over the mean stay under capacity at a load of {}",
            number(capacity.assumed.load)
        ),
        format!("at least {}", number((nodes * servers_a_node).ceil())),
        format!("({} / {})^2 x {}", number(capacity.assumed.uneven), number(spread), number(servers_a_node)),
    ]);
    table
}

fn allowances(capacity: &Capacity) -> Table {
    let titles = [
        "nodes that see the tenant",
        "asks for all of its allowance: refused",
        "asks for half: refused",
        "divided by those that see it, one request's room: refused",
    ];
    let mut table = Table::new("allowances", &titles);
    for seen_by in &capacity.assumed.tenant_nodes {
        let refused = |asked, by| percent(allowance::refused_by_even_parts(asked, *seen_by, by));
        let nodes = capacity.fleet.nodes;
        table.row([number(*seen_by), refused(1.0, nodes), refused(0.5, nodes), refused(1.0, *seen_by)]);
    }
    table
}

fn depths() -> Table {
    let mut table =
        Table::new("depths", &["requests' room at a node", "asks for all: refused", "asks for 0.8: refused"]);
    for depth in [1, 2, 5, 10, 20, 40] {
        let refused = |load| percent(allowance::refused(load, depth));
        table.row([depth.to_string(), refused(1.0), refused(0.8)]);
    }
    table
}

fn cold(capacity: &Capacity) -> Table {
    let titles = [
        "s after the start",
        "N: allowed in a window",
        "sent at most, mean",
        "N over the processes",
        "probability that a window brings more than N + 2 root N + 2",
    ];
    let mut table = Table::new("cold", &titles);
    let server = capacity.cold_server();
    for part in [0.0, 0.25, 0.5, 1.0] {
        let age = part * capacity.assumed.warm_after_s;
        table.row([
            number(age),
            number(server.allowed(age)),
            number(server.sent(age)),
            number(server.allowed(age) / capacity.fleet.nodes),
            number(server.falls_in_window(age)),
        ]);
    }
    let starts = (capacity.day.restarts + capacity.day.failures) * capacity.part_of_servers();
    table.row([
        "a day".to_owned(),
        format!("{} starts", number(starts.round())),
        format!("{} a second", number(starts / DAY_S)),
        "-".to_owned(),
        format!("{} falls expected", number(server.falls_of_a_start() * starts)),
    ]);
    table
}

fn retries_table(capacity: &Capacity) -> Table {
    let titles = [
        "what fails",
        "of a node's requests",
        "attempts fail",
        "attempts a request",
        "requests all of whose attempts fail",
    ];
    let mut table = Table::new("retries", &titles);
    let most = capacity.assumed.max_attempts;
    let fleet = &capacity.fleet;
    let failing = [
        ("a rack's servers, alike at all nodes", 1.0, capacity.day.rack_servers / fleet.servers),
        ("a zone's servers, alike at all nodes", 1.0, 1.0 / fleet.zones),
        ("all alike, where the budget begins to bind", 1.0, retries::binds_at(most)),
        ("one service, at nodes that serve all", 1.0 / fleet.services, 1.0),
        ("one service, at nodes that serve ten", 0.1, 1.0),
        ("one service, at nodes that serve two", 0.5, 1.0),
    ];
    for (what, of_traffic, fails) in failing {
        let attempts = retries::attempts(fails, of_traffic, most);
        table.row([
            what.to_owned(),
            percent(of_traffic),
            percent(fails),
            number(attempts),
            percent(fails.powi(most as i32)),
        ]);
    }
    table
}

fn probes_table(capacity: &Capacity) -> Table {
    let mut table = Table::new("probes", &["what", "figure", "arithmetic"]);
    let a_request = probes::a_request(capacity.assumed.probe_price);
    let (per_node, fresh) = (a_request * capacity.per_node_s(), capacity.answer_s() / 4.0);
    let a_server = per_node * capacity.fleet.nodes / capacity.fleet.servers;
    let all = probes::to_see_all(capacity.fleet.servers, fresh);
    let rows = [
        (
            "probes a request at most",
            number(a_request),
            format!("0.01 / {}", number(capacity.assumed.probe_price)),
        ),
        (
            "probes a second at a node",
            number(per_node),
            format!("{} x {}", number(a_request), number(capacity.per_node_s())),
        ),
        (
            "probes a second at a server",
            number(a_server),
            format!(
                "{} x {} / {}",
                number(per_node),
                number(capacity.fleet.nodes),
                number(capacity.fleet.servers)
            ),
        ),
        (
            "work of these, of one core",
            percent(a_server * capacity.assumed.probe_work_ms / 1e3),
            format!("{} x {} ms", number(a_server), number(capacity.assumed.probe_work_ms)),
        ),
        (
            "a report is fresh for",
            format!("{} ms", number(1e3 * fresh)),
            format!("{} ms / 4", number(1e3 * capacity.answer_s())),
        ),
        (
            "servers of which a node has a fresh report",
            number(probes::seen(per_node, fresh)),
            format!("{} x {} ms", number(per_node), number(1e3 * fresh)),
        ),
        (
            "probes a second at a node to have one of all",
            number(all),
            format!("{} / {} ms", number(capacity.fleet.servers), number(1e3 * fresh)),
        ),
        (
            "bytes for a probe and its answer, if probes alone are control",
            number(capacity.bounds.control_bytes_per_s / per_node),
            format!("{} / {}", number(capacity.bounds.control_bytes_per_s), number(per_node)),
        ),
    ];
    rows.into_iter().for_each(|(what, figure, how)| table.row([what.to_owned(), figure, how]));
    table
}
