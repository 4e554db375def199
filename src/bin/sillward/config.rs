//! What a node is told at its start: the file that `PROXY_CONFIG` names.

use crate::body::KEPT;
use hillpick::settings::{self, Site, ZonesText};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::value::RawValue;
use std::cell::RefCell;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Semaphore;

/// Descriptors for all but connections: standard streams, listener, runtime, discovery, the operators' calls, dials that
/// end.
pub const SPARE_SOCKETS: usize = 48;
/// Members that are kept.
pub const MOST_PEERS: usize = 2_000;

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    /// Where the operators call; without it nobody does.
    #[serde(default)]
    ops: Option<SocketAddr>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: Option<Box<RawValue>>,
    #[serde(default)]
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    /// Membership; without it the node knows the others by number alone.
    #[serde(default)]
    fleet: Option<FleetFile>,
    /// How far the zones are; without it zones are alike.
    #[serde(default)]
    zones: Option<ZonesText>,
    settings: Box<RawValue>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FleetFile {
    cluster: String,
    #[serde(default = "probe_ms")]
    probe_ms: u64,
    #[serde(default)]
    advertise: Option<SocketAddrV4>,
    #[serde(default)]
    saved: Option<PathBuf>,
}

fn probe_ms() -> u64 {
    1000
}

/// How a node takes part in membership.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// The cluster's name: others' messages are dropped.
    pub cluster: String,
    /// How often it probes another.
    pub period: Duration,
    /// Where it hears the others.
    pub listen: SocketAddr,
    /// The node of each number in the tier, this one's own included; or, where nodes are known by addresses that all see
    /// alike, some of them, to begin with.
    pub peers: Vec<SocketAddr>,
    /// The address by which all others reach this node, where there is one; port 0 stands for the one it hears on.
    pub advertise: Option<SocketAddrV4>,
    /// Where it keeps its members, so that a start finds them again.
    pub saved: Option<PathBuf>,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024, memory_mb: 192 }
    }
}

/// A node's configuration, checked.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub ops: Option<SocketAddr>,
    pub seed: u64,
    /// The most client connections, and the most connections to backends.
    pub client_connections: usize,
    pub backend_connections: usize,
    /// How much of clients' bodies may be kept at a time.
    pub body_room_kib: usize,
    /// The list of backends as this node last had it: discovery's JSON, perhaps old.
    pub known: Option<String>,
    pub fleet: Option<Fleet>,
    pub zones: Option<ZonesText>,
    pub site: Rc<Site>,
    /// The file without the list: a later one has to hold what this one holds.
    shape: Value,
}

/// The settings in force. All parts of the node share them, so that they change for all at once.
#[derive(Clone)]
pub struct Current(Rc<RefCell<Rc<Site>>>);

impl Current {
    pub fn new(site: Rc<Site>) -> Self {
        Current(Rc::new(RefCell::new(site)))
    }

    pub fn get(&self) -> Rc<Site> {
        self.0.borrow().clone()
    }

    pub fn set(&self, site: Rc<Site>) {
        *self.0.borrow_mut() = site;
    }
}

impl Config {
    /// Reads the file that `PROXY_CONFIG` names. The other `PROXY_` variables say nothing that it does not.
    pub fn from_env() -> Result<Self, String> {
        let path = std::env::var_os("PROXY_CONFIG").ok_or("bad configuration: PROXY_CONFIG is not set")?;
        let path = PathBuf::from(path);
        let text = std::fs::read_to_string(&path)
            .map_err(|e| format!("bad configuration: cannot read {}: {e}", path.display()))?;
        Config::parse(&text).map_err(|what| format!("bad configuration: {what}"))
    }

    /// Reads it again for a node that runs with this one. Only settings and the address of discovery may have
    /// changed; the rest is as it was until the next start.
    pub fn again(&self) -> Result<Self, String> {
        let mut new = Config::from_env()?;
        new.replaces(self).map_err(|what| format!("bad configuration: {what}"))?;
        Ok(new)
    }

    fn replaces(&mut self, running: &Config) -> Result<(), String> {
        lacks(&running.shape, &self.shape, "").map_or(Ok(()), Err)?;
        if self.site.settings.list_on_request != running.site.settings.list_on_request {
            return Err("how the list is had can't change while the node runs".into());
        }
        let mut site = Site::clone(&self.site);
        site.number_as(&running.site);
        site.settings.zones = self.zones.as_ref().map(|zones| zones.by_number(&site.zone_names));
        self.site = Rc::new(site);
        Ok(())
    }

    pub fn parse(text: &str) -> Result<Self, String> {
        let file: File = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let seed = match file.seed.as_str() {
            "" => 0,
            seed => u64::from_str_radix(seed, 16).map_err(|e| format!("seed: {e}"))?,
        };
        let mut site = settings::parse(file.settings.get().as_bytes())?;
        let zones = match file.zones {
            Some(zones) => Some(zones),
            None => from_env::<ZonesText>("SILLWARD_ZONES")?,
        };
        if let Some(problem) = zones.as_ref().and_then(ZonesText::problem) {
            return Err(problem);
        }
        site.settings.zones = zones.as_ref().map(|zones| zones.by_number(&site.zone_names));
        // Two numbers would mean the same class or tenant if a name stood twice.
        for names in [&site.class_names, &site.tenant_names, &site.zone_names] {
            if names.iter().enumerate().any(|(i, name)| name.is_empty() || names[..i].contains(name)) {
                return Err(format!("a name is empty or stands twice in {names:?}"));
            }
        }
        for (class, name) in site.settings.classes.iter().zip(&site.class_names) {
            if class.deadline.is_zero() || class.aim.is_zero() {
                return Err(format!("{name}: a deadline or target that is not over 0"));
            }
        }
        if site.settings.limits.max_attempts == 0 {
            return Err("attempts are not over 0".into());
        }
        let wanted = match file.fleet {
            Some(fleet) => Some(fleet),
            None if site.peers && file.peer_listen.is_some() => from_env::<FleetFile>("SILLWARD_FLEET")?,
            None => None,
        };
        let fleet = wanted.map(|fleet| self::fleet(fleet, &file.name, file.peer_listen, file.peers, &site));
        let fleet = fleet.transpose()?;
        let mut shape: Value = serde_json::from_str(text).map_err(|e| e.to_string())?;
        shape.as_object_mut().and_then(|file| file.remove("known"));
        let connections = file.limits.sockets.saturating_sub(SPARE_SOCKETS);
        if connections < 3 {
            return Err(format!(
                "{} sockets are too few: {SPARE_SOCKETS} and 3 at least",
                file.limits.sockets
            ));
        }
        Ok(Config {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            ops: file.ops,
            seed,
            // Clients hold a third of all descriptors for requests, and each of these wants one to a backend,
            // sometimes a second; the rest is for clients that ask nothing.
            client_connections: connections - connections * 2 / 5,
            backend_connections: connections * 2 / 5,
            // A quarter of the memory; one body at least, or nobody would ever be read.
            body_room_kib: (file.limits.memory_mb.saturating_mul(1024) / 4)
                .clamp(KEPT / 1024, Semaphore::MAX_PERMITS),
            known: file.known.map(|known| known.get().to_owned()),
            fleet,
            zones,
            site: Rc::new(site),
            shape,
        })
    }
}

/// An object of the configuration that stands in the environment, for nodes whose configuration is written by somebody who
/// knows nothing of it: `SILLWARD_FLEET` holds where the file has no `fleet` and allows messages between nodes,
/// `SILLWARD_ZONES` where it has no `zones`.
fn from_env<T: DeserializeOwned>(name: &str) -> Result<Option<T>, String> {
    let Some(text) = std::env::var_os(name) else { return Ok(None) };
    let parsed = serde_json::from_str(&text.to_string_lossy());
    parsed.map(Some).map_err(|e| format!("{name}: {e}; expected an object as in the configuration"))
}

/// Membership, if all that it needs is there and the settings allow it.
fn fleet(
    file: FleetFile,
    name: &str,
    listen: Option<SocketAddr>,
    peers: Vec<SocketAddr>,
    site: &Site,
) -> Result<Fleet, String> {
    if !site.peers {
        return Err("fleet: the settings forbid messages between nodes (Permissions.Peers)".into());
    }
    if hillpick_fleet::Name::try_from(name.to_string()).is_err() {
        return Err(format!("fleet: the name {name:?}: expected 1 to 24 visible ASCII characters"));
    }
    if !(100..=60_000).contains(&file.probe_ms) {
        return Err(format!("fleet.probe_ms = {}: expected 100 to 60000", file.probe_ms));
    }
    let node = site.settings.node as usize;
    let count = peers.len();
    if file.advertise.is_some() {
        if let Some(peer) = peers.iter().find(|peer| !peer.is_ipv4()) {
            return Err(format!(
                "fleet: the peer {peer}: expected an IPv4 address, as fleet.advertise is one"
            ));
        }
        if count > MOST_PEERS {
            return Err(format!("fleet: {count} peers: expected {MOST_PEERS} at most"));
        }
    } else if node >= count || count > MOST_PEERS {
        return Err(format!(
            "fleet: {count} peers: expected an address for each node up to this one's number, {node}, and {MOST_PEERS} at most"
        ));
    }
    let listen = listen.ok_or("fleet: peer_listen is missing")?;
    Ok(Fleet {
        cluster: file.cluster,
        period: Duration::from_millis(file.probe_ms),
        listen,
        peers,
        advertise: file.advertise,
        saved: file.saved,
    })
}

/// The first key of the running configuration that a new one is short of: that is how a file looks which was
/// written or copied by halves. Elements of an array, like the classes, need what all of them had.
fn lacks(running: &Value, new: &Value, path: &str) -> Option<String> {
    match (running, new) {
        (Value::Object(running), Value::Object(new)) => running.iter().find_map(|(key, value)| {
            let path = format!("{path}/{key}");
            match new.get(key) {
                None | Some(Value::Null) if !value.is_null() => Some(format!("{path} is missing")),
                Some(new) => lacks(value, new, &path),
                None => None,
            }
        }),
        (Value::Array(running), Value::Array(new)) => {
            let (first, rest) = running.split_first()?;
            let common = rest.iter().fold(first.clone(), |mut common, other| {
                if let (Value::Object(common), Value::Object(other)) = (&mut common, other) {
                    common.retain(|key, _| other.contains_key(key));
                }
                common
            });
            new.iter().enumerate().find_map(|(i, new)| lacks(&common, new, &format!("{path}/{i}")))
        }
        (Value::Object(_) | Value::Array(_), _) => Some(format!("{path} is no longer what it was")),
        _ => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const RUNNING: &str = r#"{"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "known": {"endpoints": []},
        "limits": {"sockets": 512}, "settings": {"Localities": ["a", "b"], "HostTypes": ["m", "n"], "Zone": 1,
        "Permissions": {"AttemptsCap": 3, "Probes": true},
        "Classes": [{"Name": "read", "Target": 1, "GiveUp": 2, "Idempotency": "free", "Credit": 1},
                    {"Name": "submit", "Target": 1, "GiveUp": 2, "Idempotency": "guarded", "Credit": 1, "Window": 9}]}}"#;

    fn replaced(by: &str) -> Result<Rc<Site>, String> {
        let mut new = Config::parse(by)?;
        new.replaces(&Config::parse(RUNNING).expect("good")).map(|()| new.site)
    }

    #[test]
    fn a_file_by_halves_or_with_figures_that_make_no_sense_is_not_taken() {
        let cases = [
            ("", "", "EOF"),
            (r#""Window": 9}]}}"#, r#""Window": 9}]"#, "EOF"),
            (r#""Permissions": {"AttemptsCap": 3, "Probes": true},"#, "", "/settings/Permissions is missing"),
            (r#""AttemptsCap": 3, "#, "", "/settings/Permissions/AttemptsCap is missing"),
            (r#""limits": {"sockets": 512}, "#, "", "/limits is missing"),
            (r#""limits": {"sockets": 512}"#, r#""limits": {}"#, "/limits/sockets is missing"),
            (r#""free", "Credit": 1"#, r#""free""#, "/settings/Classes/0/Credit is missing"),
            (r#""GiveUp": 2, "Idempotency": "free""#, r#""Idempotency": "free""#, "GiveUp"),
            (r#""GiveUp": 2"#, r#""GiveUp": 0"#, "not over 0"),
            (r#""GiveUp": 2"#, r#""GiveUp": -2"#, "not over 0"),
            (r#""Target": 1"#, r#""Target": 0"#, "not over 0"),
            (r#""AttemptsCap": 3"#, r#""AttemptsCap": 0"#, "not over 0"),
            (r#""AttemptsCap": 3"#, r#""AttemptsCap": -1"#, "invalid value"),
            (r#""AttemptsCap": 3"#, r#""AttemptsCap": null"#, "bad settings"),
            (r#""Zone": 1"#, r#""Zone": 1, "RegistryMode": "ask""#, "can't change"),
            (r#""Name": "submit""#, r#""Name": "read""#, "stands twice"),
        ];
        for (old, new, expected) in cases {
            let by = if old.is_empty() { String::new() } else { RUNNING.replacen(old, new, 1) };
            let why = replaced(&by).expect_err(new);
            assert!(why.contains(expected), "{new}: {why}");
        }
    }

    #[test]
    fn zones_and_kinds_keep_their_numbers_and_no_list_is_wanted() {
        let by =
            RUNNING.replace(r#""known": {"endpoints": []},"#, "").replace(r#"["a", "b"]"#, r#"["c", "b"]"#);
        let site = replaced(&by.replace(r#"["m", "n"]"#, r#"["n"]"#)).expect("good");
        assert_eq!((&site.zone_names[..], site.settings.zone), (&["a", "b", "c"].map(String::from)[..], 1));
        assert_eq!(site.kind_names, ["m", "n"]);
    }

    #[test]
    fn a_class_of_another_effect_needs_what_all_classes_have() {
        let added = r#""Classes": [{"Name": "correct", "Target": 1, "GiveUp": 2, "Idempotency": "single_shot", "Credit": 2},"#;
        let site = replaced(&RUNNING.replace(r#""Classes": ["#, added)).expect("good");
        assert_eq!(site.class_names, ["correct", "read", "submit"]);
    }
}
