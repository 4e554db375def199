//! What a scale run found, as it is kept in `experiments/scale/results/NAME-SEED.json`: the figures of each size that was
//! measured, and the fits over the sizes. Whoever reckons a larger size reads these files, and nobody edits them.

use serde::{Deserialize, Serialize};
use std::io;
use std::path::{Path, PathBuf};

/// A file of results.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Results {
    /// The experiment's name: that of its file without `.toml`.
    pub experiment: String,
    /// The commit of the program that was measured.
    pub version: String,
    /// The seed of the plan.
    pub seed: u64,
    /// How many servers of the list a node holds, if not all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub subset: Option<u32>,
    /// Where it ran.
    pub machine: Machine,
    /// One for each size, in the order measured.
    pub points: Vec<Point>,
    /// One for each pair of role and figure that could be fitted.
    pub fits: Vec<Fit>,
}

/// The machine at the start of the run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// Processors.
    pub cores: usize,
    /// Memory in MiB.
    pub memory_mb: u64,
    /// The load average of the last minute.
    pub load_1m: f64,
}

/// What was measured at one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The size.
    pub size: ScaleSize,
    /// What was measured.
    pub figures: Vec<Figure>,
}

/// A size, by its dimensions.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScaleSize {
    /// Nodes, hollow and real.
    pub nodes: u32,
    /// Servers on the list.
    pub servers: u32,
    /// Tenants in the settings.
    pub tenants: u32,
    /// Routes, which are request classes, in the settings.
    pub routes: u32,
    /// Changes of the list a second.
    pub changes_per_s: f64,
    /// Restarts of nodes a second.
    pub restarts_per_s: f64,
}

/// A figure of a role, for one instance of it unless its name says otherwise.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    /// `hollow node`, `real node`, `agent` or `list server`; `fleet` for what holds for all nodes together.
    pub role: String,
    /// Its name, such as `state of the server table`.
    pub figure: String,
    /// Its unit, such as `B`, `B/s`, `1/s`, `core` or `s`.
    pub unit: String,
    /// Its value.
    pub value: f64,
}

/// A line through the points of a sweep, and what became of what it foretold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// As in [`Figure`].
    pub role: String,
    /// As in [`Figure`].
    pub figure: String,
    /// As in [`Figure`].
    pub unit: String,
    /// The dimension that was swept, by its name in [`ScaleSize`]; `servers+tenants` for both together.
    pub against: String,
    /// The value at 0, by the line through all points but the largest.
    pub intercept: f64,
    /// The growth for each one more of the dimension.
    pub slope: f64,
    /// The power of the dimension with which the value grows, from the logarithms of both; `None` where a value is not
    /// above 0.
    pub exponent: Option<f64>,
    /// The 95 % interval of the slope.
    pub interval: [f64; 2],
    /// The largest point: its place on the dimension.
    pub largest: f64,
    /// What the smaller points foretell there.
    pub foretold: f64,
    /// What was measured there.
    pub measured: f64,
    /// `|foretold - measured| / |measured|`.
    pub error: f64,
    /// Whether the error is at most [`PROVEN_WITHIN`].
    pub proven: bool,
}

/// A fit whose foretold largest point is off by more is not proven.
pub const PROVEN_WITHIN: f64 = 0.15;

impl Results {
    /// Reads a file of results.
    ///
    /// # Errors
    /// If it can't be read, or is no such file; the error names it.
    pub fn read(path: &Path) -> io::Result<Self> {
        let named = |what: &dyn std::fmt::Display| io::Error::other(format!("{}: {what}", path.display()));
        let text = std::fs::read_to_string(path).map_err(|e| named(&e))?;
        serde_json::from_str(&text).map_err(|e| named(&e))
    }

    /// Where it is kept below a folder.
    #[must_use]
    pub fn path(&self, folder: &Path) -> PathBuf {
        folder.join(format!("{}-{}.json", self.experiment, self.seed))
    }

    /// Replaces the file below this folder, whole or not at all.
    ///
    /// # Errors
    /// What the system says if it can't be written.
    pub fn write(&self, folder: &Path) -> io::Result<PathBuf> {
        std::fs::create_dir_all(folder)?;
        let path = self.path(folder);
        let new = path.with_extension("json.new");
        std::fs::write(&new, serde_json::to_string_pretty(self)? + "\n")?;
        std::fs::rename(&new, &path)?;
        Ok(path)
    }
}

impl Point {
    /// A figure's value, if it was measured.
    #[must_use]
    pub fn value(&self, role: &str, figure: &str) -> Option<f64> {
        let found = self.figures.iter().find(|it| it.role == role && it.figure == figure);
        found.map(|it| it.value)
    }
}
