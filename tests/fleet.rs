//! Several real nodes on the lab's rig, which injects faults into processes and network paths. The rig checks
//! the same rules as the emulator. Of the figures the tests only expect that some requests are served, since
//! how many depends on the machine.

use hillpick_lab::judge::Outcome;
use hillpick_lab::rig::{self, Program, spec::Rig};

/// Runs a rig with real node processes in a folder of its own, and checks that it cleans up after itself.
fn run_rig(name: &str, text: &str) -> Outcome {
    let rig = Rig::parse(name, text).unwrap_or_else(|error| panic!("{error}"));
    let program = Program { node: env!("CARGO_BIN_EXE_sillward").into(), guard: None };
    let folder = std::env::temp_dir().join(format!("hillpick-fleet-{}-{name}", std::process::id()));
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let outcome =
        runtime.expect("a runtime").block_on(rig::run(&rig, &program, &folder)).expect("a rig that runs");
    assert!(!folder.exists(), "the rig left files behind");
    outcome
}

/// Runs a rig with faults, and checks that no rule is broken and that some requests are served.
fn assert_rules_kept(name: &str, nodes: usize, servers: usize, seconds: f64, faults: &str) -> Outcome {
    let text = format!(
        "name = '{name}'\nabout = 'a test'\nnodes = {nodes}\nservers = {servers}\nseconds = {seconds:?}\n\
         requests_per_s = 40\nwork_ms = 40\nretries = 2\n{faults}"
    );
    let outcome = run_rig(name, &text);
    assert_eq!(outcome.broken, [], "{name}");
    assert!(outcome.figures["served"] > 0.0, "{name}: {:?}", outcome.figures);
    outcome
}

/// The same, with three nodes and six servers.
fn assert_rules_kept_by_three(name: &str, faults: &str) -> Outcome {
    assert_rules_kept(name, 3, 6, 3.0, faults)
}

#[test]
fn killed_nodes_restart_within_the_rules() {
    assert_rules_kept_by_three("kill", "[[faults]]\nkind = 'kill'\nat = 1.0\nlasts = 0.5\npart = 0.67");
}

#[test]
fn a_node_shuts_down_gracefully_within_the_rules() {
    assert_rules_kept_by_three("term", "[[faults]]\nkind = 'term'\nat = 1.0\nlasts = 1.0\npart = 0.67");
}

#[test]
fn a_paused_node_resumes_within_the_rules() {
    assert_rules_kept_by_three("stop", "[[faults]]\nkind = 'stop'\nat = 1.0\nlasts = 0.7\npart = 0.34");
}

#[test]
fn the_rules_hold_while_servers_crash_drain_fail_or_slow_down() {
    assert_rules_kept_by_three(
        "servers",
        "[[faults]]\nkind = 'crash'\nat = 0.5\nlasts = 1.0\npart = 0.17\n\
         [[faults]]\nkind = 'drain'\nat = 1.0\nlasts = 1.0\npart = 0.34\n\
         [[faults]]\nkind = 'erring'\nat = 1.0\nlasts = 1.0\npart = 0.34\nerrors = 0.5\n\
         [[faults]]\nkind = 'slow'\nat = 1.5\nlasts = 1.0\npart = 0.34\nfactor = 3.0",
    );
}

/// Every kind of path fault on every path, in both directions and in each alone.
#[test]
fn the_rules_hold_while_paths_delay_hold_drop_or_reset() {
    let path = |at: f64, between: &str, how: &str, direction: &str| {
        format!(
            "[[faults]]\nkind = 'path'\nat = {at:?}\nlasts = 0.6\npart = 0.34\nbetween = '{between}'\n\
             how = '{how}'\ndirection = '{direction}'\ndelay_ms = 20.0\nloss = 0.2\n"
        )
    };
    let mut faults = String::new();
    for (i, between) in ["client-node", "node-server", "node-discovery", "node-node"].into_iter().enumerate()
    {
        for (j, how) in ["delay", "hold", "drop", "reset"].into_iter().enumerate() {
            let direction = ["both", "in", "out"][(i + j) % 3];
            faults += &path(0.3 + 0.25 * j as f64 + 0.1 * i as f64, between, how, direction);
        }
    }
    faults += &path(0.5, "node-node", "loss", "both");
    assert_rules_kept("paths", 3, 6, 4.0, &faults);
}

/// Discovery agents go silent and recover, then refuse connections and recover, while servers drain and nodes
/// are killed. The rig takes the agents' list as announced to the nodes once the agents are back. Longer
/// outages are in experiments/rig.
#[test]
fn nodes_whose_agents_failed_send_nothing_to_terminated_servers() {
    let fault = |kind: &str, at: f64, lasts: f64, part: f64| {
        format!("[[faults]]\nkind = '{kind}'\nat = {at:?}\nlasts = {lasts:?}\npart = {part:?}\n")
    };
    let faults = fault("discovery", 0.3, 1.5, 0.67)
        + "how = 'silent'\n"
        + &fault("drain", 0.5, 9.0, 0.34)
        + &fault("kill", 1.0, 0.3, 0.34)
        + &fault("discovery", 2.2, 0.4, 0.67)
        + "how = 'refuse'\n"
        + &fault("drain", 2.3, 9.0, 0.17);
    std::thread::scope(|scope| {
        for (name, form) in [("agents-indented", "indented"), ("agents-bytes", "bytes")] {
            let faults = format!("list_form = '{form}'\n{faults}");
            scope.spawn(move || assert_rules_kept(name, 3, 6, 5.5, &faults));
        }
    });
}

/// Faults of nodes, servers and paths at once, with more nodes than servers in a zone.
#[test]
fn twelve_nodes_keep_the_rules_under_all_faults_at_once() {
    let outcome = assert_rules_kept(
        "twelve",
        12,
        12,
        5.0,
        "[[faults]]\nkind = 'kill'\nat = 1.0\nlasts = 1.0\npart = 0.5\n\
         [[faults]]\nkind = 'term'\nat = 2.5\nlasts = 1.0\npart = 0.25\n\
         [[faults]]\nkind = 'drain'\nat = 0.5\nlasts = 2.0\npart = 0.25\n\
         [[faults]]\nkind = 'path'\nat = 3.0\nlasts = 1.0\npart = 1.0\nzone = 'a'\nbetween = 'node-server'\n\
         how = 'drop'\nacross = true",
    );
    assert_eq!(outcome.faults.len(), 4);
}

/// The same with membership: all views have to converge before the run and again after it.
fn assert_views_converge(name: &str, nodes: usize, faults: &str) {
    let membership_and_faults = format!("probe_ms = 200\none_view_s = 120.0\n{faults}");
    assert_rules_kept(name, nodes, nodes, 3.0, &membership_and_faults);
}

#[test]
fn views_converge_after_members_are_killed_or_paused() {
    assert_views_converge(
        "members-kill",
        4,
        "[[faults]]\nkind = 'kill'\nat = 0.5\nlasts = 1.5\npart = 0.5\n\
         [[faults]]\nkind = 'stop'\nat = 1.0\nlasts = 1.0\npart = 0.25",
    );
}

#[test]
fn views_converge_after_a_member_leaves_and_returns() {
    assert_views_converge("members-term", 3, "[[faults]]\nkind = 'term'\nat = 0.5\nlasts = 1.5\npart = 0.34");
}

#[test]
fn views_converge_after_a_partition() {
    let cut = "[[faults]]\nkind = 'path'\nat = 0.3\nlasts = 2.0\npart = 1.0\nzone = 'a'\nbetween = 'node-node'\n\
               how = 'drop'\nacross = true";
    assert_views_converge("members-cut", 6, cut);
}

/// Nine nodes that balance by zones: a third of the servers crash and return, and a zone's paths to servers
/// are cut and heal.
#[test]
fn nodes_that_balance_by_zones_keep_the_rules() {
    assert_rules_kept(
        "zones",
        9,
        9,
        5.0,
        "by_zone = true\n\
         [[faults]]\nkind = 'crash'\nat = 1.0\nlasts = 1.0\npart = 0.34\n\
         [[faults]]\nkind = 'path'\nat = 2.5\nlasts = 1.0\npart = 1.0\nzone = 'a'\nbetween = 'node-server'\n\
         how = 'drop'\nacross = true",
    );
}

/// A configuration with membership is refused where the settings forbid messages between nodes, and the error
/// says why.
#[test]
fn membership_is_refused_where_the_settings_forbid_peers() {
    let folder = std::env::temp_dir().join(format!("hillpick-fleet-{}-forbidden", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let config = folder.join("n0.json");
    let start = |fleet: &str, peers: bool| {
        let text = format!(
            "{{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\",\
             \"peer_listen\":\"127.0.0.1:0\",\"peers\":[\"127.0.0.1:1\"],\"fleet\":{fleet},\
             \"settings\":{{\"Permissions\":{{\"Peers\":{peers},\"AttemptsCap\":1}},\"Classes\":[{{\"Name\":\"a\",\
             \"Target\":1.0,\"GiveUp\":2.0,\"Idempotency\":\"free\"}}]}}}}"
        );
        std::fs::write(&config, text).expect("a file");
        let output =
            std::process::Command::new(env!("CARGO_BIN_EXE_sillward")).env("PROXY_CONFIG", &config).output();
        let output = output.expect("a node that ends");
        assert!(!output.status.success());
        String::from_utf8_lossy(&output.stderr).into_owned()
    };
    let forbidden = start("{\"cluster\":\"c\"}", false);
    assert!(forbidden.contains("forbid") && forbidden.contains("Permissions.Peers"), "{forbidden}");
    let fast = start("{\"cluster\":\"c\",\"probe_ms\":1}", true);
    assert!(fast.contains("probe_ms = 1: expected 100 to 60000"), "{fast}");
    let unknown = start("{\"cluster\":\"c\",\"prob_ms\":1}", true);
    assert!(unknown.contains("prob_ms"), "{unknown}");
    std::fs::remove_dir_all(&folder).expect("a folder to remove");
}

/// The rig reports what it can't run: a program that is not a node, and a rig without nodes.
#[test]
fn a_rig_without_working_nodes_is_an_error() {
    let rig =
        Rig::parse("x", "name='x'\nabout='x'\nnodes=1\nservers=1\nseconds=1\nrequests_per_s=1\nwork_ms=10");
    let program = Program { node: "/bin/false".into(), guard: None };
    let folder = std::env::temp_dir().join(format!("hillpick-fleet-{}-none", std::process::id()));
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().expect("one");
    let error = runtime.block_on(rig::run(&rig.unwrap(), &program, &folder)).unwrap_err();
    assert!(error.to_string().contains("did not start"), "{error}");
    assert!(!folder.exists());
    let error = Rig::parse(
        "x.toml",
        "name='x'\nabout='x'\nnodes=0\nservers=1\nseconds=1\nrequests_per_s=1\nwork_ms=10",
    );
    assert!(error.unwrap_err().to_string().contains("nodes = 0: expected 1 to 60"));
}
