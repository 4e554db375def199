//! What was sent, answered and run, with the time since the case began.

use std::fmt::Display;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::process::exit;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();

/// Begins the record.
pub fn start(path: &Path) {
    let Ok(file) = File::create(path) else {
        eprintln!("cannot write {}", path.display());
        exit(2);
    };
    let _ = RECORD.set((Mutex::new(file), Instant::now()));
}

/// Milliseconds since the case began.
pub fn now_ms() -> f64 {
    RECORD.get().map_or(0.0, |(_, start)| start.elapsed().as_secs_f64() * 1000.0)
}

/// Writes a line.
pub fn line(text: impl Display) {
    if let Some((file, _)) = RECORD.get() {
        let mut file = file.lock().unwrap_or_else(|broken| broken.into_inner());
        let _ = writeln!(file, "{:9.1} {text}", now_ms());
    }
}
