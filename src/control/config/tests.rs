//! What a configuration has to be, and what is said of one that is not.

use super::*;

const RUNNING: &str = r#"{"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "known": {"endpoints": []},
    "limits": {"sockets": 512}, "settings": {"Localities": ["a", "b"], "HostTypes": ["m", "n"], "Zone": 1,
    "Permissions": {"AttemptsCap": 3, "Probes": true},
    "Classes": [{"Name": "read", "Target": 1, "GiveUp": 2, "Idempotency": "free", "Credit": 1},
                {"Name": "submit", "Target": 1, "GiveUp": 2, "Idempotency": "guarded", "Credit": 1, "Window": 9}]}}"#;

fn replaced(by: &str) -> Result<Rc<Site>, Problem> {
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
        let why = NoConfig::Bad { path: "n0.json".into(), problem }.to_string();
        assert!(why.starts_with("bad configuration: n0.json: ") && why.contains(expected), "{new}: {why}");
        assert!(!why.contains('\n'), "on one line: {why:?}");
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
    assert_eq!(peers(MOST_PEERS).expect("the bound"), 9_800);
    let problem = peers(MOST_PEERS + 1).expect_err("too many").to_string();
    assert!(problem.contains("9801 peers") && problem.contains("9800 at most"), "{problem}");
}
