//! Parses one entry of a server list, from its JSON to a [`Backend`].

use crate::control::config::LiveSettings;
use crate::control::updates::Backend;
use crate::settings::millis;
use crate::{ServerEntry, ServerId, ServerState};
use serde::Deserialize;
use serde::de::IgnoredAny;
use serde_json::Value;
use std::net::SocketAddr;

/// An entry in discovery's JSON.
#[derive(Deserialize)]
struct EntryJson {
    name: String,
    address: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default, rename = "type")]
    kind: String,
    #[serde(default)]
    group: u16,
    status: Status,
    #[serde(default = "default_weight")]
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

fn default_weight() -> f32 {
    1.0
}

/// Matches any JSON object with the key `endpoints`: a list has it, and nothing inside a list does.
#[derive(Deserialize)]
pub struct ListMarker {
    #[serde(rename = "endpoints")]
    _endpoints: IgnoredAny,
}

/// Why an entry can't be turned into a backend.
#[derive(Debug)]
pub enum EntryError {
    /// It is not JSON, so where the next entry begins is unknown.
    NotJson(String),
    /// It is a list itself: the list that seems to contain it was truncated, and this one follows.
    NestedList,
    /// It is JSON, but not a valid entry; the entries around it are not affected.
    Invalid(String),
}

/// Parses entries by the live settings, which name zones and host types.
#[derive(Clone)]
pub struct EntryReader {
    settings: LiveSettings,
}

impl EntryReader {
    /// A reader that looks up zones and host types in `settings`.
    pub fn new(settings: LiveSettings) -> Self {
        EntryReader { settings }
    }

    /// Parses one entry from its text.
    ///
    /// # Errors
    /// See [`EntryError`].
    pub fn read(&self, text: &[u8]) -> Result<Backend, EntryError> {
        // Fast path for entries as discovery writes them. All others are read as entries of short lists are,
        // through a `Value`, so that both give the same result.
        if let Ok(json) = serde_json::from_slice::<EntryJson>(text) {
            return self.backend(json).map_err(EntryError::Invalid);
        }
        let value: Value = serde_json::from_slice(text).map_err(|e| EntryError::NotJson(e.to_string()))?;
        if serde_json::from_slice::<ListMarker>(text).is_ok() {
            return Err(EntryError::NestedList);
        }
        self.read_value(value).map_err(EntryError::Invalid)
    }

    /// Reads one entry of a short list, which has been parsed to a `Value`.
    ///
    /// # Errors
    /// If a key is missing or of the wrong type, or its zone is not among those of the settings.
    pub fn read_value(&self, value: Value) -> Result<Backend, String> {
        serde_json::from_value(value).map_err(|e| e.to_string()).and_then(|json| self.backend(json))
    }

    /// Linear searches are cheap enough: the settings name at most 255 zones and 255 host types.
    fn backend(&self, json: EntryJson) -> Result<Backend, String> {
        let site = self.settings.get();
        let position_of = |names: &[String], name: &str| names.iter().position(|known| known == name);
        let zone = if json.zone.is_empty() { Some(0) } else { position_of(&site.zone_names, &json.zone) };
        let zone = zone.and_then(|zone| u8::try_from(zone).ok());
        // A server of an unknown host type serves like any other, but the zone decides where retries may go.
        let kind = position_of(&site.kind_names, &json.kind).and_then(|kind| u8::try_from(kind).ok());
        let state = match json.status {
            Status::InService => ServerState::Ready,
            Status::Terminating => ServerState::Draining,
            Status::Terminated => ServerState::Gone,
        };
        let entry = ServerEntry {
            id: server_id(&json.name),
            zone: zone.ok_or_else(|| format!("{}: unknown zone {}", json.name, json.zone))?,
            kind: kind.unwrap_or(u8::MAX),
            cell: json.group,
            state,
            weight: json.weight,
            started: (json.since_ms > 0.0).then(|| millis(json.since_ms)),
        };
        Ok(Backend { entry, address: json.address })
    }
}

/// A backend's id: the FNV-1a hash of its name alone, so that it is the same on every node.
fn server_id(name: &str) -> ServerId {
    ServerId(name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    }))
}
