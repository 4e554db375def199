//! Races of a slow reload of the settings with requests, further signals and the end of the process.

use crate::harness::*;
use std::fs::{File, rename, write};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::Command;

/// A latency target and a budget that no request of these tests exceeds.
const LONG_MS: u64 = 20_000;

/// A node whose configuration file has been replaced by a pipe, so that a reload reads it only as fast as the
/// test writes.
struct SlowReload {
    node: Node,
    _watch: Watch,
    discovery: Discovery,
    _backend: Backend,
    pipe: PathBuf,
}

impl SlowReload {
    fn start() -> Self {
        let backend = Backend::start(|_| ok("fine"));
        let (node, watch, discovery) = serving_node(&settings(LONG_MS, ""), &[&backend]);
        let pipe = node.tmp.join("pipe");
        assert!(Command::new("mkfifo").arg(&pipe).status().expect("mkfifo runs").success());
        rename(&pipe, node.config()).expect("the pipe replaces the file");
        let pipe = node.config().to_owned();
        SlowReload { node, _watch: watch, discovery, _backend: backend, pipe }
    }

    /// The configuration with the class `correct` under another name.
    fn config_with_class(&self, class: &str) -> String {
        let settings = settings(LONG_MS, "").replace("correct", class);
        with_ops(&config(self.discovery.address, &settings, 1024))
    }

    /// Sends SIGHUP and waits until the node reads the pipe, because a pipe can be opened for writing only
    /// with a reader.
    fn begin_reload(&self) -> File {
        self.node.signal("-HUP");
        File::options().write(true).open(&self.pipe).expect("the node reads it")
    }

    /// A request is served.
    fn check_served(&self, start_line: &str) {
        assert_eq!(
            self.node.client().request(start_line, &common_headers(LONG_MS), b"").status(),
            200,
            "{start_line}"
        );
    }
}

/// Replaces the configuration file.
fn replace_config(path: &Path, text: &str) {
    let new_path = path.with_extension("new");
    write(&new_path, text).expect("the configuration is written");
    rename(new_path, path).expect("the file replaces the pipe");
}

#[test]
fn requests_use_the_old_settings_until_a_reload_completes() {
    let slow = SlowReload::start();
    let mut file = slow.begin_reload();
    let text = slow.config_with_class("amend");
    let (first, rest) = text.split_at(text.len() / 2);
    slow.check_served("GET /read/1");
    file.write_all(first.as_bytes()).expect("the node reads it");
    slow.check_served("POST /correct/1");
    assert_eq!(slow.node.client().request("POST /amend/1", &common_headers(LONG_MS), b"").status(), 404);
    assert_eq!(slow.node.ops_call("GET /status"), 200);
    file.write_all(rest.as_bytes()).expect("the node reads it");
    drop(file);
    slow.node.wait_for_log("classes are read, submit, amend");
    slow.check_served("POST /amend/1");
    assert_eq!(slow.node.client().request("POST /correct/1", &common_headers(LONG_MS), b"").status(), 404);
}

#[test]
fn a_sighup_during_a_reload_causes_another_reload() {
    let slow = SlowReload::start();
    let mut file = slow.begin_reload();
    replace_config(slow.node.config(), &slow.config_with_class("second"));
    slow.node.signal("-HUP");
    slow.check_served("GET /read/1"); // by now the node has received the signal
    file.write_all(slow.config_with_class("first").as_bytes()).expect("the node reads it");
    drop(file);
    slow.node.wait_for_log("classes are read, submit, first");
    slow.node.wait_for_log("classes are read, submit, second");
    slow.check_served("POST /second/1");
}

#[test]
fn a_truncated_configuration_file_changes_nothing() {
    let slow = SlowReload::start();
    let mut file = slow.begin_reload();
    let text = slow.config_with_class("amend");
    file.write_all(&text.as_bytes()[..text.len() - 1]).expect("the node reads it");
    drop(file);
    slow.node.wait_for_log("all stays as it was");
    slow.check_served("POST /correct/1");
    // A complete file is accepted afterwards.
    replace_config(slow.node.config(), &slow.config_with_class("amend"));
    slow.node.signal("-HUP");
    slow.node.wait_for_log("classes are read, submit, amend");
}

#[test]
fn sigterm_does_not_wait_for_a_reload_that_never_ends() {
    let mut slow = SlowReload::start();
    let _file = slow.begin_reload();
    slow.check_served("GET /read/1");
    slow.node.terminate();
    assert_eq!(slow.node.wait_for_exit().code(), Some(0));
}
