use super::*;

fn scale(nodes: u32, servers: u32) -> Scale {
    let text = format!(
        "about = \"for a test\"\nseconds = 20\n[size]\nnodes = {nodes}\nservers = {servers}\ntenants = 10\n\
         routes = 2\nchanges_per_s = 0.0\nrestarts_per_s = 0.0"
    );
    toml::from_str(&text).unwrap()
}

const ROOM: Room = Room { memory: 12 << 30, descriptors: 20_000, ports: 14_000 };

#[test]
fn what_fits_is_let_through() {
    check(&scale(500, 5_000), &ROOM).unwrap();
}

#[test]
fn what_does_not_fit_is_refused_with_what_would() {
    let scale = scale(4_900, 52_000);
    let refused = check(&scale, &ROOM).unwrap_err();
    let fits = refused.fits.unwrap();
    assert!(refused.to_string().contains("MB of memory"), "{refused}");
    assert!(refused.to_string().contains(&format!("{fits} nodes would fit")), "{refused}");
    let mut smaller = scale.clone();
    smaller.size.nodes = fits;
    check(&smaller, &ROOM).unwrap();
    smaller.size.nodes = fits + 1;
    check(&smaller, &ROOM).unwrap_err();
}

#[test]
fn descriptors_and_time_are_bounded_too() {
    let few = Room { descriptors: 100, ..ROOM };
    assert!(check(&scale(500, 500), &few).unwrap_err().to_string().contains("descriptors"));
    let mut long = scale(10, 10);
    long.seconds = 300.0;
    assert!(check(&long, &ROOM).unwrap_err().to_string().contains("no number of nodes would fit"));
}
