//! Names at sizes at which asking each of them about all the others would not end.

use super::*;

/// Comparing each with all before it would be 80,000,000,000 comparisons.
const MANY: usize = 400_000;

fn names<'a>(all: impl IntoIterator<Item = &'a str>) -> NameTable {
    let mut names = NameTable::default();
    all.into_iter().for_each(|name| names.push(name).expect("room"));
    names
}

fn many(prefix: &str) -> Vec<String> {
    (0..MANY).map(|number| format!("{prefix}-{number}")).collect()
}

#[test]
fn a_name_has_its_first_number_and_the_first_fault_is_told() {
    let good = names(["read", "", "wr\u{e9}te"]);
    assert_eq!(
        (good.position("wr\u{e9}te"), good.position("writ"), good.get(0)),
        (Some(2), None, Some("read"))
    );
    assert_eq!(good.error(), Some(NameError::Empty { index: 1 }));
    let twice = names(["a", "b", "c", "b", "", "a"]);
    assert_eq!(twice.error(), Some(NameError::Duplicate { first: 1, second: 3 }));
    assert_eq!((twice.position("b"), twice.len(), twice.get(6)), (Some(1), 6, None));
    assert_eq!(twice, ["a", "b", "c", "b", "", "a"]);
    assert_eq!(names(["ab", "c"]).position("a"), None, "no part of a name is one");
    assert_eq!(names([]).error(), None);
}

#[test]
fn a_message_shows_few_names_whatever_their_count() {
    assert_eq!(names(["a", "b"]).summary(), "a, b");
    let all = many("t");
    assert_eq!(
        names(all.iter().map(String::as_str)).summary(),
        "t-0, t-1, t-2, t-3, t-4, t-5, t-6, t-7, ... (400000 in all)"
    );
}

#[test]
fn places_of_many_names_among_many_others_are_found() {
    let all = many("t");
    let earlier = names(all.iter().map(String::as_str));
    let now = names(all.iter().rev().skip(1).map(String::as_str).chain(["new"]));
    let places = now.indices_in(&earlier);
    assert_eq!((places[0], places[MANY - 2], places[MANY - 1]), (Some(MANY - 2), Some(0), None));
}

#[test]
fn many_zones_in_many_regions_are_checked_and_numbered() {
    let zones = |regions: BTreeMap<String, Vec<String>>| ZonesConfig {
        regions,
        latency_ms: BTreeMap::new(),
        return_s: 20.0,
        evacuation_s: 900.0,
    };
    let all = many("z");
    let region = |(number, zones): (usize, &[String])| (format!("{number:06}"), zones.to_vec());
    let mut good = zones(all.chunks(4).enumerate().map(region).collect());
    assert!(good.validate().is_ok());
    let numbered = good.to_zones(&all);
    assert_eq!((numbered.region[3], numbered.region[4], numbered.region[40_003]), (0, 1, 10_000));
    good.regions.insert("last".to_owned(), vec!["z-7".to_owned()]);
    let told = good.validate().expect_err("one stands twice").to_string();
    assert_eq!(told, "zones.regions: \"z-7\" stands in two places; expected each zone once");
}

#[test]
fn many_zones_and_machine_kinds_keep_their_numbers() {
    let text = br#"{"Classes": [{"Name": "read", "Target": 1, "GiveUp": 2, "Idempotency": "free"}]}"#;
    let mut earlier = parse(text).expect("good");
    earlier.kind_names = many("kind");
    let mut site = earlier.clone();
    site.kind_names.reverse();
    site.kind_names.push("new".to_owned());
    site.keep_numbering(&earlier);
    assert_eq!(site.kind_names[..MANY], earlier.kind_names);
    assert_eq!(site.kind_names[MANY..], ["new"]);
}
