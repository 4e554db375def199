//! Tests of name tables and numbering, with so many names that comparing each with all others would not
//! finish.

use super::*;

/// Comparing each name with all before it would take 80,000,000,000 comparisons.
const NAME_COUNT: usize = 400_000;

fn name_table<'a>(names: impl IntoIterator<Item = &'a str>) -> NameTable {
    let mut table = NameTable::default();
    names.into_iter().for_each(|name| table.push(name).expect("the table is not full"));
    table
}

fn numbered_names(prefix: &str) -> Vec<String> {
    (0..NAME_COUNT).map(|number| format!("{prefix}-{number}")).collect()
}

#[test]
fn a_name_is_found_at_its_first_index_and_the_first_error_is_reported() {
    let with_empty = name_table(["read", "", "wr\u{e9}te"]);
    assert_eq!(
        (with_empty.position("wr\u{e9}te"), with_empty.position("writ"), with_empty.get(0)),
        (Some(2), None, Some("read"))
    );
    assert_eq!(with_empty.error(), Some(NameError::Empty { index: 1 }));
    let with_duplicates = name_table(["a", "b", "c", "b", "", "a"]);
    assert_eq!(with_duplicates.error(), Some(NameError::Duplicate { first: 1, second: 3 }));
    assert_eq!(
        (with_duplicates.position("b"), with_duplicates.len(), with_duplicates.get(6)),
        (Some(1), 6, None)
    );
    assert_eq!(with_duplicates, ["a", "b", "c", "b", "", "a"]);
    assert_eq!(name_table(["ab", "c"]).position("a"), None, "a prefix of a name is found");
    assert_eq!(name_table([]).error(), None);
}

#[test]
fn a_message_lists_only_the_first_of_many_names() {
    assert_eq!(name_table(["a", "b"]).summary(), "a, b");
    let names = numbered_names("t");
    assert_eq!(
        name_table(names.iter().map(String::as_str)).summary(),
        "t-0, t-1, t-2, t-3, t-4, t-5, t-6, t-7, ... (400000 in all)"
    );
}

#[test]
fn indices_of_many_names_in_another_large_table_are_found() {
    let names = numbered_names("t");
    let previous = name_table(names.iter().map(String::as_str));
    let current = name_table(names.iter().rev().skip(1).map(String::as_str).chain(["new"]));
    let indices = current.indices_in(&previous);
    assert_eq!(
        (indices[0], indices[NAME_COUNT - 2], indices[NAME_COUNT - 1]),
        (Some(NAME_COUNT - 2), Some(0), None)
    );
}

#[test]
fn many_zones_in_many_regions_are_validated_and_numbered() {
    let zones_config = |regions: BTreeMap<String, Vec<String>>| ZonesConfig {
        regions,
        latency_ms: BTreeMap::new(),
        return_s: 20.0,
        evacuation_s: 900.0,
    };
    let names = numbered_names("z");
    let region = |(number, zones): (usize, &[String])| (format!("{number:06}"), zones.to_vec());
    let mut config = zones_config(names.chunks(4).enumerate().map(region).collect());
    assert!(config.validate().is_ok());
    let numbered = config.to_zones(&names);
    assert_eq!((numbered.region[3], numbered.region[4], numbered.region[40_003]), (0, 1, 10_000));
    config.regions.insert("last".to_owned(), vec!["z-7".to_owned()]);
    let error = config.validate().expect_err("a zone is in two regions").to_string();
    assert_eq!(error, "zones.regions: \"z-7\" stands in two places; expected each zone once");
}

#[test]
fn many_machine_types_keep_their_numbers() {
    let text = br#"{"Classes": [{"Name": "read", "Target": 1, "GiveUp": 2, "Idempotency": "free"}]}"#;
    let mut previous = parse(text).expect("valid settings");
    previous.kind_names = numbered_names("kind");
    let mut site = previous.clone();
    site.kind_names.reverse();
    site.kind_names.push("new".to_owned());
    site.keep_numbering(&previous);
    assert_eq!(site.kind_names[..NAME_COUNT], previous.kind_names);
    assert_eq!(site.kind_names[NAME_COUNT..], ["new"]);
}
