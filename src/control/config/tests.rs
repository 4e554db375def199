//! What a configuration has to be, and what is said of one that is not.

use super::*;
use proptest::collection::{hash_map, vec};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::Value;
use std::collections::BTreeMap;

const RUNNING: &str = r#"{"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "known": {"endpoints": []},
    "limits": {"sockets": 512}, "settings": {"Localities": ["a", "b"], "HostTypes": ["m", "n"], "Zone": 1,
    "Permissions": {"AttemptsCap": 3, "Probes": true},
    "Classes": [{"Name": "read", "Target": 1, "GiveUp": 2, "Idempotency": "free", "Credit": 1},
                {"Name": "submit", "Target": 1, "GiveUp": 2, "Idempotency": "guarded", "Credit": 1, "Window": 9}]}}"#;

fn replaced(by: &str) -> Result<Arc<SiteSettings>, ConfigError> {
    let mut new = Config::parse(by)?;
    new.replaces(&Config::parse(RUNNING).expect("good")).map(|()| new.site)
}

#[test]
fn a_file_by_halves_or_with_figures_that_make_no_sense_is_not_taken() {
    let cases = [
        ("", "", "EOF"),
        (r#""Window": 9}]}}"#, r#""Window": 9}]"#, "EOF"),
        (r#""Permissions": {"AttemptsCap": 3, "Probes": true},"#, "", "/settings/Permissions is missing"),
        (r#""AttemptsCap": 3, "#, "", "/settings/Permissions/AttemptsCap is missing"),
        (r#""limits": {"sockets": 512}, "#, "", "/limits is missing"),
        (r#""limits": {"sockets": 512}"#, r#""limits": {}"#, "/limits/sockets is missing"),
        (r#""free", "Credit": 1"#, r#""free""#, "/settings/Classes/0/Credit is missing"),
        (r#""GiveUp": 2, "Idempotency": "free""#, r#""Idempotency": "free""#, "GiveUp"),
        (r#""GiveUp": 2"#, r#""GiveUp": 0"#, "not over 0"),
        (r#""GiveUp": 2"#, r#""GiveUp": -2"#, "not over 0"),
        (r#""Target": 1"#, r#""Target": 0"#, "not over 0"),
        (r#""AttemptsCap": 3"#, r#""AttemptsCap": 0"#, "not over 0"),
        (r#""AttemptsCap": 3"#, r#""AttemptsCap": -1"#, "invalid value"),
        (r#""AttemptsCap": 3"#, r#""AttemptsCap": null"#, "bad settings"),
        (r#""Zone": 1"#, r#""Zone": 1, "RegistryMode": "ask""#, "can't change"),
        (r#""Name": "submit""#, r#""Name": "read""#, "stands twice"),
    ];
    for (old, new, expected) in cases {
        let by = if old.is_empty() { String::new() } else { RUNNING.replacen(old, new, 1) };
        let why = replaced(&by).expect_err(new).to_string();
        assert!(why.contains(expected), "{new}: {why}");
    }
}

#[test]
fn zones_and_kinds_keep_their_numbers_and_no_list_is_wanted() {
    let by = RUNNING.replace(r#""known": {"endpoints": []},"#, "").replace(r#"["a", "b"]"#, r#"["c", "b"]"#);
    let site = replaced(&by.replace(r#"["m", "n"]"#, r#"["n"]"#)).expect("good");
    assert_eq!((&site.zone_names[..], site.settings.zone), (&["a", "b", "c"].map(String::from)[..], 1));
    assert_eq!(site.kind_names, ["m", "n"]);
}

#[test]
fn a_class_of_another_effect_needs_what_all_classes_have() {
    let added = r#""Classes": [{"Name": "correct", "Target": 1, "GiveUp": 2, "Idempotency": "single_shot", "Credit": 2},"#;
    let site = replaced(&RUNNING.replace(r#""Classes": ["#, added)).expect("good");
    assert_eq!(site.class_names, ["correct", "read", "submit"]);
}

/// What stands where, and what was expected, on one line.
#[test]
fn each_problem_says_what_where_and_what_was_expected() {
    let cases = [
        (
            r#""sockets": 512"#,
            r#""sockets": 50"#,
            "limits.sockets = 50: too few sockets; expected 51 or more",
        ),
        (r#""127.0.0.1:1""#, r#""somewhere""#, "at line 1 column 22; expected an address and a port"),
        (
            r#""free""#,
            r#""some\ntimes""#,
            "expected one of `free`, `guarded`, `single_shot` at line 4 column ",
        ),
        (
            r#""Zone": 1"#,
            r#""Zone": "b""#,
            "bad settings: invalid type: string \"b\", expected u8 at line 2 column ",
        ),
        (r#""GiveUp": 2"#, r#""GiveUp": 0"#, "class read: GiveUp is not over 0; expected a time in ms"),
        (r#""AttemptsCap": 3"#, r#""AttemptsCap": 0"#, "attempts are not over 0; expected 1 or more"),
        (
            r#""Name": "submit""#,
            r#""Name": "read""#,
            "Classes: a name is empty or stands twice in [\"read\", \"read\"]",
        ),
        (r#"["a", "b"]"#, r#"["a", ""]"#, "Localities: a name is empty"),
        (r#""listen""#, r#""seed": "xyz", "listen""#, "seed: \"xyz\": expected up to 16 hexadecimal digits"),
        (r#""listen""#, r#""zones": {"return_s": 0}, "listen""#, "zones.return_s = 0: expected 1 to 3600"),
        (
            r#""listen""#,
            r#""zones": {"regions": {"x": ["a"], "y": ["a"]}}, "listen""#,
            "zones.regions: \"a\" stands in two places; expected each zone once",
        ),
        (
            r#""listen""#,
            r#""zones": {"latency_ms": {"b": -1}}, "listen""#,
            "zones.latency_ms.b = -1: expected 0 to 60000",
        ),
        (
            r#""listen""#,
            r#""fleet": {"cluster": "c"}, "listen""#,
            "forbid messages between nodes (Permissions.Peers)",
        ),
    ];
    for (old, new, expected) in cases {
        assert!(RUNNING.contains(old), "{old}");
        let problem = replaced(&RUNNING.replacen(old, new, 1)).expect_err(new);
        let why = ConfigFileError::Bad { path: "n0.json".into(), problem }.to_string();
        assert!(why.starts_with("bad configuration: n0.json: ") && why.contains(expected), "{new}: {why}");
        assert!(!why.contains('\n'), "on one line: {why:?}");
    }
}

// ---- Many classes and tenants ---------------------------------------------------------------------

/// Comparing each name with all before it would be 80,000,000,000 comparisons.
const MANY: usize = 400_000;

/// The running configuration with many classes and tenants, and these tenants after them.
fn many(added: &str) -> String {
    let class =
        |i: usize| format!(r#"{{"Name":"r-{i}","Target":1,"GiveUp":2,"Idempotency":"free","Credit":1}},"#);
    let tenant = |i: usize| format!(r#"{{"Name":"t-{i}","AllowancePerS":1,"Share":0.5}},"#);
    let classes: String = (0..MANY).map(class).collect();
    let tenants: String = (0..MANY).map(tenant).collect();
    let with_tenants = format!(r#""settings": {{"Projects": [{tenants}{added}],"#);
    let with_classes = format!(r#""Classes": [{classes}"#);
    RUNNING.replace(r#""settings": {"#, &with_tenants).replace(r#""Classes": ["#, &with_classes)
}

#[test]
fn many_classes_and_tenants_are_taken_and_one_that_stands_twice_is_named() {
    let last = r#"{"Name":"last","AllowancePerS":1,"Share":0.5}"#;
    let running = Config::parse(&many(last)).expect("good");
    let mut new = Config::parse(&many(last)).expect("good");
    new.replaces(&running).expect("good");
    let replacement = SettingsUpdate::new(new.site.clone(), &running.site);
    assert_eq!(replacement.previous_tenants.len(), MANY + 1);
    assert!(replacement.previous_tenants.iter().enumerate().all(|(now, before)| *before == Some(now)));
    assert_eq!(new.site.class_names.position("submit"), Some(MANY + 1));

    let twice = many(r#"{"Name":"t-7","AllowancePerS":1,"Share":0.5}"#);
    let why = Config::parse(&twice).map(|_| ()).expect_err("one stands twice").to_string();
    let shown = "[\"t-0\", \"t-1\", \"t-2\", \"t-3\", \"t-4\", \"t-5\", \"t-6\", \"t-7\"] and 399993 more";
    assert_eq!(
        why,
        format!(
            "Projects: a name is empty or stands twice in {shown}: \"t-7\" at 7 and 400000; expected each once"
        )
    );
    let short = many(r#"{"Name":"last","Share":0.5}"#);
    let mut short = Config::parse(&short).expect("good by itself");
    let why = short.replaces(&running).expect_err("a key is missing").to_string();
    assert!(why.contains("/settings/Projects/400000/AllowancePerS is missing"), "{why}");
}

#[test]
fn of_many_entries_no_more_keys_are_kept_than_of_few() {
    let shape = |text: &str| {
        let mut config = Config::parse(text).expect("good").without_known_list();
        config.shape.fold();
        config.shape
    };
    let last = r#"{"Name":"last","AllowancePerS":1,"Share":0.5}"#;
    let few = RUNNING.replace(r#""settings": {"#, &format!(r#""settings": {{"Projects": [{last}],"#));
    assert_eq!(shape(&many(last)), shape(&few));
}

// ---- Keys that a later file lacks -----------------------------------------------------------------

/// What is lacking, reckoned from the whole JSON trees.
fn lacks_by_values(running: &Value, new: &Value, path: &str) -> Option<String> {
    match (running, new) {
        (Value::Object(running), Value::Object(new)) => {
            let sorted: BTreeMap<_, _> = running.iter().collect();
            sorted.into_iter().find_map(|(key, value)| {
                let path = format!("{path}/{key}");
                match new.get(key) {
                    None | Some(Value::Null) if !value.is_null() => {
                        Some(ConfigError::Missing(path).to_string())
                    }
                    Some(new) => lacks_by_values(value, new, &path),
                    None => None,
                }
            })
        }
        (Value::Array(running), Value::Array(new)) => {
            let (first, rest) = running.split_first()?;
            let common = rest.iter().fold(first.clone(), |mut common, other| {
                if let (Value::Object(common), Value::Object(other)) = (&mut common, other) {
                    common.retain(|key, _| other.contains_key(key));
                }
                common
            });
            new.iter().enumerate().find_map(|(i, new)| lacks_by_values(&common, new, &format!("{path}/{i}")))
        }
        (Value::Object(_) | Value::Array(_), _) => Some(ConfigError::OtherKind(path.into()).to_string()),
        _ => None,
    }
}

fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        Just(Value::Bool(true)),
        (-9..9).prop_map(Value::from),
        Just(Value::from(0.5)),
        "[ab]".prop_map(Value::from),
    ];
    leaf.prop_recursive(4, 40, 4, |inner| {
        prop_oneof![
            vec(inner.clone(), 0..4).prop_map(Value::from),
            hash_map("[a-c]", inner, 0..4).prop_map(|keys| Value::Object(keys.into_iter().collect())),
        ]
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4000, failure_persistence: None, rng_seed: RngSeed::Fixed(20_261_202), ..ProptestConfig::default() })]

    #[test]
    fn what_is_lacking_is_told_as_from_the_whole_trees(running in any_json(), new in any_json()) {
        let of = |value: &Value| serde_json::from_str::<Shape>(&value.to_string()).expect("JSON");
        let expected = lacks_by_values(&running, &new, "");
        let (mut folded, read) = (of(&running), of(&new));
        prop_assert_eq!(lacks(&folded, &read, "").map(|problem| problem.to_string()), expected.clone());
        folded.fold();
        prop_assert_eq!(lacks(&folded, &read, "").map(|problem| problem.to_string()), expected);
    }
}

/// The planned 4,900 nodes are read, twice as many are, and one more is refused with what was expected.
#[test]
fn a_fleet_of_the_planned_size_is_read_and_a_larger_than_the_bound_is_refused() {
    let peers = |count: usize| {
        let peers: Vec<_> =
            (0..count).map(|node| format!("\"10.0.{}.{}:7946\"", node >> 8, node & 255)).collect();
        let fleet = format!(
            r#""name": "n0", "peer_listen": "127.0.0.1:0", "fleet": {{"cluster": "c"}}, "peers": [{}], "listen""#,
            peers.join(",")
        );
        let text = RUNNING.replacen(r#""listen""#, &fleet, 1);
        let text = text.replacen(r#""Probes": true"#, r#""Probes": true, "Peers": true"#, 1);
        Config::parse(&text).map(|config| config.fleet.map_or(0, |fleet| fleet.peers.len()))
    };
    assert_eq!(peers(4_900).expect("the planned size"), 4_900);
    assert_eq!(peers(MAX_PEERS).expect("the bound"), 9_800);
    let problem = peers(MAX_PEERS + 1).expect_err("too many").to_string();
    assert!(problem.contains("9801 peers") && problem.contains("9800 at most"), "{problem}");
}
