//! Stand-ins for the cases 6 to 10: clients, roster servers, discovery and the platform, on loopback.
//! `standin-2 CASE FOLDER` plays one case against the node that deploy/balancer.toml names, writes
//! FOLDER/record.txt, and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cases;
mod discovery;
mod http;
mod node;
mod record;
mod server;

use std::path::PathBuf;
use std::process::exit;
use std::thread;
use std::time::Duration;

/// A case that takes longer than this could not run.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standin-2 CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record::start(&PathBuf::from(folder).join("record.txt"));
    record::line(format!(
        "case {case}, {}",
        if trouble { "with the disruption" } else { "without the disruption" }
    ));
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        finish(2, "the time limit of the case is over");
    });
    let played = std::panic::catch_unwind(|| cases::play(case, trouble));
    match played.unwrap_or_else(|_| Err("the stand-in broke".into())) {
        Ok(broken) if broken.is_empty() => finish(0, "the rule held"),
        Ok(broken) => {
            broken.iter().for_each(|what| record::line(format!("BROKEN: {what}")));
            finish(1, &format!("the rule was broken {} times", broken.len()));
        }
        Err(reason) => finish(2, &format!("the case could not run: {reason}")),
    }
}

/// Ends all processes that the case started, and this one.
fn finish(status: i32, text: &str) -> ! {
    node::kill_all();
    record::line(text);
    println!("{text}");
    exit(status);
}
