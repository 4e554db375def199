//! The capacity page against what it is reckoned from: the operators' size, the recorded runs and the closed forms.

use hillpick_lab::capacity::runs::Runs;
use hillpick_lab::capacity::size::{Capacity, NoSize};
use hillpick_lab::capacity::{
    Count, Markers, Table, count, differences, filled, number, tables, without_tables,
};
use hillpick_lab::scale::results::{Fit, Results};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn size() -> Capacity {
    Capacity::read(&root().join("docs/capacity.toml")).unwrap()
}

fn recorded() -> Runs {
    Runs::read(&root().join("experiments/scale/results")).unwrap()
}

fn page() -> String {
    std::fs::read_to_string(root().join("docs/CAPACITY.md")).unwrap()
}

/// Two made-up sweeps whose values follow known lines, one by servers and one by tenants.
fn made_up() -> Runs {
    let read = |text: &str| serde_json::from_str::<Results>(text).unwrap();
    Runs::of(vec![
        read(include_str!("capacity/servers-1.json")),
        read(include_str!("capacity/tenants-1.json")),
    ])
}

#[test]
fn every_table_of_the_page_is_what_runs_and_forms_give() {
    let differ = differences(&page(), &tables(&size(), &recorded())).unwrap();
    assert!(differ.is_empty(), "run `hillpick-lab capacity --write` and read the page again: {differ:#?}");
}

/// Each number of each table is held: another digit anywhere is found.
#[test]
fn a_changed_number_is_found() {
    let (page, tables) = (page(), tables(&size(), &recorded()));
    let page = filled(&page, &tables).unwrap();
    let mut tried = 0;
    let mut in_table = false;
    let mut start = 0;
    for line in page.split_inclusive('\n') {
        if line.starts_with("<!-- ") {
            in_table = !line.starts_with("<!-- /");
        } else if in_table {
            // One of each line: the comparison is by line.
            if let Some((place, digit)) = line.char_indices().rev().find(|(_, it)| it.is_ascii_digit()) {
                let mut changed = page.clone();
                let other = if digit == '7' { "3" } else { "7" };
                changed.replace_range(start + place..start + place + 1, other);
                let known = differences(&changed, &tables).unwrap();
                assert_eq!(known.len(), 1, "{line}");
                tried += 1;
            }
        }
        start += line.len();
    }
    assert!(tried > 100, "{tried}");
}

#[test]
fn no_table_is_written_by_hand() {
    let prose = without_tables(&page(), &tables(&size(), &recorded())).unwrap();
    let by_hand: Vec<_> = prose.lines().filter(|line| line.trim_start().starts_with('|')).collect();
    assert!(by_hand.is_empty(), "{by_hand:?}");
}

/// A number in the text stands in a table as well, or in what the operators state.
#[test]
fn no_number_of_the_text_is_without_its_source() {
    let tables = tables(&size(), &recorded());
    let stated = std::fs::read_to_string(root().join("docs/capacity.toml")).unwrap();
    let known: BTreeSet<_> =
        tables.iter().flat_map(|table| numbers(&table.markdown())).chain(numbers(&stated)).collect();
    let prose = without_tables(&page(), &tables).unwrap();
    let unknown: Vec<_> = numbers(&prose).into_iter().filter(|it| !known.contains(it)).collect();
    assert!(unknown.is_empty(), "{unknown:?}");
}

/// Numbers as they stand, without their commas.
fn numbers(text: &str) -> BTreeSet<String> {
    let words = text.split(|it: char| !(it.is_ascii_digit() || it == '.' || it == ','));
    let trimmed = words.map(|word| word.trim_matches(['.', ',']).replace(',', ""));
    trimmed.filter(|word| word.chars().any(|it| it.is_ascii_digit())).collect()
}

/// The made-up runs: a state of 1,000 bytes, 80 a server and 5 a tenant, measured with 1 tenant and 100 servers.
#[test]
fn costs_of_two_sweeps_add_up_at_full_size() {
    let it = made_up().estimate("hollow node", "state of the server table", &size()).unwrap();
    let known = 1000.0 + 80.0 * 52_000.0 + 5.0 * 110_000.0;
    assert!((it.value / known - 1.0).abs() < 1e-9, "{} {known}", it.value);
    assert!((it.rest - 1000.0).abs() < 1e-6, "{it:?}");
    assert!(it.proven);
    assert_eq!(it.runs, ["servers-1", "tenants-1"]);
    assert_eq!(it.arithmetic(), "1,000 + 80 x 52,000 servers + 5 x 110,000 tenants");
}

/// The fit of the server table's state in the made-up run over servers.
fn of_the_server_table(run: &mut Results) -> &mut Fit {
    let found = run.fits.iter_mut().find(|fit| fit.figure == "state of the server table");
    found.expect("a fit")
}

/// A sweep that went farther in another dimension says nothing of servers, also where growth by these is not proven.
#[test]
fn what_one_sweep_measured_is_not_lost_to_one_that_went_farther() {
    let mut servers: Results = serde_json::from_str(include_str!("capacity/servers-1.json")).unwrap();
    let mut changes = servers.clone();
    changes.experiment = "changes".into();
    let fit = of_the_server_table(&mut changes);
    fit.against = "changes_per_s".into();
    (fit.slope, fit.interval, fit.largest) = (0.0, [0.0, 0.0], 64.0);
    (fit.intercept, fit.foretold, fit.measured) = (9_000.0, 9_000.0, 9_000.0);
    let fit = of_the_server_table(&mut servers);
    fit.interval[0] = -1.0;
    let measured = fit.measured.max(fit.intercept);
    assert!(measured > 9_000.0);
    let it = Runs::of(vec![servers, changes]).estimate("hollow node", "state of the server table", &size());
    assert_eq!(it.unwrap().value, measured);
}

/// A line may cross zero, and a cost does not.
#[test]
fn no_cost_is_under_zero() {
    let mut servers: Results = serde_json::from_str(include_str!("capacity/servers-1.json")).unwrap();
    of_the_server_table(&mut servers).intercept = -850.0;
    let it = Runs::of(vec![servers]).estimate("hollow node", "state of the server table", &size()).unwrap();
    assert_eq!(it.rest, 0.0);
}

/// A slope whose interval holds zero is no growth: the largest measured value stays.
#[test]
fn noise_is_not_carried_to_full_size() {
    let it = made_up().estimate("list server", "processor", &size()).unwrap();
    assert_eq!((it.value, it.terms.len()), (0.031, 0));
    assert_eq!(it.slopes(), "no growth seen");
}

#[test]
fn a_fit_that_missed_its_largest_point_is_not_proven() {
    let it = made_up().estimate("hollow node", "processor", &size()).unwrap();
    assert!(!it.proven);
    let tables = tables(&size(), &made_up());
    let summary = tables.iter().find(|table| table.name == "summary").unwrap().markdown();
    let line = summary.lines().find(|line| line.contains("control, mean")).unwrap();
    assert!(line.contains("run, not proven"), "{line}");
}

/// What was measured at one size and not fitted is shown there, and not carried to full size; what nobody measured says so.
#[test]
fn what_was_not_fitted_is_counted() {
    let without = count(&size(), &Runs::default());
    let with = count(&size(), &made_up());
    assert_eq!((without.proven, without.not_proven, without.once), (0, 0, 0));
    assert_eq!((with.proven, with.not_proven, with.once), (2, 1, 1));
    assert_eq!(with.costs, without.costs);
    assert_eq!(with.not_measured, without.not_measured - 4);
    let Count { costs, proven, not_proven, closed, first_look, earlier, once, not_measured } = with;
    assert_eq!(costs, proven + not_proven + closed + first_look + earlier + once + not_measured);
    let tables = tables(&size(), &made_up());
    let cells = tables.iter().filter(|table| table.name.starts_with("role-")).flat_map(|table| &table.rows);
    let (once_rows, none): (Vec<_>, Vec<_>) =
        cells.filter(|row| row[4] == "not measured").partition(|row| row[2] == "one size");
    assert_eq!((once_rows.len(), none.len()), (once, not_measured));
}

/// Every role that the order of work names has its place, with its four costs.
#[test]
fn every_role_has_its_four_costs() {
    let tables = tables(&size(), &recorded());
    for role in [
        "front-side",
        "backend-side",
        "discovery-client",
        "server-table",
        "selection-state",
        "routes-and-settings",
        "tenants-and-limits",
        "membership",
        "probing",
        "retries-and-copies",
        "cold-ramp",
        "zones",
        "saved-files",
        "hand-over",
        "list-servers-on-the-ten-machines",
        "configuration-servers-on-the-ten-machines",
        "agent",
        "a-server-as-it-sees-the-nodes",
    ] {
        let name = format!("role-{role}");
        let table = tables.iter().find(|table| table.name == name).unwrap_or_else(|| panic!("{name}"));
        for cost in ["state", "messages", "processor time", "memory"] {
            assert!(table.rows.iter().any(|row| row[0] == cost), "{name}: {cost}");
        }
    }
}

#[test]
fn the_first_table_has_the_worst_first() {
    let tables = tables(&size(), &recorded());
    let summary = tables.iter().find(|table| table.name == "summary").unwrap();
    let factors: Vec<f64> = summary
        .rows
        .iter()
        .map(|row| row[4].split(' ').next().unwrap().replace(',', "").parse().unwrap())
        .collect();
    assert!(factors.windows(2).all(|pair| pair[0] >= pair[1]), "{factors:?}");
    assert!(summary.rows.iter().all(|row| !row[6].is_empty()), "each row names its mechanism, or none yet");
}

/// The operators' own figures of the order of work, as they follow from the file.
#[test]
fn the_operators_figures_follow() {
    let size = size();
    assert_eq!(size.per_node_s(), 100.0);
    assert_eq!(number(size.per_server_s()), "9.42");
    let table = |name: &str| tables(&size, &Runs::default()).into_iter().find(|it| it.name == name).unwrap();
    // The whole list is 700 s of the bytes for control; a service has 0.08 requests a second at each node.
    assert_eq!(table("question-counted").rows[0][1], "701");
    assert_eq!(table("question-served").rows[0][1], "0.0833");
    // A node meets a server every 8 minutes and more.
    assert_eq!(table("meetings").rows[0][1], "520");
    // A zone has 5,778 servers and 544 nodes.
    let zone = table("day-events").rows.into_iter().find(|row| row[0] == "a zone comes back").unwrap();
    assert_eq!(zone[1..3], ["5,778", "544"]);
}

#[test]
fn markers_that_dont_fit_are_told() {
    let mut table = Table::new("one", &["a"]);
    table.row(["1".to_owned()]);
    let tables = [table];
    let good = "text\n<!-- capacity:one -->\n<!-- /capacity:one -->\n";
    let full = filled(good, &tables).unwrap();
    assert_eq!(full, "text\n<!-- capacity:one -->\n\n| a |\n| --- |\n| 1 |\n\n<!-- /capacity:one -->\n");
    assert_eq!(filled(&full, &tables).unwrap(), full, "writing it again changes nothing");
    assert_eq!(filled("text", &tables), Err(Markers::Missing("one".into())));
    let half = "<!-- capacity:one -->\n";
    assert_eq!(filled(half, &tables), Err(Markers::Unpaired("one".into())));
    assert_eq!(filled(&good.repeat(2), &tables), Err(Markers::Unpaired("one".into())));
    let turned = "<!-- /capacity:one -->\n<!-- capacity:one -->\n";
    assert_eq!(filled(turned, &tables), Err(Markers::Unpaired("one".into())));
    let other = format!("{good}<!-- capacity:two -->\n<!-- /capacity:two -->\n");
    assert_eq!(filled(&other, &tables), Err(Markers::Unknown("two".into())));
}

#[test]
fn a_size_that_nothing_follows_from_is_refused() {
    let text = std::fs::read_to_string(root().join("docs/capacity.toml")).unwrap();
    let folder = std::env::temp_dir().join(format!("hillpick-capacity-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("size.toml");
    let read = |text: &str| {
        std::fs::write(&file, text).unwrap();
        Capacity::read(&file)
    };
    assert!(read(&text).is_ok());
    let none = read(&text.replace("nodes = 4900", "nodes = 0"));
    assert!(matches!(none, Err(NoSize::NotPositive { figure: "fleet.nodes", .. })), "{none:?}");
    let endless = read(&text.replace("idle_close_s = [5.0, 15.0]", "idle_close_s = [5.0, inf]"));
    assert!(
        matches!(endless, Err(NoSize::NotPositive { figure: "assumed.idle_close_s", .. })),
        "{endless:?}"
    );
    let odd = read(&text.replace("services = 1200", "servicse = 1200"));
    assert!(matches!(odd, Err(NoSize::Malformed { .. })), "{odd:?}");
    assert!(matches!(Capacity::read(&folder.join("none")), Err(NoSize::Unreadable { .. })));
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn numbers_keep_three_digits() {
    let shown = [
        (0.0, "0"),
        (7.0, "7"),
        (4900.0, "4,900"),
        (1_499_400.0, "1,499,400"),
        (0.08333, "0.0833"),
        (9.423, "9.42"),
        (701.2, "701"),
        (5777.8, "5,780"),
        (-1234.5, "-1,230"),
        (1.234e-7, "1.23e-7"),
        (f64::INFINITY, "endless"),
    ];
    for (value, text) in shown {
        assert_eq!(number(value), text, "{value}");
    }
}
