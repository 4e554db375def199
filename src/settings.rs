//! Parses the settings text of a node, which is JSON, into the decision module's [`Settings`] and the names
//! that the rest of the node uses.

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

/// Why a settings text or a zone configuration can't be used. Each message names the key, its value and what
/// was expected.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is not valid JSON, or a key is missing or has a value of the wrong type. The message
    /// gives the position.
    #[error("bad settings: {0}")]
    Syntax(#[from] serde_json::Error),
    /// There is no class; each request needs one, so add at least one.
    #[error("bad settings: Classes = []: expected one class at least")]
    NoClasses,
    /// A zone is listed more than once; each zone belongs to exactly one region.
    #[error("zones.regions: {name:?} stands in two places; expected each zone once")]
    DuplicateZone {
        /// The zone's name.
        name: String,
    },
    /// A time is out of range; the message gives the range.
    #[error("zones.{key} = {value}: expected {least} to {most}")]
    ZoneTimeOutOfRange {
        /// Its key within `zones`.
        key: String,
        /// The configured value.
        value: f64,
        /// The least allowed value.
        least: f64,
        /// The greatest allowed value.
        most: f64,
    },
}

/// A column of a load report: what one of its values means.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportColumn {
    /// Requests in flight at the server.
    Concurrent,
    /// Requests that wait in its queue.
    Depth,
    /// The fraction of its processors in use.
    LoadShare,
    /// Its recent mean service time in milliseconds.
    MeanMs,
    /// Requests served per second.
    Tps,
    /// Errors per second.
    ErrPs,
    /// A column that this version does not know; its values are ignored.
    #[serde(other)]
    Unknown,
}

impl ReportColumn {
    /// The column with this name in a load report, in a header or in a probe's body. Both the protocol's
    /// names and those of the settings text are accepted.
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

    /// Sets this column's value in a report. A value that is not finite counts as not reported.
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

/// Everything that a node takes from its settings text.
#[derive(Clone, Debug)]
pub struct SiteSettings {
    /// The settings of the decision module.
    pub settings: Settings,
    /// The columns of a load report, in the order of its values.
    pub columns: Vec<ReportColumn>,
    /// The names of the classes, in the order of [`Settings::classes`].
    pub class_names: NameTable,
    /// The names of the tenants, in the order of [`Settings::tenants`].
    pub tenant_names: NameTable,
    /// The names of the zones, in the order of their numbers.
    pub zone_names: Vec<String>,
    /// The names of the machine types, in the order of their numbers.
    pub kind_names: Vec<String>,
    /// The time after which a server closes an idle keep-alive connection.
    pub server_idle_timeout: Duration,
    /// Whether nodes may send messages to each other.
    pub peer_messages: bool,
}

impl SiteSettings {
    /// Renumbers zones and machine types so that each keeps the number that it had in the previous settings,
    /// since the server list holds entries with those numbers. New names follow the previous ones.
    pub fn keep_numbering(&mut self, previous: &SiteSettings) {
        let zone_name = self.zone_names.get(usize::from(self.settings.zone)).cloned();
        for (names, previous_names) in
            [(&mut self.zone_names, &previous.zone_names), (&mut self.kind_names, &previous.kind_names)]
        {
            let known: HashSet<&String> = previous_names.iter().collect();
            let added = names.iter().filter(|name| !known.contains(name));
            *names = previous_names.iter().chain(added).cloned().collect();
        }
        let number =
            zone_name.and_then(|zone_name| self.zone_names.iter().position(|name| *name == zone_name));
        self.settings.zone =
            number.and_then(|number| u8::try_from(number).ok()).unwrap_or(self.settings.zone);
    }
}

/// New settings for a running node, with what its balancer needs to apply them. Creating this does all the
/// expensive work, and may happen on another thread.
pub struct SettingsUpdate {
    /// The new settings.
    pub site: Arc<SiteSettings>,
    /// The balancer's own copy of [`SiteSettings::settings`].
    pub settings: Box<Settings>,
    /// The index that each class had in the previous settings; `None` for a new class.
    pub previous_classes: Vec<Option<usize>>,
    /// The index that each tenant had in the previous settings; `None` for a new tenant.
    pub previous_tenants: Vec<Option<usize>>,
}

impl SettingsUpdate {
    /// The update that replaces the `previous` settings by `site`.
    pub fn new(site: Arc<SiteSettings>, previous: &SiteSettings) -> Self {
        SettingsUpdate {
            settings: Box::new(site.settings.clone()),
            previous_classes: site.class_names.indices_in(&previous.class_names),
            previous_tenants: site.tenant_names.indices_in(&previous.tenant_names),
            site,
        }
    }
}

/// Zones and regions as configured, by name.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZonesConfig {
    /// The zones of each region. A zone that is in none forms a region of its own.
    #[serde(default)]
    pub regions: BTreeMap<String, Vec<String>>,
    /// The network round-trip time from this node to a server of each zone, in ms; 0 for a zone that is not
    /// listed.
    #[serde(default)]
    pub latency_ms: BTreeMap<String, f64>,
    /// The time in which a failed-over zone's share of requests grows back, in s.
    #[serde(default = "default_return_s")]
    pub return_s: f64,
    /// The duration of an operator's evacuation that gives none itself, in s.
    #[serde(default = "default_evacuation_s")]
    pub evacuation_s: f64,
}

fn default_return_s() -> f64 {
    20.0
}

fn default_evacuation_s() -> f64 {
    900.0
}

impl ZonesConfig {
    /// Checks all values.
    ///
    /// # Errors
    /// The first invalid value.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let mut seen = HashSet::new();
        let duplicate = self.regions.values().flatten().find(|name| !seen.insert(*name));
        if let Some(name) = duplicate {
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

    /// Converts this to [`Zones`], which is indexed by zone number. `zone_names` gives the zones in the order
    /// of their numbers.
    pub fn to_zones(&self, zone_names: &[String]) -> Zones {
        let mut region_by_zone = HashMap::new();
        for (region, zones) in self.regions.values().enumerate() {
            for zone in zones {
                region_by_zone.entry(zone).or_insert(region);
            }
        }
        let region_of = |(number, name): (usize, &String)| {
            region_by_zone.get(name).copied().unwrap_or(self.regions.len() + number) as u16
        };
        let round_trip = |name| millis(self.latency_ms.get(name).copied().unwrap_or_default());
        Zones {
            round_trip: zone_names.iter().map(round_trip).collect(),
            region: zone_names.iter().enumerate().map(region_of).collect(),
            failback_time: millis(self.return_s * 1e3),
        }
    }
}

/// Converts milliseconds to a [`Duration`], rounded to microseconds. Negative values and NaN become zero, and
/// values beyond the greatest supported duration become that one.
pub fn millis(ms: f64) -> Duration {
    const MAX_US: f64 = 1e18;
    Duration::from_micros((ms * 1000.0).round().clamp(0.0, MAX_US) as u64)
}
