//! The operators' first look at one real node, and the lines through it. It is quoted, and was not measured here.

use super::size::{Capacity, FirstLook};
use super::table::{Table, number};

/// A line by least squares through places and values.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    /// At zero.
    pub intercept: f64,
    /// For one more.
    pub slope: f64,
}

impl Line {
    fn through(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (x, y) = (mean(|p| p.0), mean(|p| p.1));
        let along = points.iter().map(|p| (p.0 - x).powi(2)).sum::<f64>();
        let slope = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum::<f64>() / along;
        Line { intercept: y - slope * x, slope }
    }

    /// At a place.
    pub fn at(&self, place: f64) -> f64 {
        self.intercept + self.slope * place
    }
}

fn line(
    capacity: &Capacity,
    those: fn(&FirstLook) -> bool,
    place: fn(&FirstLook) -> f64,
    value: fn(&FirstLook) -> Option<f64>,
) -> Line {
    let rows = capacity.first_look.iter().filter(|row| those(row));
    Line::through(&rows.filter_map(|row| Some((place(row), value(row)?))).collect::<Vec<_>>())
}

fn by_servers(row: &FirstLook) -> bool {
    row.tenants == 1.0 && row.routes == 2.0
}

fn ready_by_servers(row: &FirstLook) -> bool {
    by_servers(row) && row.ready_s.is_some()
}

/// Steady memory in MB by servers.
pub fn memory_by_servers(capacity: &Capacity) -> Line {
    line(capacity, ready_by_servers, |row| row.servers, |row| Some(row.memory_mb))
}

/// Processor time until ready, in s, by servers.
pub fn processor_by_servers(capacity: &Capacity) -> Line {
    line(capacity, ready_by_servers, |row| row.servers, |row| Some(row.processor_s))
}

/// Bytes of the list for one server.
pub fn bytes_a_server(capacity: &Capacity) -> f64 {
    line(capacity, by_servers, |row| row.servers, |row| row.list_mb).slope * 1e6
}

/// The whole list in bytes.
pub fn whole_list_bytes(capacity: &Capacity) -> f64 {
    bytes_a_server(capacity) * capacity.fleet.servers
}

/// Steady memory in MB by routes.
pub fn memory_by_routes(capacity: &Capacity) -> Line {
    let few = |row: &FirstLook| row.servers == 200.0 && row.tenants == 1.0;
    line(capacity, few, |row| row.routes, |row| Some(row.memory_mb))
}

/// Steady memory in MB by tenants, of nodes that became ready.
pub fn memory_by_tenants(capacity: &Capacity) -> Line {
    let few = |row: &FirstLook| row.servers == 200.0 && row.routes == 2.0 && row.ready_s.is_some();
    line(capacity, few, |row| row.tenants, |row| Some(row.memory_mb))
}

/// The look itself.
pub(super) fn tables(capacity: &Capacity) -> Vec<Table> {
    let titles = ["servers / tenants / routes", "list", "ready", "processor until then", "memory, steady"];
    let mut table = Table::new("first-look", &titles);
    for row in &capacity.first_look {
        let of = |value: Option<f64>, unit: &str| {
            value.map_or("-".to_owned(), |it| format!("{} {unit}", number(it)))
        };
        table.row([
            format!("{} / {} / {}", number(row.servers), number(row.tenants), number(row.routes)),
            of(row.list_mb, "MB"),
            row.ready_s.map_or("never in the look".to_owned(), |it| format!("{} s", number(it))),
            format!("{} s", number(row.processor_s)),
            format!("{} MB", number(row.memory_mb)),
        ]);
    }
    let mut lines = Table::new("first-look-lines", &["figure", "line by least squares", "at full size"]);
    let Capacity { fleet, .. } = capacity;
    let by = [
        ("memory by servers, MB", memory_by_servers(capacity), fleet.servers),
        ("memory by tenants, MB", memory_by_tenants(capacity), fleet.tenants),
        ("memory by routes, MB", memory_by_routes(capacity), fleet.routes),
        ("processor until ready by servers, s", processor_by_servers(capacity), fleet.servers),
    ];
    for (figure, line, full) in by {
        let text = format!("{} + {} x {}", number(line.intercept), number(line.slope), number(full));
        lines.row([figure.to_owned(), text, number(line.at(full))]);
    }
    let entry = bytes_a_server(capacity);
    lines.row([
        "the list, MB".to_owned(),
        format!("{} B x {}", number(entry), number(fleet.servers)),
        number(whole_list_bytes(capacity) / 1e6),
    ]);
    vec![table, lines]
}
