//! The ordinary day in numbers, and the days that are not ordinary.

use super::decisions::arrivals;
use super::first_look;
use super::size::{Capacity, DAY_S};
use super::table::{Table, number, percent};

/// The letter's troubles: a tenth of the nodes restarted within so many s; changes of configuration within so many s.
const TENTH_WITHIN_S: f64 = 10.0;
const BURST: f64 = 50.0;
const BURST_WITHIN_S: f64 = 10.0;

pub(super) fn tables(capacity: &Capacity) -> Vec<Table> {
    vec![events(capacity), costs(capacity), cut(capacity)]
}

/// Something that happens, as changes of the list, starts of nodes and settings that are told.
struct Happening {
    what: &'static str,
    list_changes: f64,
    node_starts: f64,
    settings: f64,
    /// How soon it has to have been told, or over how long it is spread.
    within_s: f64,
    /// It comes at once, and so falls into one second.
    at_once: bool,
}

impl Happening {
    fn events(&self) -> f64 {
        self.list_changes + self.node_starts + self.settings
    }

    /// The part of it that falls into the worst second.
    fn worst_part(&self) -> f64 {
        if self.at_once {
            return 1.0;
        }
        let worst = arrivals::worst_second(self.events() / self.within_s, self.within_s);
        worst as f64 / self.events()
    }
}

fn happenings(capacity: &Capacity) -> Vec<Happening> {
    let Capacity { fleet, day, bounds, .. } = capacity;
    let (servers, nodes) = (capacity.part_of_servers(), 1.0 - capacity.part_of_servers());
    let of = |what, list_changes, node_starts, settings, within_s| Happening {
        what,
        list_changes,
        node_starts,
        settings,
        within_s,
        at_once: list_changes > 0.0 && within_s < DAY_S,
    };
    vec![
        of("failures, a day", 2.0 * day.failures * servers, day.failures * nodes, 0.0, DAY_S),
        of(
            "restarts and replacements, a day",
            3.0 * day.restarts * servers,
            day.restarts * nodes,
            0.0,
            DAY_S,
        ),
        of("changes of configuration, a day", 0.0, 0.0, day.changes, DAY_S),
        of("a rack goes", day.rack_servers, 0.0, 0.0, bounds.in_force_s),
        of("a zone goes", fleet.servers / fleet.zones, 0.0, 0.0, bounds.in_force_s),
        of(
            "a zone comes back",
            fleet.servers / fleet.zones,
            fleet.nodes / fleet.zones,
            0.0,
            bounds.in_force_s,
        ),
        of("a tenth of the nodes restarts", 0.0, fleet.nodes / 10.0, 0.0, TENTH_WITHIN_S),
        of("50 changes of configuration in 10 s", 0.0, 0.0, BURST, BURST_WITHIN_S),
    ]
}

fn events(capacity: &Capacity) -> Table {
    let titles = [
        "what",
        "changes of the list",
        "starts of nodes",
        "settings told",
        "within, s",
        "events a second, mean",
        "worst second",
    ];
    let mut table = Table::new("day-events", &titles);
    for it in happenings(capacity) {
        let (mean, worst) = (it.events() / it.within_s, (it.events() * it.worst_part()).round());
        let row = [it.list_changes.round(), it.node_starts.round(), it.settings, it.within_s, mean, worst];
        table.row([vec![it.what.to_owned()], row.map(number).to_vec()].concat());
    }
    table
}

/// Bytes: each node is told each change and all settings, and a node that starts is told the whole list.
fn costs(capacity: &Capacity) -> Table {
    let titles = [
        "what",
        "a node, B/s, mean",
        "a node, B, worst second",
        "a control machine, MB/s, mean",
        "a control machine, MB, worst second",
        "the fleet, MB/s, mean",
        "a node's processor, of a core, worst second",
        "a node's mean against the 10 KB/s",
    ];
    let mut table = Table::new("day-costs", &titles);
    let (entry, whole) = (first_look::bytes_a_server(capacity), first_look::whole_list_bytes(capacity));
    let a_change = first_look::processor_by_servers(capacity).slope;
    let settings = capacity.settings_bytes();
    let fleet = &capacity.fleet;
    for it in happenings(capacity) {
        let told = it.list_changes * entry + it.settings * settings;
        let all = (told * fleet.nodes + it.node_starts * whole) / 1e6;
        let a_machine = all / fleet.control_machines;
        let node = told / it.within_s;
        let worst = it.worst_part();
        let processor = match it.settings {
            0.0 => percent(it.list_changes * a_change * worst),
            _ => "not measured".to_owned(),
        };
        table.row([
            it.what.to_owned(),
            number(node),
            number(told * worst),
            number(a_machine / it.within_s),
            number(a_machine * worst),
            number(all / it.within_s),
            processor,
            percent(node / capacity.bounds.control_bytes_per_s),
        ]);
    }
    table
}

/// What is stale while regions are apart, and what is safe all the same.
fn cut(capacity: &Capacity) -> Table {
    let titles =
        ["what", "stale for, s", "events missed meanwhile, mean", "of them over the 6 s", "safe meanwhile"];
    let mut table = Table::new("day-cut", &titles);
    let cut = capacity.day.region_cut_s;
    let late = (cut - capacity.bounds.in_force_s).max(0.0) / cut;
    let list = capacity.list_changes_per_s() * cut;
    let starts = capacity.part_of_servers() * (capacity.day.restarts + capacity.day.failures) / DAY_S * cut;
    let settings = capacity.day.changes / DAY_S * cut;
    let deaths =
        (capacity.day.restarts + capacity.day.failures) * (1.0 - capacity.part_of_servers()) / DAY_S * cut;
    let rows = [
        (
            "the server list of the other regions",
            list,
            "drains bind from when they are told; dead servers are ejected by what the node sees",
        ),
        (
            "starts of servers, so who is cold",
            starts,
            "no: a server that came back passes for a warm one until its start is told",
        ),
        ("the configuration on the side without its source", settings, "the last good one stays in force"),
        (
            "members on the other side",
            deaths,
            "no agreement: parts by the configured number, never over the whole",
        ),
        (
            "tenants' allowances, divided by the nodes",
            deaths,
            "parts are of the configured number: the sum stays within the whole",
        ),
    ];
    for (what, events, safe) in rows {
        table.row([what.to_owned(), number(cut), number(events), number(events * late), safe.to_owned()]);
    }
    table
}
