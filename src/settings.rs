//! The settings text that a node starts with: JSON in the wire's words, turned into the module's
//! [`Settings`] and the names by which the rest of a node knows things.

mod names;
#[cfg(test)]
mod tests;
mod text;

use crate::interface::*;
use serde::Deserialize;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

pub use names::{NameError, NameTable, TooManyNames};
pub use text::parse;

/// Why a settings text, or what it says of zones, can't be used. Each names the key, what stands there and what may.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// It is no JSON, or a key is missing or of another kind: mend the place that it names.
    #[error("bad settings: {0}")]
    Syntax(#[from] serde_json::Error),
    /// Requests need a class: add one.
    #[error("bad settings: Classes = []: expected one class at least")]
    NoClasses,
    /// A zone is in one region: leave it in that one.
    #[error("zones.regions: {name:?} stands in two places; expected each zone once")]
    DuplicateZone {
        /// The zone.
        name: String,
    },
    /// A time is out of its bounds: give another.
    #[error("zones.{key} = {value}: expected {least} to {most}")]
    ZoneTimeOutOfRange {
        /// Its key below `zones`.
        key: String,
        /// What stands there.
        value: f64,
        /// The bounds, both of which may be given.
        least: f64,
        /// Likewise.
        most: f64,
    },
}

/// A load report's columns, in the order of their values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportColumn {
    /// Requests held.
    Concurrent,
    /// Requests waiting.
    Depth,
    /// The fraction of the processors in use.
    LoadShare,
    /// The recent service time.
    MeanMs,
    /// Requests served in a second.
    Tps,
    /// Errors in a second.
    ErrPs,
    /// One that this version does not know.
    #[serde(other)]
    Unknown,
}

impl ReportColumn {
    /// The column that a load report in a header or a probe's body calls by this name: the protocol's own
    /// word for it, or the one that the settings use.
    pub fn from_wire_name(name: &str) -> Self {
        match name {
            "inflight" | "concurrent" => ReportColumn::Concurrent,
            "queue" | "depth" => ReportColumn::Depth,
            "util" | "load_share" => ReportColumn::LoadShare,
            "latency_ms" | "mean_ms" => ReportColumn::MeanMs,
            "qps" | "tps" => ReportColumn::Tps,
            "eps" | "err_ps" => ReportColumn::ErrPs,
            _ => ReportColumn::Unknown,
        }
    }

    /// Puts a value in its place. What is no finite number is left out.
    pub fn set(self, report: &mut LoadReport, value: f32) {
        let field = match self {
            ReportColumn::Concurrent => &mut report.in_flight,
            ReportColumn::Depth => &mut report.queue,
            ReportColumn::LoadShare => &mut report.utilisation,
            ReportColumn::MeanMs => &mut report.latency_ms,
            ReportColumn::Tps => &mut report.throughput,
            ReportColumn::ErrPs => &mut report.errors,
            ReportColumn::Unknown => return,
        };
        *field = value.is_finite().then_some(value);
    }
}

/// All that a node takes from its settings text.
#[derive(Clone, Debug)]
pub struct SiteSettings {
    /// What the module is told.
    pub settings: Settings,
    /// Which value of a load report is which.
    pub columns: Vec<ReportColumn>,
    /// The names of the classes, in the order of [`Settings::classes`].
    pub class_names: NameTable,
    /// The names of the tenants, in the order of [`Settings::tenants`].
    pub tenant_names: NameTable,
    /// The names of the zones, in the order of their numbers.
    pub zone_names: Vec<String>,
    /// The names of the machine kinds, in the order of their numbers.
    pub kind_names: Vec<String>,
    /// A server closes a connection that has been idle for so long.
    pub server_idle_timeout: Duration,
    /// Whether nodes may send one another messages.
    pub peer_messages: bool,
}

impl SiteSettings {
    /// Zones and machine kinds keep the numbers that they had under earlier settings, whose servers are listed.
    pub fn keep_numbering(&mut self, earlier: &SiteSettings) {
        let zone = self.zone_names.get(usize::from(self.settings.zone)).cloned();
        for (names, before) in
            [(&mut self.zone_names, &earlier.zone_names), (&mut self.kind_names, &earlier.kind_names)]
        {
            let known: HashSet<&String> = before.iter().collect();
            let added = names.iter().filter(|name| !known.contains(name));
            *names = before.iter().chain(added).cloned().collect();
        }
        let zone = zone.and_then(|zone| self.zone_names.iter().position(|name| *name == zone));
        self.settings.zone = zone.and_then(|zone| u8::try_from(zone).ok()).unwrap_or(self.settings.zone);
    }
}

/// New settings for a node that runs, and what its balancer has to know of them. All that takes long is done when it is
/// made, which may be on another thread.
pub struct SettingsUpdate {
    /// The new settings.
    pub site: Arc<SiteSettings>,
    /// The balancer's own copy of [`SiteSettings::settings`].
    pub settings: Box<Settings>,
    /// For each class, where it stood in the settings before, if it did.
    pub previous_classes: Vec<Option<usize>>,
    /// For each tenant, likewise.
    pub previous_tenants: Vec<Option<usize>>,
}

impl SettingsUpdate {
    /// What replaces the settings `earlier`.
    pub fn new(site: Arc<SiteSettings>, earlier: &SiteSettings) -> Self {
        SettingsUpdate {
            settings: Box::new(site.settings.clone()),
            previous_classes: site.class_names.indices_in(&earlier.class_names),
            previous_tenants: site.tenant_names.indices_in(&earlier.tenant_names),
            site,
        }
    }
}

/// Zones and regions, as a configuration tells them: by name.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZonesConfig {
    /// The zones of each region; a zone that is in none is a region of its own.
    #[serde(default)]
    pub regions: BTreeMap<String, Vec<String>>,
    /// The time to a server of each zone and back, in ms, seen from this node; 0 for one that is not named.
    #[serde(default)]
    pub latency_ms: BTreeMap<String, f64>,
    /// So long the share of a zone that was left grows back, in s.
    #[serde(default = "return_s")]
    pub return_s: f64,
    /// So long an evacuation by hand lasts if nobody renews it, in s.
    #[serde(default = "evacuation_s")]
    pub evacuation_s: f64,
}

fn return_s() -> f64 {
    20.0
}

fn evacuation_s() -> f64 {
    900.0
}

impl ZonesConfig {
    /// Whether all of it makes sense, or the first thing that does not.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let mut seen = HashSet::new();
        let twice = self.regions.values().flatten().find(|name| !seen.insert(*name));
        if let Some(name) = twice {
            return Err(SettingsError::DuplicateZone { name: name.to_string() });
        }
        let latencies =
            self.latency_ms.iter().map(|(name, ms)| (format!("latency_ms.{name}"), *ms, 0.0, 60_000.0));
        let return_s = ("return_s".to_string(), self.return_s, 1.0, 3600.0);
        let evacuation_s = ("evacuation_s".to_string(), self.evacuation_s, 1.0, 86_400.0);
        for (key, value, least, most) in latencies.chain([return_s, evacuation_s]) {
            if !(least..=most).contains(&value) {
                return Err(SettingsError::ZoneTimeOutOfRange { key, value, least, most });
            }
        }
        Ok(())
    }

    /// The same by the numbers of the zones.
    pub fn to_zones(&self, names: &[String]) -> Zones {
        let mut region_of = HashMap::new();
        for (region, zones) in self.regions.values().enumerate() {
            for zone in zones {
                region_of.entry(zone).or_insert(region);
            }
        }
        let region = |(number, name): (usize, &String)| {
            region_of.get(name).copied().unwrap_or(self.regions.len() + number) as u16
        };
        let round_trip = |name| millis(self.latency_ms.get(name).copied().unwrap_or_default());
        Zones {
            round_trip: names.iter().map(round_trip).collect(),
            region: names.iter().enumerate().map(region).collect(),
            failback_time: millis(self.return_s * 1e3),
        }
    }
}

/// A number of milliseconds as a time; whatever is no time at all becomes zero or the longest kept.
pub fn millis(ms: f64) -> Duration {
    const LONGEST_US: f64 = 1e18;
    Duration::from_micros((ms * 1000.0).round().clamp(0.0, LONGEST_US) as u64)
}
