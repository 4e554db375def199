//! The emulator and its judge: the same seed gives the same bytes, each rule is seen when a strategy breaks it on
//! purpose, and the hard cases of a world end as they should.

use hillpick::{Action, Event, Outcome as Ended, RequestId, ServerId, ServerState, Settings};
use hillpick_lab::emu::{self, Bounds, Standing};
use hillpick_lab::judge::{Outcome, Rule};
use hillpick_lab::results;
use hillpick_lab::size::Size;
use hillpick_lab::spec::Experiment;
use hillpick_lab::strategy::{Kind, Strategy};
use std::path::PathBuf;
use std::time::Duration;

const SMALL: Size = Size { nodes: 3, servers: 12 };

fn experiment(rest: &str) -> Experiment {
    let text = format!(
        "name = 'test'\nabout = 'a test'\nsizes = ['3x12']\nseconds = 12\nseeds = 2\n\
         strategies = ['module', 'random']\n{rest}"
    );
    Experiment::parse("test", &text).unwrap_or_else(|problem| panic!("{problem}"))
}

fn module(rest: &str) -> Outcome {
    emu::run(&experiment(rest), SMALL, Kind::Module, 1)
}

/// A strategy from a function of a node's events; `state` is what it remembers of the list and of requests.
struct Rogue<F>(F, State);

#[derive(Default)]
struct State {
    ready: Vec<ServerId>,
    gone: Vec<ServerId>,
    cold: Vec<ServerId>,
    turn: usize,
}

impl<F: FnMut(&mut State, Event, &mut Vec<Action>)> Strategy for Rogue<F> {
    fn handle(&mut self, _now: Duration, event: Event, actions: &mut Vec<Action>) {
        if let Event::List { entries, .. } = &event {
            for entry in entries {
                self.1.ready.retain(|id| *id != entry.id);
                self.1.cold.retain(|id| *id != entry.id);
                match entry.state {
                    ServerState::Ready if entry.started.is_some() => self.1.cold.push(entry.id),
                    ServerState::Ready => {}
                    _ => self.1.gone.push(entry.id),
                }
                if entry.state == ServerState::Ready {
                    self.1.ready.push(entry.id);
                }
            }
        }
        (self.0)(&mut self.1, event, actions);
    }
}

/// The rules that are broken by nodes that do as `what` says.
fn broken_by(rest: &str, what: impl Fn(&mut State, Event, &mut Vec<Action>) + Clone + 'static) -> Vec<Rule> {
    let make =
        move |_: Settings, _: u64| Box::new(Rogue(what.clone(), State::default())) as Box<dyn Strategy>;
    let strategy = ("rogue".to_string(), Box::new(make) as hillpick_lab::strategy::Make);
    let outcome = emu::run_made(&experiment(rest), SMALL, strategy, 1, Bounds::default()).outcome;
    let mut rules: Vec<_> = outcome.broken.iter().map(|broken| broken.rule).collect();
    assert!(
        outcome.broken.iter().all(|broken| broken.seed == 1 && broken.at_s > 0.0),
        "{:?}",
        outcome.broken
    );
    rules.dedup();
    rules.sort();
    rules.dedup();
    rules
}

fn send(id: RequestId, server: ServerId) -> Action {
    Action::Send { id, server, timeout: Duration::ZERO }
}

/// Sends each request to the next server, and gives it up when that fails.
fn honest(state: &mut State, event: Event, actions: &mut Vec<Action>) {
    match event {
        Event::Request(new) => {
            state.turn += 1;
            actions.push(send(new.id, state.ready[state.turn % state.ready.len()]));
        }
        Event::AttemptEnded(end) if !end.finished => actions.push(Action::Fail { id: end.id }),
        _ => {}
    }
}

#[test]
fn an_honest_strategy_breaks_no_rule() {
    assert_eq!(broken_by("", honest), []);
}

#[test]
fn a_request_without_an_answer_is_lost() {
    let silent = |_: &mut State, _: Event, _: &mut Vec<Action>| {};
    assert_eq!(broken_by("", silent), [Rule::Lost]);
    let fails_twice = |state: &mut State, event: Event, actions: &mut Vec<Action>| {
        let id = if let Event::Request(new) = &event { Some(new.id) } else { None };
        honest(state, event, actions);
        actions.extend(id.into_iter().flat_map(|id| [Action::Fail { id }, Action::Fail { id }]));
    };
    assert_eq!(broken_by("", fails_twice), [Rule::Lost]);
    let sends_after_its_end = |state: &mut State, event: Event, actions: &mut Vec<Action>| {
        if let Event::Request(new) = event {
            actions.extend([Action::Fail { id: new.id }, send(new.id, state.ready[0])]);
        }
    };
    assert_eq!(broken_by("", sends_after_its_end), [Rule::Lost]);
    let answers_what_it_was_not_given = |_: &mut State, event: Event, actions: &mut Vec<Action>| {
        if let Event::Request(new) = event {
            actions.push(Action::Fail { id: RequestId(new.id.0 + 1) });
        }
    };
    assert!(broken_by("", answers_what_it_was_not_given).contains(&Rule::Lost));
}

#[test]
fn what_may_have_run_is_not_sent_or_refused_beyond_its_class() {
    let classes = "[[classes]]\nname = 'pay'\nshare = 1.0\nwork = 'fixed'\naim = 4.0\ndeadline = 10.0\nrepeat = 'unsafe'\n\
                   [[faults]]\nkind = 'erring'\nat = 1.0\nlasts = 5.0\npart = 1.0\nerrors = 1.0";
    let sends_again = |state: &mut State, event: Event, actions: &mut Vec<Action>| match event {
        Event::AttemptEnded(end) if !end.finished && end.attempt == 0 => {
            actions.push(send(end.id, state.ready[3]));
        }
        event => honest(state, event, actions),
    };
    assert_eq!(broken_by(classes, sends_again), [Rule::Duplicate]);
    let refuses = |state: &mut State, event: Event, actions: &mut Vec<Action>| match event {
        Event::AttemptEnded(end) if end.outcome == Ended::Error => {
            actions.push(Action::Refuse { id: end.id, retry_after: None });
        }
        event => honest(state, event, actions),
    };
    assert_eq!(broken_by(classes, refuses), [Rule::Duplicate]);
    assert_eq!(broken_by(classes, honest), []);
    // A keyed request may be sent again in its cell, but not beyond it.
    let keyed = classes.replace("unsafe", "keyed-cell");
    assert_eq!(broken_by(&keyed, sends_again), [Rule::Duplicate]);
    assert_eq!(broken_by(&classes.replace("unsafe", "safe"), sends_again), []);
}

#[test]
fn a_server_that_is_gone_gets_nothing_new() {
    let release = "[list]\ndelay_s = [0.1, 0.2]\ndrain_grace_s = 0.5\n[[faults]]\nkind = 'release'\nat = 1.0\n\
                   lasts = 1.0\npart = 0.2\nbatch = 1.0\ndrain_s = 5.0";
    let clings = |state: &mut State, event: Event, actions: &mut Vec<Action>| match event {
        Event::Request(new) if !state.gone.is_empty() => actions.push(send(new.id, state.gone[0])),
        event => honest(state, event, actions),
    };
    assert_eq!(broken_by(release, clings), [Rule::Drain]);
    let invents = |_: &mut State, event: Event, actions: &mut Vec<Action>| match event {
        Event::Request(new) => actions.push(send(new.id, ServerId(7))),
        Event::AttemptEnded(end) => actions.push(Action::Fail { id: end.id }),
        _ => {}
    };
    assert!(broken_by("", invents).contains(&Rule::Form));
}

#[test]
fn a_cold_server_that_gets_too_much_falls_over() {
    let crash = "[list]\ndelay_s = [0.1, 0.2]\n[[faults]]\nkind = 'crash'\nat = 1.0\nlasts = 1.0\npart = 0.1";
    let crowds = |state: &mut State, event: Event, actions: &mut Vec<Action>| match event {
        Event::Request(new) if !state.cold.is_empty() => actions.push(send(new.id, state.cold[0])),
        event => honest(state, event, actions),
    };
    assert_eq!(broken_by(crash, crowds), [Rule::Cold]);
}

#[test]
fn datagrams_are_bounded() {
    let long = |state: &mut State, event: Event, actions: &mut Vec<Action>| {
        if matches!(event, Event::Request(_)) {
            actions.push(Action::SendToPeer { to: None, data: vec![0; 257] });
        }
        honest(state, event, actions);
    };
    assert_eq!(broken_by("", long), [Rule::Form]);
    let short = |state: &mut State, event: Event, actions: &mut Vec<Action>| {
        if matches!(event, Event::Request(_)) {
            actions.push(Action::SendToPeer { to: Some(1), data: vec![0; 256] });
        }
        honest(state, event, actions);
    };
    assert_eq!(broken_by("", short), []);
    assert_eq!(broken_by("[peers]\nallowed = false", short), [Rule::Form]);
}

/// Every kind of fault at once, each beginning before another ends.
const ALL: &str = "
[nodes]
cpu_us = 40
[[faults]]
kind = 'crash'
at = 1.0
lasts = 2.0
part = 0.2
[[faults]]
kind = 'silent'
at = 1.5
lasts = 3.0
part = 0.2
[[faults]]
kind = 'zone-lost'
at = 2.0
lasts = 2.0
zone = 'b'
[[faults]]
kind = 'zone-cut'
at = 2.5
lasts = 2.0
zone = 'a'
from = ['servers', 'peers', 'list']
direction = 'in'
[[faults]]
kind = 'slow'
at = 1.0
lasts = 6.0
part = 0.3
factor = 3.0
[[faults]]
kind = 'pauses'
at = 3.0
lasts = 4.0
part = 0.5
pause_ms = 200
every_s = 1.0
[[faults]]
kind = 'neighbour'
at = 2.0
lasts = 4.0
part = 0.5
taken = 0.6
turn_s = 0.7
[[faults]]
kind = 'heavy-tail'
at = 1.0
lasts = 8.0
part = 0.02
times = 10.0
class = 'claim'
[[faults]]
kind = 'erring'
at = 4.0
lasts = 2.0
part = 0.3
errors = 0.5
class = 'claim'
[[faults]]
kind = 'resets'
at = 4.0
lasts = 1.0
part = 0.1
[[faults]]
kind = 'list'
at = 4.0
lasts = 3.0
how = 'late'
delay_s = 2.0
[[faults]]
kind = 'list'
at = 5.0
lasts = 2.0
how = 'silent'
[[faults]]
kind = 'list'
at = 5.5
lasts = 2.0
how = 'stale'
delay_s = 4.0
[[faults]]
kind = 'killed'
at = 5.0
lasts = 1.0
part = 0.4
[[faults]]
kind = 'roll'
at = 6.0
lasts = 3.0
batch = 0.4
down_s = 0.5
[[faults]]
kind = 'release'
at = 3.0
lasts = 4.0
part = 0.4
batch = 0.5
drain_s = 1.0
[[faults]]
kind = 'starved'
at = 7.0
lasts = 2.0
part = 0.5
cpu = 0.1
[[faults]]
kind = 'stopped'
at = 7.5
lasts = 1.0
part = 0.4
[[faults]]
kind = 'clock-step'
at = 4.5
lasts = 3.0
part = 1.0
by_s = 3600.0
[[faults]]
kind = 'flash'
at = 8.0
lasts = 2.0
factor = 2.0
zone = 'c'
[[faults]]
kind = 'storm'
at = 8.0
lasts = 2.0
retries = 10
[[faults]]
kind = 'lossy'
at = 0.0
lasts = 9.0
loss = 0.2
delay_ms = 50.0
duplicate = 0.1
";

#[test]
fn the_same_seed_gives_the_same_bytes_with_any_number_of_threads() {
    let experiment = experiment(ALL);
    let jobs = results::jobs(&experiment, &experiment.sizes, 2);
    let played = |threads: usize| {
        let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build().unwrap();
        let outcomes = pool.install(|| results::play(&experiment, &jobs, None, true)).unwrap();
        serde_json::to_vec(&outcomes).unwrap()
    };
    let once = played(1);
    assert!(once == played(8) && once == played(1));
    // And another seed gives others.
    let text = String::from_utf8(once).unwrap();
    assert!(text.contains("\"seed\":1") && text.contains("\"seed\":2"));
}

#[test]
fn the_module_keeps_every_rule_through_all_faults_at_once() {
    for seed in 1..=6 {
        let outcome = emu::run(&experiment(ALL), SMALL, Kind::Module, seed);
        assert_eq!(outcome.broken, [], "seed {seed}");
        assert!(outcome.figures["served"] > 0.1, "seed {seed}: {:?}", outcome.figures);
    }
}

#[test]
fn demand_does_not_hang_on_decisions() {
    let experiment = experiment(ALL);
    let asked = |kind| {
        let outcome = emu::run(&experiment, SMALL, kind, 3);
        outcome
            .windows
            .into_iter()
            .map(|window| ((window.asked * 1e6).round(), window.requests))
            .collect::<Vec<_>>()
    };
    assert_eq!(asked(Kind::Module), asked(Kind::LeastOfTwo));
}

/// A world that lacks something is still a world: nobody serves, or nobody asks.
#[test]
fn worlds_without_servers_clients_or_either_in_a_zone() {
    let none = emu::run(&experiment(""), Size { nodes: 3, servers: 0 }, Kind::Module, 1);
    assert_eq!((none.figures["served"], none.broken.len()), (0.0, 0));
    assert!(none.lost["refused-full"] > 0.99, "{:?}", none.lost);
    for quiet in ["[clients]\nload = 0.0", "[clients]\nper_node_per_s = 0.0"] {
        let outcome = module(quiet);
        assert_eq!((outcome.figures["requests"], outcome.broken.len()), (0.0, 0));
    }
    let outcome = module("servers = { zones = [1.0, 1.0, 0.0] }\nnodes = { zones = [0.0, 1.0, 1.0] }");
    assert_eq!(outcome.broken, []);
    assert!(outcome.figures["served"] > 0.9, "{:?}", outcome.figures);
    let lonely = module("nodes = { zones = [1.0, 0.0, 0.0] }\nclients = { zones = [0.0, 0.0, 1.0] }");
    assert!(lonely.figures["served"] > 0.9 && lonely.zones.len() == 1, "{:?}", lonely.figures);
}

/// The experiments on cold servers and on shares, as they stand: what they expect holds at their small size.
#[test]
fn cold_servers_and_shares_are_as_their_files_expect() {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../experiments");
    for file in ["cold/together", "cold/restart", "cold/zone", "shares/class", "shares/tenant"] {
        let experiment = Experiment::read(&root.join(format!("{file}.toml"))).unwrap();
        let outcomes =
            results::play(&experiment, &results::jobs(&experiment, &[SMALL], 2), None, true).unwrap();
        for verdict in results::verdicts(&experiment, &[SMALL], &outcomes) {
            assert!(verdict.holds, "{file}: {}: {}", verdict.expected, verdict.got);
        }
    }
}

/// Whatever a server held when it died ends as a reset; nobody waits for it, and what it does later is new.
/// Early time-outs whose work goes on must not bring a fleet down whose servers share their cores: the file's expectations
/// fail if nothing pays for them (docs/incidents/malanad.md).
#[test]
fn a_fleet_whose_servers_share_their_cores_is_as_its_file_expects() {
    let file =
        PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../../experiments/days/shared-cores.toml"));
    let experiment = Experiment::read(&file).unwrap_or_else(|problem| panic!("{problem}"));
    let jobs = results::jobs(&experiment, &experiment.sizes, experiment.seeds);
    let outcomes = results::play(&experiment, &jobs, None, false).expect("outcomes");
    for verdict in results::verdicts(&experiment, &experiment.sizes, &outcomes) {
        assert!(verdict.holds, "{} at {}: {}", verdict.expected, verdict.size, verdict.got);
    }
}

#[test]
fn a_server_that_dies_takes_what_it_holds_with_it() {
    let crash = "clients = { load = 0.95, patience = [1.0, 1.0] }\n[[faults]]\nkind = 'crash'\nat = 3.0\nlasts = 2.0\n\
                 part = 0.5";
    let outcome = emu::run(&experiment(crash), SMALL, Kind::Random, 1);
    assert!(outcome.lost["dead"] > 0.02, "{:?}", outcome.lost);
    assert_eq!(outcome.broken.iter().filter(|broken| broken.rule != Rule::Cold).count(), 0);
    let back = module(crash);
    assert!(back.broken.is_empty() && back.figures["fallen"] == 0.0);
    assert_eq!(back.faults[0].name, "crash");
}

/// A killed node's clients come again elsewhere; its timers and attempts have gone with it, and it starts as new.
#[test]
fn a_node_that_dies_takes_its_timers_and_attempts_with_it() {
    let killed = "[[faults]]\nkind = 'killed'\nat = 3.0\nlasts = 2.0\npart = 0.7";
    let outcome = module(killed);
    assert_eq!(outcome.broken, []);
    assert!(outcome.figures["tries"] > 1.01 && outcome.figures["served"] > 0.7, "{:?}", outcome.figures);
    // All at once, for good: from then on nobody is served, and the day ends all the same.
    let all = module("[[faults]]\nkind = 'killed'\nat = 6.0\nlasts = 3600.0\npart = 1.0");
    assert!(all.windows[8..].iter().all(|window| window.served == 0.0));
    assert!(all.lost["no-node"] > 0.3, "{:?}", all.lost);
}

/// A client that leaves while an attempt is out calls its work off: where running work stops, less of it is wasted.
#[test]
fn a_client_that_leaves_takes_its_work_with_it() {
    let wasted = |stops: bool| {
        let text = format!(
            "servers = {{ cancel_stops = {stops} }}\nclients = {{ load = 0.9, retries = 0, patience = [0.2, 0.2] }}"
        );
        emu::run(&experiment(&text), SMALL, Kind::Random, 1).figures["waste"]
    };
    assert!(wasted(false) > 1.2 * wasted(true), "{} and {}", wasted(false), wasted(true));
}

/// A neighbour slows servers by turns and until its end; heavy requests are those of their class alone.
#[test]
fn neighbours_slow_servers_and_heavy_requests_are_of_one_class() {
    let fault = |rest: &str| {
        let text = format!("clients = {{ load = 0.4 }}\n[[faults]]\nat = 2.0\nlasts = 4.0\npart = {rest}");
        emu::run(&experiment(&text), SMALL, Kind::LeastOfTwo, 1)
    };
    let share =
        |outcome: &Outcome, second: usize| outcome.windows[second].served / outcome.windows[second].asked;
    let all = fault("1.0\nkind = 'neighbour'\ntaken = 0.95\nturn_s = 1.0");
    assert!(share(&all, 3) < 0.9 && share(&all, 9) > 0.97, "{:?}", all.windows);
    assert!(all.lost["slow"] > 0.01, "{:?}", all.lost);
    let heavy = fault("0.1\nkind = 'heavy-tail'\ntimes = 15.0\nclass = 'claim'");
    assert!(
        heavy.classes["claim"].served < 0.9 && heavy.classes["view"].served > 0.95,
        "{:?}",
        heavy.classes
    );
}

/// The same request takes as long everywhere, unless machines or attempts are told to differ.
#[test]
fn machines_and_attempts_differ_as_far_as_they_are_told_to() {
    let spread = |speed_cv: f64, noise: f64| {
        let text = format!(
            "servers = {{ speed_cv = {speed_cv} }}\nclients = {{ load = 0.02 }}\n[[classes]]\nname = 'x'\nshare = 1.0\n\
             work = 'fixed'\nattempt_noise = {noise}\naim = 90.0\ndeadline = 99.0\nrepeat = 'safe'"
        );
        let figures = emu::run(&experiment(&text), SMALL, Kind::LeastOfTwo, 1).figures;
        figures["p99_ms"] / figures["p50_ms"]
    };
    let (none, machines, attempts) = (spread(0.0, 0.0), spread(0.4, 0.0), spread(0.0, 0.8));
    assert!(none < 1.5 && machines > 1.25 * none && attempts > 2.0 * none, "{none} {machines} {attempts}");
}

/// Each request has one end; what random choice crowds tips over, where servers can.
#[test]
fn requests_are_counted_by_their_ends_and_by_how_their_servers_stood() {
    let fates = |choke: &str| {
        let text = format!("servers = {{ waiting = 8{choke} }}\nclients = {{ load = 0.9 }}");
        let run = emu::run_within(&experiment(&text), SMALL, Kind::Random, 1, Bounds::default());
        let (fates, figures) = (run.fates, run.outcome.figures);
        assert_eq!(fates.requests() as f64, figures["requests"]);
        assert!((fates.late.all() as f64 / figures["requests"] - figures["late"]).abs() < 1e-9);
        assert!(fates.late_waited_first.all() + fates.late_refused_first <= fates.late.all());
        (fates.late, fates.in_time)
    };
    let choke = ", choke = { share = 1.0, at = 5, over_s = 0.2, slower = 3.0, rest_s = 0.5, below = 0.2, most_s = 9.0 }";
    let ((late, in_time), (usual, _)) = (fates(choke), fates(""));
    let part = |answers: emu::Answers| answers.of(Standing::TIPPED) as f64 / answers.all() as f64;
    assert!(part(late) > 0.1 && part(late) > 2.0 * part(in_time), "{late:?} {in_time:?}");
    assert!(usual.of(Standing::TIPPED) == 0 && usual.of(Standing::CROWDED) > 0, "{usual:?}");
}

/// Servers come back under their own ids and serve again; the day ends with every request closed once.
#[test]
fn restarted_servers_serve_again_and_the_day_settles_all() {
    let text = "[servers]\nwarm_s = 1.0\ncold_share = 1.0\n[[faults]]\nkind = 'crash'\nat = 2.0\nlasts = 2.0\npart = 1.0";
    let outcome = emu::run(&experiment(text), SMALL, Kind::LeastOfTwo, 1);
    assert!(outcome.windows[3].served == 0.0 && outcome.windows[10].served > 0.5 * outcome.windows[10].asked);
    let requests: u64 = outcome.windows.iter().map(|window| window.requests).sum();
    assert_eq!(requests as f64, outcome.figures["requests"]);
    let lost: f64 = outcome.lost.values().sum();
    assert!((outcome.figures["served"] + lost - 1.0).abs() < 1e-9, "{:?}", outcome.lost);
}

/// A one-way cut lets requests run whose answers are lost: they may have run, and the rules hold.
#[test]
fn an_answer_that_is_cut_off_may_have_run() {
    let cut = |direction: &str| {
        module(&format!(
            "[[faults]]\nkind = 'zone-cut'\nat = 2.0\nlasts = 4.0\nzone = 'a'\nfrom = ['servers']\n\
             direction = '{direction}'"
        ))
    };
    for direction in ["in", "out", "both"] {
        let outcome = cut(direction);
        assert_eq!(outcome.broken, [], "{direction}");
        assert!(outcome.lost.contains_key("cut"), "{direction}: {:?}", outcome.lost);
    }
}

#[test]
fn a_wrong_file_says_where_and_what_was_expected() {
    let wrong = |rest: &str| {
        let text = format!(
            "name = 'x'\nabout = 'x'\nsizes = ['3x12']\nseconds = 5\nstrategies = ['random']\n{rest}"
        );
        Experiment::parse("x.toml", &text).unwrap_err().to_string()
    };
    for (rest, words) in [
        ("[clients]\nlaod = 1", vec!["laod", "expected", "load"]),
        ("[clients]\nload = 'much'", vec!["load", "f64"]),
        ("[clients]\nload = -1", vec!["clients.load", "-1", "0 to 100"]),
        ("[world]\nregions = [['a', 'a']]", vec!["world.regions", "each zone once"]),
        ("[servers]\nzones = [1.0]", vec!["servers.zones", "a part for each zone"]),
        ("[[faults]]\nkind = 'crash'\nat = 9\nlasts = 1\npart = 0.5", vec!["faults[0].at", "9", "0 to 5"]),
        (
            "[[faults]]\nkind = 'zone-lost'\nat = 1\nlasts = 1\nzone = 'q'",
            vec!["faults[0].zone", "q", "a, b, c"],
        ),
        ("[[faults]]\nkind = 'crush'\nat = 1\nlasts = 1", vec!["crush", "crash"]),
        ("[[faults]]\nkind = 'crash'\nat = 1\nlasts = 1\npart = 2", vec!["faults[0].part", "2", "0 to 1"]),
        (
            "[clients]\ntenants = 2\ntenant_parts = [1.0]",
            vec!["clients.tenant_parts", "a part for each tenant"],
        ),
        ("[servers]\nfull_tax = 1.0", vec!["servers.full_tax", "1", "0 to 0.99"]),
        (
            "[servers.choke]\nshare = 0.6\nat = 0\nover_s = 2\nslower = 2\nrest_s = 3\nbelow = 0.3\nmost_s = 20",
            vec!["servers.choke.at", "0", "over 0"],
        ),
        (
            "[[faults]]\nkind = 'neighbour'\nat = 1\nlasts = 1\npart = 1\ntaken = 2\nturn_s = 1",
            vec!["faults[0].taken", "2", "0 to 1"],
        ),
        (
            "[[faults]]\nkind = 'heavy-tail'\nat = 1\nlasts = 1\npart = 1\ntimes = 9\nclass = 'q'",
            vec!["faults[0].class", "q", "the name of a class"],
        ),
        ("[peers]\ndelay_ms = [3.0, 1.0]", vec!["peers.delay_ms", "the lower end first"]),
        ("[clients]\nload = ", vec!["x.toml:7: ", "`load =`"]),
        ("[clients]\nretries = -1", vec!["x.toml:7: ", "-1", "u32", "`retries = -1`"]),
        ("expect = ['shine >= 1']", vec!["x.toml:6: ", "shine", "expected one of served"]),
        ("strategies = ['random']", vec!["x.toml:6: ", "duplicate key"]),
        ("[[classes]]\nshare = 1\nwork = 'fixed'\naim = 3\nrepeat = 'safe'", vec!["x.toml:6: ", "name"]),
    ] {
        let error = wrong(rest);
        assert!(!error.contains('\n'), "on one line: {error:?}");
        assert!(error.starts_with("x.toml") && words.iter().all(|word| error.contains(word)), "{error}");
    }
    let expects = |what: &str| {
        let text = format!(
            "name='x'\nabout='x'\nsizes=['3x12']\nseconds=5\nstrategies=['random']\nexpect=['{what}']"
        );
        Experiment::parse("x.toml", &text).unwrap_err().to_string()
    };
    assert!(expects("served[class=pay] >= 1").contains("one of the classes view, claim"));
    assert!(expects("served[tenant=0] >= 1").contains("a tenant below clients.tenants, which is 0"));
    assert!(
        Experiment::read(&PathBuf::from("no/such/file")).unwrap_err().to_string().contains("no/such/file")
    );
}

/// A folder that holds something is not written into, an interrupted run can be gone on with, and what was done by
/// then is read as it is.
#[test]
fn a_folder_of_results_outlives_an_interruption() {
    let folder = std::env::temp_dir().join(format!("hillpick-lab-{}", std::process::id()));
    let text = "name = 'x'\nabout = 'x'\nsizes = ['2x4']\nseconds = 3\nseeds = 3\nstrategies = ['random']";
    let experiment = Experiment::parse("x", text).unwrap();
    let jobs = results::jobs(&experiment, &experiment.sizes, 3);
    results::prepare(&folder, text, false).unwrap();
    let first = results::play(&experiment, &jobs[..2], Some(&folder), true).unwrap();
    std::fs::write(folder.join("runs/2x4-random-3.half"), "{").unwrap();
    let (_, read) = results::read(&folder).unwrap();
    assert_eq!(read, first);
    let error = results::prepare(&folder, text, false).unwrap_err().to_string();
    assert!(error.contains("--resume"), "{error}");
    let error = results::prepare(&folder, "name = 'y'", true).unwrap_err().to_string();
    assert!(error.contains("another experiment"), "{error}");
    results::prepare(&folder, text, true).unwrap();
    let all = results::play(&experiment, &jobs, Some(&folder), true).unwrap();
    assert_eq!((&all[..2], all.len()), (&first[..], 3));
    std::fs::remove_dir_all(&folder).unwrap();
}
