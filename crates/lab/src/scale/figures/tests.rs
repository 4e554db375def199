use super::*;

fn value(figures: &[Figure], name: &str) -> f64 {
    let found = figures.iter().find(|it| it.role == "hollow node" && it.figure == name);
    found.unwrap_or_else(|| panic!("no {name}")).value
}

fn close(one: f64, other: f64) -> bool {
    (one - other).abs() < 1e-9
}

#[test]
fn a_change_is_in_force_when_that_part_of_the_nodes_has_it() {
    let times = BTreeMap::from([(1, (1..=100).rev().collect()), (2, vec![100; 100])]);
    let all = in_force("change", &times);
    assert!(close(value(&all, "change in force at 50 % of the nodes"), 0.075));
    assert!(close(value(&all, "change in force at 99 % of the nodes"), 0.0995));
    assert!(close(value(&all, "change in force at 100 % of the nodes, worst change"), 0.1));
}

/// Three seconds, of which the second has all of the traffic.
#[test]
fn rates_are_for_one_of_a_role_and_the_worst_second_is_kept() {
    let counts = Counts { hollow: 8.0, real: 2.0, agents: 2.0, list_servers: 1.0 };
    let at = |at_s: f64, change_bytes: u64, processor: f64| {
        let mut sample = Sample { at_s, ..Sample::default() };
        sample.from_agents.change_bytes = change_bytes;
        sample.usage.insert("hollow node", (processor, 800.0));
        sample
    };
    let samples = [at(0.0, 0, 1.0), at(1.0, 0, 1.0), at(2.0, 3000, 1.8), at(3.0, 3000, 1.8)];
    let all = traffic(&samples, &counts);
    assert!(close(value(&all, "bytes of lists of changes in"), 100.0));
    assert!(close(value(&all, "bytes of lists of changes in, worst second"), 300.0));
    assert!(close(value(&all, "processor, worst second"), 0.1));
    assert!(close(value(&all, "resident memory"), 100.0));
}
