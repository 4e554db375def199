//! Configuration validation, the error messages, and the comparison of keys at a live reload.

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
                {"Name": "submit", "Target": 1, "GiveUp": 2, "Idempotency": "guarded", "Group": "zone",
                 "Credit": 1, "Window": 9}]}}"#;

/// The settings after a reload of [`RUNNING`] with this text.
fn reloaded(text: &str) -> Result<Arc<SiteSettings>, ConfigError> {
    let mut new = Config::parse(text)?;
    new.prepare_reload(&Config::parse(RUNNING).expect("good")).map(|()| new.site)
}

#[test]
fn a_reload_refuses_incomplete_files_and_invalid_values() {
    let cases = [
        ("", "", "EOF"),
        (r#""Window": 9}]}}"#, r#""Window": 9}]"#, "EOF"),
        (r#""Permissions": {"AttemptsCap": 3, "Probes": true},"#, "", "/settings/Permissions is missing"),
        (r#""AttemptsCap": 3, "#, "", "/settings/Permissions/AttemptsCap is missing"),
        (r#""limits": {"sockets": 512}, "#, "", "/limits is missing"),
        (r#""limits": {"sockets": 512}"#, r#""limits": {}"#, "/limits/sockets is missing"),
        (r#""free", "Credit": 1"#, r#""free""#, "/settings/Classes/0/Credit is missing"),
        (r#""Group": "zone","#, "", "class submit: Group is missing"),
        (r#""Group": "zone""#, r#""Group": null"#, "class submit: Group is missing"),
        (r#", "Window": 9"#, "", "class submit: Window is missing"),
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
        let text = if old.is_empty() { String::new() } else { RUNNING.replacen(old, new, 1) };
        let message = reloaded(&text).expect_err(new).to_string();
        assert!(message.contains(expected), "{new}: {message}");
    }
}

#[test]
fn a_reload_keeps_zone_and_host_type_numbers_and_needs_no_server_list() {
    let text =
        RUNNING.replace(r#""known": {"endpoints": []},"#, "").replace(r#"["a", "b"]"#, r#"["c", "b"]"#);
    let site = reloaded(&text.replace(r#"["m", "n"]"#, r#"["n"]"#)).expect("good");
    assert_eq!((&site.zone_names[..], site.settings.zone), (&["a", "b", "c"].map(String::from)[..], 1));
    assert_eq!(site.kind_names, ["m", "n"]);
}

/// [`RUNNING`] with these classes and tenants.
fn with_classes(classes: &[&str], tenants: &[&str]) -> String {
    let start = RUNNING.find(r#""Classes": ["#).expect("classes");
    let (classes, tenants) = (classes.join(","), tenants.join(","));
    format!(r#"{}"Classes": [{classes}], "Projects": [{tenants}]}}}}"#, &RUNNING[..start])
}

/// The result of a reload from a file to another one: the message if it is refused.
fn reload(running: &str, new: &str) -> Result<(), String> {
    let running = Config::parse(running).expect("good");
    let new = Config::parse(new).and_then(|mut new| new.prepare_reload(&running));
    new.map_err(|error| error.to_string())
}

const READ: &str = r#"{"Name": "read", "Target": 1, "GiveUp": 2, "Idempotency": "free"}"#;
const SUBMIT: &str = r#"{"Name": "submit", "Target": 1, "GiveUp": 2, "Idempotency": "guarded", "Group": "cell", "Window": 9, "LateWorth": 0.5}"#;
const ACME: &str = r#"{"Name": "acme", "Share": 0.5}"#;
const OTHER: &str = r#"{"Name": "other"}"#;

// Guards against files that are taken up though they lack a key which only some of the running entries have.
#[test]
fn an_entry_needs_the_keys_that_the_running_one_of_its_name_has() {
    let running = with_classes(&[READ, SUBMIT], &[ACME, OTHER]);
    assert_eq!(reload(&running, &running), Ok(()));
    assert_eq!(reload(&running, &with_classes(&[SUBMIT, READ], &[OTHER, ACME])), Ok(()), "in another order");
    assert_eq!(reload(&running, &with_classes(&[READ], &[OTHER])), Ok(()), "dropped ones need nothing");

    let without_late_worth = SUBMIT.replace(r#", "LateWorth": 0.5"#, "");
    let message = reload(&running, &with_classes(&[&without_late_worth, READ], &[])).expect_err("a key less");
    assert!(message.contains("/settings/Classes/0/LateWorth is missing"), "{message}");
    let without_share = ACME.replace(r#", "Share": 0.5"#, "");
    let message =
        reload(&running, &with_classes(&[READ, SUBMIT], &[OTHER, &without_share])).expect_err("a key less");
    assert!(message.contains("/settings/Projects/1/Share is missing"), "{message}");
    let without_tenants = running.replace(r#", "Projects""#, r#", "Formerly""#);
    let message = reload(&running, &without_tenants).expect_err("a key less");
    assert!(message.contains("/settings/Projects is missing"), "{message}");

    let read_with_group = READ.replace(r#""free""#, r#""free", "Group": "all""#);
    let running = with_classes(&[&read_with_group, SUBMIT], &[]);
    let message = reload(&running, &with_classes(&[READ, SUBMIT], &[])).expect_err("a key less");
    assert!(message.contains("/settings/Classes/0/Group is missing"), "{message}");
}

// Guards against complete files that are refused because the running one has more keys than it needs.
#[test]
fn a_file_may_lack_what_its_classes_do_not_need() {
    let stretched = |class: &str| class.replace(r#""Target""#, r#""AimStretch": 0.0, "Target""#);
    let running = with_classes(&[&stretched(READ), &stretched(SUBMIT)], &[]);
    assert_eq!(reload(&running, &with_classes(&[READ, SUBMIT], &[])), Ok(()));

    let running = with_classes(&[SUBMIT], &[]).replace(
        r#""settings": {"#,
        r#""settings": {"Specifics": {"WarmKeys": true, "PassesDeadline": false}, "Prices": {"Fleet": 0.1, "Probe": 1},"#,
    );
    let new = with_classes(&[SUBMIT, &READ.replace(r#""free""#, r#""free", "LateWorth": 0"#)], &[]);
    let new = new.replace(r#""settings": {"#, r#""settings": {"Specifics": {}, "Prices": {"Probe": 1},"#);
    assert_eq!(reload(&running, &new), Ok(()), "an added class that is not keyed");

    let unkeyed = SUBMIT.replace(r#""guarded", "Group": "cell", "Window": 9"#, r#""single_shot""#);
    let running = with_classes(&[SUBMIT], &[]);
    assert_eq!(reload(&running, &with_classes(&[&unkeyed], &[])), Ok(()), "a class that is keyed no more");
    let added = SUBMIT.replace("submit", "sign").replace(r#""Group": "cell", "#, "");
    let message = reload(&running, &with_classes(&[SUBMIT, &added], &[])).expect_err("a key less");
    assert!(message.contains("class sign: Group is missing"), "{message}");
}

#[test]
fn an_added_class_needs_only_the_keys_that_all_classes_have() {
    let added = r#""Classes": [{"Name": "correct", "Target": 1, "GiveUp": 2, "Idempotency": "single_shot", "Credit": 2},"#;
    let site = reloaded(&RUNNING.replace(r#""Classes": ["#, added)).expect("good");
    assert_eq!(site.class_names, ["correct", "read", "submit"]);
}

/// A message of more than one line would break the log.
#[test]
fn each_error_says_on_one_line_what_stands_where_and_what_was_expected() {
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
        let error = reloaded(&RUNNING.replacen(old, new, 1)).expect_err(new);
        let message = ConfigFileError::Invalid { path: "n0.json".into(), error }.to_string();
        assert!(
            message.starts_with("bad configuration: n0.json: ") && message.contains(expected),
            "{new}: {message}"
        );
        assert!(!message.contains('\n'), "on one line: {message:?}");
    }
}

// ---- Many classes and tenants ---------------------------------------------------------------------

/// Comparing each name with all before it would take 80,000,000,000 comparisons.
const MANY_ENTRIES: usize = 400_000;

/// [`RUNNING`] with many classes and tenants, and the tenants `added` after them.
fn with_many_entries(added: &str) -> String {
    let class =
        |i: usize| format!(r#"{{"Name":"r-{i}","Target":1,"GiveUp":2,"Idempotency":"free","Credit":1}},"#);
    let tenant = |i: usize| format!(r#"{{"Name":"t-{i}","AllowancePerS":1,"Share":0.5}},"#);
    let classes: String = (0..MANY_ENTRIES).map(class).collect();
    let tenants: String = (0..MANY_ENTRIES).map(tenant).collect();
    let with_tenants = format!(r#""settings": {{"Projects": [{tenants}{added}],"#);
    let with_classes = format!(r#""Classes": [{classes}"#);
    RUNNING.replace(r#""settings": {"#, &with_tenants).replace(r#""Classes": ["#, &with_classes)
}

#[test]
fn many_classes_and_tenants_are_accepted_and_a_duplicate_among_them_is_named() {
    let last = r#"{"Name":"last","AllowancePerS":1,"Share":0.5}"#;
    let running = Config::parse(&with_many_entries(last)).expect("good");
    let mut new = Config::parse(&with_many_entries(last)).expect("good");
    new.prepare_reload(&running).expect("good");
    let update = SettingsUpdate::new(new.site.clone(), &running.site);
    assert_eq!(update.previous_tenants.len(), MANY_ENTRIES + 1);
    assert!(update.previous_tenants.iter().enumerate().all(|(now, before)| *before == Some(now)));
    assert_eq!(new.site.class_names.position("submit"), Some(MANY_ENTRIES + 1));

    let duplicate = with_many_entries(r#"{"Name":"t-7","AllowancePerS":1,"Share":0.5}"#);
    let message = Config::parse(&duplicate).map(|_| ()).expect_err("a duplicate name").to_string();
    let shown = "[\"t-0\", \"t-1\", \"t-2\", \"t-3\", \"t-4\", \"t-5\", \"t-6\", \"t-7\"] and 399993 more";
    assert_eq!(
        message,
        format!(
            "Projects: a name is empty or stands twice in {shown}: \"t-7\" at 7 and 400000; expected each once"
        )
    );
    let incomplete = with_many_entries(r#"{"Name":"last","Share":0.5}"#);
    let mut incomplete = Config::parse(&incomplete).expect("good by itself");
    let message = incomplete.prepare_reload(&running).expect_err("a key is missing").to_string();
    assert!(message.contains("/settings/Projects/400000/AllowancePerS is missing"), "{message}");
}

#[test]
fn the_kept_keys_do_not_grow_with_the_number_of_entries() {
    let kept = |text: &str| {
        let mut config = Config::parse(text).expect("good").without_known_list();
        config.keys.shape.compact();
        let FileKeys { shape, classes, tenants } = config.keys;
        (shape, classes.kept(), tenants.kept())
    };
    let last = r#"{"Name":"last","AllowancePerS":1,"Share":0.5}"#;
    let few = RUNNING.replace(r#""settings": {"#, &format!(r#""settings": {{"Projects": [{last}],"#));
    assert_eq!(kept(&with_many_entries(last)), kept(&few));
}

// ---- Keys that a reloaded file lacks --------------------------------------------------------------

/// The model of `missing_key`: the same computed from the whole JSON values.
fn missing_key_by_values(running: &Value, new: &Value, path: &str) -> Option<String> {
    match (running, new) {
        (Value::Object(running), Value::Object(new)) => {
            let sorted: BTreeMap<_, _> = running.iter().collect();
            sorted.into_iter().find_map(|(key, value)| {
                let path = format!("{path}/{key}");
                match new.get(key) {
                    None | Some(Value::Null) if !value.is_null() => {
                        Some(ConfigError::MissingKey(path).to_string())
                    }
                    Some(new) => missing_key_by_values(value, new, &path),
                    None => None,
                }
            })
        }
        (Value::Array(running), Value::Array(new)) => {
            let (first, rest) = running.split_first()?;
            let shared = rest.iter().fold(first.clone(), |mut shared, other| {
                if let (Value::Object(shared), Value::Object(other)) = (&mut shared, other) {
                    shared.retain(|key, _| other.contains_key(key));
                }
                shared
            });
            new.iter()
                .enumerate()
                .find_map(|(i, new)| missing_key_by_values(&shared, new, &format!("{path}/{i}")))
        }
        (Value::Object(_) | Value::Array(_), _) => Some(ConfigError::DifferentKind(path.into()).to_string()),
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
    fn comparing_shapes_finds_the_same_missing_key_as_comparing_values(running in any_json(), new in any_json()) {
        let shape_of = |value: &Value| serde_json::from_str::<Shape>(&value.to_string()).expect("JSON");
        let expected = missing_key_by_values(&running, &new, "");
        let (mut compacted, read) = (shape_of(&running), shape_of(&new));
        prop_assert_eq!(missing_key(&compacted, &read, "").map(|error| error.to_string()), expected.clone());
        compacted.compact();
        prop_assert_eq!(missing_key(&compacted, &read, "").map(|error| error.to_string()), expected);
    }
}

/// The planned fleet has 4,900 nodes; the bound is twice that.
#[test]
fn the_peers_of_a_planned_fleet_are_accepted_and_more_than_the_bound_are_refused() {
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
    let error = peers(MAX_PEERS + 1).expect_err("too many").to_string();
    assert!(error.contains("9801 peers") && error.contains("9800 at most"), "{error}");
}
