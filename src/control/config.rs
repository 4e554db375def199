//! What a node is told at its start: the file that `PROXY_CONFIG` names.

mod error;
mod key_shape;
#[cfg(test)]
mod tests;

use crate::LEAST_SUBSET;
use crate::control::server_table::LISTED_SERVER_BYTES;
use crate::settings::{self, NameTable, SettingsUpdate, SiteSettings, ZonesConfig};
use key_shape::{Shape, lacks};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use std::cell::RefCell;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;

pub use error::{ConfigError, ConfigFileError};

/// The most bytes of a body that are kept, either way.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;

/// The least connections with which a node can serve.
const LEAST: usize = 3;

/// Descriptors for all but connections: standard streams, listener, runtime, discovery, the operators' calls, dials that
/// end.
pub const RESERVED_SOCKETS: usize = 48;
/// What a listed server takes of a node's memory at most, in bytes: its places in the module, the pool and the discovery
/// client, and its part of a list that is being taken in.
pub const HELD_SERVER_BYTES: usize = 1024;
/// The most that a subset may be, for each ring.
pub const MOST_SUBSET: usize = 16_384;
/// So many servers may always be listed.
const SHORT_LIST: usize = 2_000;
/// Members that are kept, and addresses of nodes that are read.
pub const MAX_PEERS: usize = hillpick_fleet::MAX_MEMBERS;

#[derive(Deserialize)]
struct File<'a> {
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
    #[serde(default, borrow)]
    known: Option<&'a RawValue>,
    #[serde(default)]
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    /// Membership; without it the node knows the others by number alone.
    #[serde(default)]
    fleet: Option<FleetFile>,
    /// How far the zones are; without it zones are alike.
    #[serde(default)]
    zones: Option<ZonesConfig>,
    /// How much of a long list the node holds; without it all of it.
    #[serde(default)]
    subset: Option<SubsetFile>,
    #[serde(borrow)]
    settings: &'a RawValue,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SubsetFile {
    servers: usize,
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
pub struct FleetConfig {
    /// The cluster's name: others' messages are dropped.
    pub cluster: String,
    /// How often it probes another.
    pub probe_period: Duration,
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
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the agent of discovery listens.
    pub discovery: SocketAddr,
    /// Where the operators call, if they do.
    pub ops: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// The most client connections.
    pub max_client_connections: usize,
    /// The most connections to backends.
    pub max_backend_connections: usize,
    /// How much of clients' bodies may be kept at a time.
    pub body_buffer_kib: usize,
    /// The most servers in a list: half of the memory, at [`HELD_SERVER_BYTES`] each, or [`LISTED_SERVER_BYTES`] where a subset is held.
    pub max_listed_servers: usize,
    /// How many servers of each ring the node holds, if it does not hold all.
    pub subset: Option<usize>,
    /// The list of backends as this node last had it: discovery's JSON, perhaps old. Large; whoever keeps the
    /// configuration gives it up by [`Config::without_known_list`] once discovery has it.
    pub known_list: Option<String>,
    /// Membership, if the node takes part in it.
    pub fleet: Option<FleetConfig>,
    /// Zones and regions, if the node goes by them.
    pub zones: Option<ZonesConfig>,
    /// The settings.
    pub site: Arc<SiteSettings>,
    /// The keys of the file without the list: a later one has to hold what this one holds.
    shape: Shape,
}

/// The settings in force. All parts of the node share them, so that they change for all at once.
#[derive(Clone)]
pub struct LiveSettings(Rc<RefCell<Arc<SiteSettings>>>);

impl LiveSettings {
    /// Settings to begin with.
    pub fn new(site: Arc<SiteSettings>) -> Self {
        LiveSettings(Rc::new(RefCell::new(site)))
    }

    /// The settings that hold now.
    pub fn get(&self) -> Arc<SiteSettings> {
        self.0.borrow().clone()
    }

    /// Replaces them for all parts at once.
    pub fn set(&self, site: Arc<SiteSettings>) {
        *self.0.borrow_mut() = site;
    }
}

impl Config {
    /// Reads the file that `PROXY_CONFIG` names. The other `PROXY_` variables say nothing that it does not.
    pub fn from_env() -> Result<Self, ConfigFileError> {
        Config::read(|_| Ok(()))
    }

    /// How long the file is that `PROXY_CONFIG` names, in bytes: for a short one a thread of its own is not worth while.
    /// `None` if that can't be told, as of a pipe; reading it may take any time.
    pub fn file_length() -> Option<u64> {
        let path = std::env::var_os("PROXY_CONFIG")?;
        std::fs::metadata(path).ok().filter(|about| about.is_file()).map(|about| about.len())
    }

    /// The same without the list of backends that it brought.
    pub fn without_known_list(self) -> Self {
        Config { known_list: None, ..self }
    }

    fn read(check: impl FnOnce(&mut Self) -> Result<(), ConfigError>) -> Result<Self, ConfigFileError> {
        let path = PathBuf::from(std::env::var_os("PROXY_CONFIG").ok_or(ConfigFileError::NotNamed)?);
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(source) => return Err(ConfigFileError::Unreadable { path, source }),
        };
        let checked = Config::parse(&text).and_then(|mut new| check(&mut new).map(|()| new));
        let folded = checked.map(|mut new| {
            new.shape.fold();
            new
        });
        folded.map_err(|problem| ConfigFileError::Bad { path, problem })
    }

    /// Reads it again for a node that runs with this one. Only settings and the address of discovery may have
    /// changed; the rest is as it was until the next start. With what the node has to know of the change. A large file
    /// takes a while: such a one is read on a thread of its own.
    ///
    /// # Errors
    /// If it can't be read, is no configuration that a node could run with, or none that can follow this one.
    pub fn reload(&self) -> Result<(Self, SettingsUpdate), ConfigFileError> {
        let new = Config::read(|new| new.replaces(self))?.without_known_list();
        let replacement = SettingsUpdate::new(new.site.clone(), &self.site);
        Ok((new, replacement))
    }

    fn replaces(&mut self, running: &Config) -> Result<(), ConfigError> {
        lacks(&running.shape, &self.shape, "").map_or(Ok(()), Err)?;
        if self.site.settings.list_on_request != running.site.settings.list_on_request {
            return Err(ConfigError::RegistryMode);
        }
        let site = Arc::make_mut(&mut self.site); // nobody else has it yet, so that nothing is copied
        site.keep_numbering(&running.site);
        site.settings.zones = self.zones.as_ref().map(|zones| zones.to_zones(&site.zone_names));
        Ok(())
    }

    /// Reads and checks the text of a configuration.
    ///
    /// # Errors
    /// If it is no configuration that a node could run with; the error names the place and what was expected.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let file: File = serde_json::from_str(text).map_err(|e| ConfigError::form(text, 0, &e))?;
        let seed = match file.seed.as_str() {
            "" => 0,
            seed => u64::from_str_radix(seed, 16).map_err(|_| ConfigError::Seed(seed.into()))?,
        };
        let raw = file.settings.get();
        let mut site =
            settings::parse(raw.as_bytes()).map_err(|problem| match &problem {
                settings::SettingsError::Syntax(error) => ConfigError::InSettings(Box::new(
                    ConfigError::form(text, text.find(raw).unwrap_or_default(), error),
                )),
                _ => problem.into(),
            })?;
        let zones = match file.zones {
            Some(zones) => Some(zones),
            None => from_env::<ZonesConfig>("SILLWARD_ZONES")?,
        };
        zones.as_ref().map_or(Ok(()), ZonesConfig::validate)?;
        site.settings.zones = zones.as_ref().map(|zones| zones.to_zones(&site.zone_names));
        // Two numbers would mean the same class or tenant if a name stood twice.
        let mut zone_names = NameTable::default();
        for name in &site.zone_names {
            zone_names.push(name).map_err(ConfigError::ZoneNames)?;
        }
        for (key, names) in
            [("Classes", &site.class_names), ("Projects", &site.tenant_names), ("Localities", &zone_names)]
        {
            if let Some(problem) = names.error() {
                return Err(ConfigError::name(key, names, problem));
            }
        }
        for (class, name) in site.settings.classes.iter().zip(site.class_names.iter()) {
            for (key, time) in [("GiveUp", class.deadline), ("Target", class.latency_target)] {
                if time.is_zero() {
                    return Err(ConfigError::Time { name: name.to_owned(), key });
                }
            }
        }
        if site.settings.limits.max_attempts == 0 {
            return Err(ConfigError::NoAttempts);
        }
        let subset = match file.subset {
            Some(subset) => Some(subset),
            None => from_env::<SubsetFile>("SILLWARD_SUBSET")?,
        };
        let subset = subset.map(|subset| subset.servers);
        if let Some(servers) = subset.filter(|servers| !(LEAST_SUBSET..=MOST_SUBSET).contains(servers)) {
            return Err(ConfigError::Subset(servers));
        }
        let server_bytes = if subset.is_some() { LISTED_SERVER_BYTES } else { HELD_SERVER_BYTES };
        let wanted = match file.fleet {
            Some(fleet) => Some(fleet),
            None if site.peer_messages && file.peer_listen.is_some() => {
                from_env::<FleetFile>("SILLWARD_FLEET")?
            }
            None => None,
        };
        let fleet = wanted.map(|fleet| self::fleet(fleet, &file.name, file.peer_listen, file.peers, &site));
        let fleet = fleet.transpose()?;
        let mut shape: Shape = serde_json::from_str(text).map_err(|e| ConfigError::form(text, 0, &e))?;
        shape.forget("known");
        let connections = file.limits.sockets.saturating_sub(RESERVED_SOCKETS);
        if connections < LEAST {
            return Err(ConfigError::Sockets(file.limits.sockets));
        }
        Ok(Config {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            ops: file.ops,
            seed,
            // Clients hold a third of all descriptors for requests, and each of these wants one to a backend,
            // sometimes a second; the rest is for clients that ask nothing.
            max_client_connections: connections - connections * 2 / 5,
            max_backend_connections: connections * 2 / 5,
            // A quarter of the memory; one body at least, or nobody would ever be read.
            body_buffer_kib: (file.limits.memory_mb.saturating_mul(1024) / 4)
                .clamp(MAX_BUFFERED_BODY_BYTES / 1024, Semaphore::MAX_PERMITS),
            max_listed_servers: (file.limits.memory_mb.saturating_mul(1 << 20) / 2 / server_bytes)
                .max(SHORT_LIST),
            subset,
            known_list: file.known.map(|known| known.get().to_owned()),
            fleet,
            zones,
            site: Arc::new(site),
            shape,
        })
    }
}

/// An object of the configuration that stands in the environment, for nodes whose configuration is written by somebody who
/// knows nothing of it: `SILLWARD_FLEET` holds where the file has no `fleet` and allows messages between nodes,
/// `SILLWARD_ZONES` where it has no `zones`, `SILLWARD_SUBSET` where it has no `subset`.
fn from_env<T: DeserializeOwned>(name: &'static str) -> Result<Option<T>, ConfigError> {
    let Some(text) = std::env::var_os(name) else { return Ok(None) };
    let parsed = serde_json::from_str(&text.to_string_lossy());
    parsed.map(Some).map_err(|source| ConfigError::Environment { name, source })
}

/// Membership, if all that it needs is there and the settings allow it.
fn fleet(
    file: FleetFile,
    name: &str,
    listen: Option<SocketAddr>,
    peers: Vec<SocketAddr>,
    site: &SiteSettings,
) -> Result<FleetConfig, ConfigError> {
    if !site.peer_messages {
        return Err(ConfigError::Forbidden);
    }
    if hillpick_fleet::Name::try_from(name.to_string()).is_err() {
        return Err(ConfigError::FleetName(name.into()));
    }
    if !(100..=60_000).contains(&file.probe_ms) {
        return Err(ConfigError::ProbeMs(file.probe_ms));
    }
    let node = site.settings.node as usize;
    let count = peers.len();
    if file.advertise.is_some() {
        if let Some(peer) = peers.iter().find(|peer| !peer.is_ipv4()) {
            return Err(ConfigError::Peer(*peer));
        }
        if count > MAX_PEERS {
            return Err(ConfigError::ManyPeers(count));
        }
    } else if node >= count || count > MAX_PEERS {
        return Err(ConfigError::FewPeers { count, node });
    }
    let listen = listen.ok_or(ConfigError::NoPeerListen)?;
    Ok(FleetConfig {
        cluster: file.cluster,
        probe_period: Duration::from_millis(file.probe_ms),
        listen,
        peers,
        advertise: file.advertise,
        saved: file.saved,
    })
}
