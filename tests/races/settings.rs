//! New settings that take long to read, against requests, further signals and the end of the process.

use crate::harness::*;
use std::fs::{File, rename, write};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::Command;

const LONG: u64 = 20_000;

/// A node whose configuration is a pipe now: it is read as slowly as the test writes it.
struct Slow {
    node: Node,
    _watch: Watch,
    discovery: Discovery,
    _backend: Backend,
    pipe: PathBuf,
}

impl Slow {
    fn start() -> Self {
        let backend = Backend::start(|_| ok("fine"));
        let (node, watch, discovery) = serving_node(&settings(LONG, ""), &[&backend]);
        let pipe = node.tmp.join("pipe");
        assert!(Command::new("mkfifo").arg(&pipe).status().expect("mkfifo runs").success());
        rename(&pipe, node.config()).expect("it takes the place of the file");
        let pipe = node.config().to_owned();
        Slow { node, _watch: watch, discovery, _backend: backend, pipe }
    }

    /// The present configuration with another name for a class.
    fn with(&self, class: &str) -> String {
        let settings = settings(LONG, "").replace("correct", class);
        with_ops(&config(self.discovery.address, &settings, 1024))
    }

    /// Sends the signal and waits until the file is being read: to open a pipe takes a reader.
    fn begin(&self) -> File {
        self.node.signal("-HUP");
        File::options().write(true).open(&self.pipe).expect("the node reads it")
    }

    fn serves(&self, start: &str) {
        assert_eq!(self.node.client().request(start, &common_headers(LONG), b"").status(), 200, "{start}");
    }
}

/// Another file where the node looks for it.
fn put(path: &Path, text: &str) {
    let beside = path.with_extension("new");
    write(&beside, text).expect("a place for the configuration");
    rename(beside, path).expect("it takes the place of the pipe");
}

#[test]
fn requests_are_served_while_new_settings_are_read_and_go_by_the_old_ones_until_then() {
    let slow = Slow::start();
    let mut file = slow.begin();
    let text = slow.with("amend");
    let (first, rest) = text.split_at(text.len() / 2);
    slow.serves("GET /read/1");
    file.write_all(first.as_bytes()).expect("the node reads it");
    slow.serves("POST /correct/1");
    assert_eq!(slow.node.client().request("POST /amend/1", &common_headers(LONG), b"").status(), 404);
    assert_eq!(slow.node.ops_call("GET /status"), 200);
    file.write_all(rest.as_bytes()).expect("the node reads it");
    drop(file);
    slow.node.wait_for_log("classes are read, submit, amend");
    slow.serves("POST /amend/1");
    assert_eq!(slow.node.client().request("POST /correct/1", &common_headers(LONG), b"").status(), 404);
}

#[test]
fn a_signal_that_comes_while_a_file_is_read_has_the_next_one_read_after_it() {
    let slow = Slow::start();
    let mut file = slow.begin();
    put(slow.node.config(), &slow.with("second"));
    slow.node.signal("-HUP");
    slow.serves("GET /read/1"); // the signal has been heard before this
    file.write_all(slow.with("first").as_bytes()).expect("the node reads it");
    drop(file);
    slow.node.wait_for_log("classes are read, submit, first");
    slow.node.wait_for_log("classes are read, submit, second");
    slow.serves("POST /second/1");
}

#[test]
fn a_file_that_breaks_off_while_it_is_read_changes_nothing() {
    let slow = Slow::start();
    let mut file = slow.begin();
    let text = slow.with("amend");
    file.write_all(&text.as_bytes()[..text.len() - 1]).expect("the node reads it");
    drop(file);
    slow.node.wait_for_log("all stays as it was");
    slow.serves("POST /correct/1");
    // And a good one is taken after it.
    put(slow.node.config(), &slow.with("amend"));
    slow.node.signal("-HUP");
    slow.node.wait_for_log("classes are read, submit, amend");
}

#[test]
fn a_process_that_is_told_to_stop_does_not_wait_for_a_file_that_never_ends() {
    let mut slow = Slow::start();
    let _file = slow.begin();
    slow.serves("GET /read/1");
    slow.node.terminate();
    assert_eq!(slow.node.wait_for_exit().code(), Some(0));
}
