//! One entry of a server list: from its JSON to the compact [`Backend`].

use crate::control::config::LiveSettings;
use crate::control::updates::Backend;
use crate::settings::millis;
use crate::{ServerEntry, ServerId, ServerState};
use serde::Deserialize;
use serde::de::IgnoredAny;
use serde_json::Value;
use std::net::SocketAddr;

/// An entry as discovery writes it.
#[derive(Deserialize)]
struct Line {
    name: String,
    address: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default, rename = "type")]
    kind: String,
    #[serde(default)]
    group: u16,
    status: Status,
    #[serde(default = "one")]
    weight: f32,
    #[serde(default)]
    since_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Status {
    InService,
    Terminating,
    Terminated,
}

fn one() -> f32 {
    1.0
}

/// What a list has and nothing within a list has.
#[derive(Deserialize)]
pub struct Whole {
    #[serde(rename = "endpoints")]
    _endpoints: IgnoredAny,
}

/// Why an entry gives no backend.
#[derive(Debug)]
pub enum BadEntry {
    /// It is no JSON: nothing can be said of what follows.
    NotJson(String),
    /// It is a list: the one that it seems to stand in was cut short.
    List,
    /// It alone is of no use.
    Unusable(String),
}

/// Reads entries by the settings in force.
#[derive(Clone)]
pub struct EntryReader {
    current: LiveSettings,
}

impl EntryReader {
    /// Zones and kinds are those of `current`.
    pub fn new(current: LiveSettings) -> Self {
        EntryReader { current }
    }

    /// Reads one entry from its text.
    ///
    /// # Errors
    /// See [`BadEntry`].
    pub fn read(&self, text: &[u8]) -> Result<Backend, BadEntry> {
        // Few steps for what discovery writes; what is odd takes the way of short lists.
        if let Ok(line) = serde_json::from_slice::<Line>(text) {
            return self.backend(line).map_err(BadEntry::Unusable);
        }
        let value: Value = serde_json::from_slice(text).map_err(|e| BadEntry::NotJson(e.to_string()))?;
        if serde_json::from_slice::<Whole>(text).is_ok() {
            return Err(BadEntry::List);
        }
        self.read_value(value).map_err(BadEntry::Unusable)
    }

    /// Reads one entry of a short list.
    ///
    /// # Errors
    /// If it lacks something, or its zone is not among those of the settings.
    pub fn read_value(&self, value: Value) -> Result<Backend, String> {
        serde_json::from_value(value).map_err(|e| e.to_string()).and_then(|line| self.backend(line))
    }

    /// Zones and kinds are looked for in lists of 255 names at most.
    fn backend(&self, line: Line) -> Result<Backend, String> {
        let site = self.current.get();
        let place = |names: &[String], name: &str| names.iter().position(|known| known == name);
        let zone = if line.zone.is_empty() { Some(0) } else { place(&site.zone_names, &line.zone) };
        let zone = zone.and_then(|zone| u8::try_from(zone).ok());
        // A new kind of machine serves like any other, but the zone decides where repeats may go.
        let kind = place(&site.kind_names, &line.kind).and_then(|kind| u8::try_from(kind).ok());
        let state = match line.status {
            Status::InService => ServerState::Ready,
            Status::Terminating => ServerState::Draining,
            Status::Terminated => ServerState::Gone,
        };
        let entry = ServerEntry {
            id: server_id(&line.name),
            zone: zone.ok_or_else(|| format!("{}: unknown zone {}", line.name, line.zone))?,
            kind: kind.unwrap_or(u8::MAX),
            cell: line.group,
            state,
            weight: line.weight,
            started: (line.since_ms > 0.0).then(|| millis(line.since_ms)),
        };
        Ok(Backend { entry, address: line.address })
    }
}

/// A backend's number: made from its name alone, so that it is the same at every node (FNV-1a).
fn server_id(name: &str) -> ServerId {
    ServerId(name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    }))
}
