use super::*;

const GOOD: &str = "about = \"for a test\"\nseconds = 10\n[size]\nnodes = 10\nservers = 50\ntenants = 3\nroutes = 2\n\
                    changes_per_s = 1.0\nrestarts_per_s = 0.0\n";

fn problem(text: &str) -> String {
    let scale: Scale = toml::from_str(text).unwrap();
    scale.check("x.toml").unwrap_err().to_string()
}

#[test]
fn a_good_file_is_taken_and_a_misspelt_key_is_not() {
    let scale: Scale = toml::from_str(GOOD).unwrap();
    scale.check("x.toml").unwrap();
    assert_eq!(scale.sizes(), [scale.size]);
    assert!(toml::from_str::<Scale>(&GOOD.replace("seconds", "secnods")).is_err());
}

#[test]
fn what_makes_no_sense_is_named_on_one_line() {
    for (text, what) in [
        (GOOD.replace("seconds = 10", "seconds = 0"), "x.toml: seconds = 0: expected 1 to 300"),
        (
            GOOD.replace("seconds = 10", "seconds = 10\nreal_nodes = 10"),
            "x.toml: size.nodes = 10: expected 11",
        ),
        (
            GOOD.to_string() + "[sweep]\nover = \"nodes\"\nvalues = [1, 2, 3]",
            "sweep.values = [1.0, 2.0, 3.0]",
        ),
        (
            GOOD.to_string() + "[sweep]\nover = \"servers+tenants\"\nvalues = [1, 2, 3, 4]",
            "sweep.tenants = []",
        ),
        (
            GOOD.to_string() + "[[troubles]]\nkind = \"lost\"\nat = 1\nlasts = 2\nservers = 51\nnodes = 1",
            "troubles.servers = 51: expected 0 to 50",
        ),
        (
            GOOD.to_string() + "[[troubles]]\nkind = \"restarts\"\nat = 8\nwithin = 4\npart = 0.1",
            "troubles.at = 12: expected 0 to 10",
        ),
    ] {
        let said = problem(&text);
        assert!(said.contains(what) && said.lines().count() == 1, "{said}");
    }
}

#[test]
fn a_sweep_moves_its_dimension_alone_but_for_pairs() {
    let text = GOOD.to_string()
        + "[sweep]\nover = \"servers+tenants\"\nvalues = [10, 20, 30, 40]\n\
                                   tenants = [1, 2, 3, 4]";
    let scale: Scale = toml::from_str(&text).unwrap();
    scale.check("x.toml").unwrap();
    let sizes: Vec<_> = scale.sizes().iter().map(|it| (it.nodes, it.servers, it.tenants)).collect();
    assert_eq!(sizes, [(10, 10, 1), (10, 20, 2), (10, 30, 3), (10, 40, 4)]);
}
