//! A node's configuration, read from the file that `PROXY_CONFIG` names: its validation and its live reload.

mod error;
mod key_shape;
#[cfg(test)]
mod tests;

use crate::LEAST_SUBSET;
use crate::control::server_table::LISTED_SERVER_BYTES;
use crate::settings::{self, NameTable, SettingsUpdate, SiteSettings, ZonesConfig};
use key_shape::{EntryShapes, Shape, missing_entry_key, missing_key};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use std::cell::RefCell;
use std::mem::discriminant;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

pub use error::{ConfigError, ConfigFileError};

/// The most bytes of a request's or a response's body that are buffered.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;

/// The keys that a file may lack, though the running one has them.
const OPTIONAL_KEYS: [&[&str]; 4] = [
    &["known"],
    &["settings", "Specifics", "PassesDeadline"],
    &["settings", "Specifics", "WarmKeys"],
    &["settings", "Prices", "Fleet"],
];
/// The keys that a class may lack, though the running one of its name has them.
const OPTIONAL_CLASS_KEYS: &[&str] = &["AimStretch"];
/// The keys that a class may lack which is new or whose requests may be repeated in another way than before.
/// `Group` and `Window` are for keyed classes alone, and these can't be parsed without them.
const OPTIONAL_NEW_CLASS_KEYS: &[&str] = &["AimStretch", "Group", "Window"];

/// The fewest connections with which a node can serve, clients' and backends' together.
const MIN_CONNECTIONS: usize = 3;

/// File descriptors reserved for everything but proxied connections: standard streams, listener, runtime,
/// discovery, the admin interface, and connection attempts that are ending.
pub const RESERVED_SOCKETS: usize = 48;
/// Memory of a process without connections and buffers, in bytes.
const BASE_MEMORY_BYTES: usize = 5 << 20;
/// Memory of a connection that holds nothing: hyper's two buffers of 8 KiB, its tasks, and a message that is too
/// short to be reserved for.
const CONNECTION_BYTES: usize = 20 * 1024;
/// The least memory for buffers, however little is configured: room for the longest body that is buffered
/// beside some requests in progress.
pub const MIN_BUFFER_BYTES: usize = 2 * MAX_BUFFERED_BODY_BYTES;
/// Connections for which there is room, however little memory is configured.
const MIN_AFFORDABLE_CONNECTIONS: usize = 64;
/// Upper bound on a node's memory for each listed server where all are held, in bytes: its entries in the
/// decision module, the connection pool and the discovery client, and its part of a list that is being
/// applied.
pub const HELD_SERVER_BYTES: usize = 1024;
/// The largest subset that may be configured, in servers of each ring.
pub const MAX_SUBSET: usize = 16_384;
/// Lower bound of [`Config::max_listed_servers`], however little memory is configured.
const MIN_LIST_LIMIT: usize = 2_000;
/// The most members that a node keeps, and the most peer addresses that a configuration may have.
pub const MAX_PEERS: usize = hillpick_fleet::MAX_MEMBERS;

/// The configuration file; the field names are its keys.
#[derive(Deserialize)]
struct ConfigFile<'a> {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    /// The address of the admin interface; without it there is none.
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
    /// Membership; without it the node knows of the other nodes only what the settings say: how many there
    /// are.
    #[serde(default)]
    fleet: Option<FleetFile>,
    /// Latencies and regions of the zones; without it the node treats all zones alike.
    #[serde(default)]
    zones: Option<ZonesConfig>,
    /// How much of a long list the node holds; without it the node holds all listed servers.
    #[serde(default)]
    subset: Option<SubsetFile>,
    #[serde(borrow)]
    settings: &'a RawValue,
}

/// The key `subset` of the file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SubsetFile {
    servers: usize,
}

/// The key `fleet` of the file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FleetFile {
    cluster: String,
    #[serde(default = "default_probe_ms")]
    probe_ms: u64,
    #[serde(default)]
    advertise: Option<SocketAddrV4>,
    #[serde(default)]
    saved: Option<PathBuf>,
}

fn default_probe_ms() -> u64 {
    1000
}

/// Membership's part of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// The cluster's name: messages of other clusters are dropped.
    pub cluster: String,
    /// The time between two probes that this node sends.
    pub probe_period: Duration,
    /// The UDP address on which this node receives membership messages.
    pub listen: SocketAddr,
    /// Without `advertise`: the address of every node, by node number, this node's own included. With it:
    /// seed addresses, through which the node finds the others.
    pub peers: Vec<SocketAddr>,
    /// The address at which all other nodes reach this one, if they identify each other by address; port 0
    /// stands for the port of the bound socket.
    pub advertise: Option<SocketAddrV4>,
    /// The file in which the members are persisted, so that the node finds them after a restart.
    pub saved: Option<PathBuf>,
}

/// The key `limits` of the file.
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

/// A validated node configuration.
pub struct Config {
    /// The node's name, which stays the same over restarts.
    pub name: String,
    /// The address on which clients connect.
    pub listen: SocketAddr,
    /// The address of the discovery agent.
    pub discovery: SocketAddr,
    /// The address of the admin interface, if there is one.
    pub ops: Option<SocketAddr>,
    /// Seed of the random number generators.
    pub seed: u64,
    /// The most client connections.
    pub max_client_connections: usize,
    /// The most connections to backends.
    pub max_backend_connections: usize,
    /// The most bytes that buffers may hold beside what each connection costs.
    pub buffer_bytes: usize,
    /// The most servers in a list: half of the memory, at [`HELD_SERVER_BYTES`] each, or
    /// [`LISTED_SERVER_BYTES`] where a subset is held.
    pub max_listed_servers: usize,
    /// How many servers of each ring the node holds, if it holds a subset.
    pub subset: Option<usize>,
    /// The list of backends as this node last had it: discovery's JSON, possibly out of date. It may be
    /// large, so whoever keeps the configuration drops it by [`Config::without_known_list`] once discovery
    /// has it.
    pub known_list: Option<String>,
    /// Membership, if the node takes part in it.
    pub fleet: Option<FleetConfig>,
    /// Zones and regions, if the node routes by them.
    pub zones: Option<ZonesConfig>,
    /// The settings.
    pub site: Arc<SiteSettings>,
    /// The keys of the file that a reloaded file has to have.
    keys: FileKeys,
}

/// The keys of a configuration file, without their values and without those that a file may lack.
struct FileKeys {
    /// All but those below.
    shape: Shape,
    /// The keys of the classes.
    classes: EntryShapes,
    /// The keys of the tenants.
    tenants: EntryShapes,
}

impl FileKeys {
    /// The keys of the file with this text.
    fn parse(text: &str) -> Result<Self, serde_json::Error> {
        let mut shape: Shape = serde_json::from_str(text)?;
        OPTIONAL_KEYS.iter().for_each(|path| shape.remove_path(path));
        let classes = EntryShapes::new(&shape.take_array(&["settings", "Classes"]));
        let tenants = EntryShapes::new(&shape.take_array(&["settings", "Projects"]));
        Ok(FileKeys { shape, classes, tenants })
    }
}

/// Shared handle to the settings in force: a reload replaces them for all parts of the node at once.
#[derive(Clone)]
pub struct LiveSettings(Rc<RefCell<Arc<SiteSettings>>>);

impl LiveSettings {
    /// A handle to the settings that the node starts with.
    pub fn new(site: Arc<SiteSettings>) -> Self {
        LiveSettings(Rc::new(RefCell::new(site)))
    }

    /// The settings in force now.
    pub fn get(&self) -> Arc<SiteSettings> {
        self.0.borrow().clone()
    }

    /// Replaces the settings for all holders of the handle.
    pub fn set(&self, site: Arc<SiteSettings>) {
        *self.0.borrow_mut() = site;
    }
}

impl Config {
    /// Reads the file that `PROXY_CONFIG` names. The other `PROXY_` variables only repeat what stands in it.
    pub fn from_env() -> Result<Self, ConfigFileError> {
        Config::read(|_| Ok(()))
    }

    /// The length of the file that `PROXY_CONFIG` names, in bytes: a short one need not be read on a thread
    /// of its own. `None` if it is not a regular file, such as a pipe, whose reading may take any time.
    pub fn file_length() -> Option<u64> {
        let path = std::env::var_os("PROXY_CONFIG")?;
        std::fs::metadata(path).ok().filter(|metadata| metadata.is_file()).map(|metadata| metadata.len())
    }

    /// The same configuration without its list of backends, which frees that memory.
    pub fn without_known_list(self) -> Self {
        Config { known_list: None, ..self }
    }

    /// Reads and parses the file, runs a further check, and compacts the shape that is kept.
    fn read(check: impl FnOnce(&mut Self) -> Result<(), ConfigError>) -> Result<Self, ConfigFileError> {
        let path = PathBuf::from(std::env::var_os("PROXY_CONFIG").ok_or(ConfigFileError::NotNamed)?);
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(source) => return Err(ConfigFileError::Unreadable { path, source }),
        };
        let checked = Config::parse(&text).and_then(|mut new| check(&mut new).map(|()| new));
        let compacted = checked.map(|mut new| {
            new.keys.shape.compact();
            new
        });
        compacted.map_err(|error| ConfigFileError::Invalid { path, error })
    }

    /// Reads and validates the file again for a node that runs with this configuration (live reload), and
    /// returns it with the update for the decision module. Only the settings and the address of discovery
    /// take effect; all other changes wait for the next start. A large file takes long to read and check:
    /// call this on a thread of its own.
    ///
    /// # Errors
    /// If the file can't be read, is not a valid configuration, or can't replace the running one.
    pub fn reload(&self) -> Result<(Self, SettingsUpdate), ConfigFileError> {
        let new = Config::read(|new| new.prepare_reload(self))?.without_known_list();
        let update = SettingsUpdate::new(new.site.clone(), &self.site);
        Ok((new, update))
    }

    /// Checks that this configuration can replace the running one, and gives zones and host types the numbers
    /// that they have there.
    fn prepare_reload(&mut self, running: &Config) -> Result<(), ConfigError> {
        self.missing_key(running).map_or(Ok(()), Err)?;
        if self.site.settings.list_on_request != running.site.settings.list_on_request {
            return Err(ConfigError::RegistryModeChanged);
        }
        let site = Arc::make_mut(&mut self.site); // the only reference so far, so nothing is copied
        site.keep_numbering(&running.site);
        site.settings.zones = self.zones.as_ref().map(|zones| zones.to_zones(&site.zone_names));
        Ok(())
    }

    /// The error for the first key that this configuration lacks to replace the running one.
    fn missing_key(&self, running: &Config) -> Option<ConfigError> {
        let (keys, running_keys) = (&self.keys, &running.keys);
        let (site, running_site) = (&self.site, &running.site);
        missing_key(&running_keys.shape, &keys.shape, "")
            .or_else(|| {
                missing_entry_key(
                    (&running_keys.classes, &running_site.class_names),
                    (&keys.classes, &site.class_names),
                    "/settings/Classes",
                    |running_index, index| self.optional_class_keys(running, running_index, index),
                )
            })
            .or_else(|| {
                missing_entry_key(
                    (&running_keys.tenants, &running_site.tenant_names),
                    (&keys.tenants, &site.tenant_names),
                    "/settings/Projects",
                    |_, _| &[],
                )
            })
    }

    /// The keys that a class may lack, by its index and that of the running class of its name.
    fn optional_class_keys(
        &self,
        running: &Config,
        running_index: Option<usize>,
        index: usize,
    ) -> &'static [&'static str] {
        let kind = |config: &Config, index: usize| {
            config.site.settings.classes.get(index).map(|class| discriminant(&class.retry_safety))
        };
        let same_kind = running_index.is_some_and(|at| kind(running, at) == kind(self, index));
        if same_kind { OPTIONAL_CLASS_KEYS } else { OPTIONAL_NEW_CLASS_KEYS }
    }

    /// Parses and validates the text of a configuration.
    ///
    /// # Errors
    /// If it is not a configuration that a node can run with; the error names the key or position and what
    /// was expected.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let file: ConfigFile = serde_json::from_str(text).map_err(|e| ConfigError::syntax(text, 0, &e))?;
        let seed = match file.seed.as_str() {
            "" => 0,
            seed => u64::from_str_radix(seed, 16).map_err(|_| ConfigError::Seed(seed.into()))?,
        };
        let settings_text = file.settings.get();
        let mut site = settings::parse(settings_text.as_bytes()).map_err(|error| match &error {
            settings::SettingsError::Syntax(json_error) => ConfigError::InSettings(Box::new(
                ConfigError::syntax(text, text.find(settings_text).unwrap_or_default(), json_error),
            )),
            _ => error.into(),
        })?;
        let zones = match file.zones {
            Some(zones) => Some(zones),
            None => object_from_env::<ZonesConfig>("SILLWARD_ZONES")?,
        };
        zones.as_ref().map_or(Ok(()), ZonesConfig::validate)?;
        site.settings.zones = zones.as_ref().map(|zones| zones.to_zones(&site.zone_names));
        // A duplicate name would give one class, tenant or zone two numbers.
        let mut zone_names = NameTable::default();
        for name in &site.zone_names {
            zone_names.push(name).map_err(ConfigError::ZoneNames)?;
        }
        for (key, names) in
            [("Classes", &site.class_names), ("Projects", &site.tenant_names), ("Localities", &zone_names)]
        {
            if let Some(error) = names.error() {
                return Err(ConfigError::invalid_name(key, names, error));
            }
        }
        for (class, name) in site.settings.classes.iter().zip(site.class_names.iter()) {
            for (key, time) in [("GiveUp", class.deadline), ("Target", class.latency_target)] {
                if time.is_zero() {
                    return Err(ConfigError::ZeroTime { name: name.to_owned(), key });
                }
            }
        }
        if site.settings.limits.max_attempts == 0 {
            return Err(ConfigError::NoAttempts);
        }
        let subset = match file.subset {
            Some(subset) => Some(subset),
            None => object_from_env::<SubsetFile>("SILLWARD_SUBSET")?,
        };
        let subset = subset.map(|subset| subset.servers);
        if let Some(servers) = subset.filter(|servers| !(LEAST_SUBSET..=MAX_SUBSET).contains(servers)) {
            return Err(ConfigError::SubsetOutOfRange(servers));
        }
        let server_bytes = if subset.is_some() { LISTED_SERVER_BYTES } else { HELD_SERVER_BYTES };
        let fleet_file = match file.fleet {
            Some(fleet) => Some(fleet),
            None if site.peer_messages && file.peer_listen.is_some() => {
                object_from_env::<FleetFile>("SILLWARD_FLEET")?
            }
            None => None,
        };
        let fleet = fleet_file
            .map(|fleet| self::validate_fleet(fleet, &file.name, file.peer_listen, file.peers, &site));
        let fleet = fleet.transpose()?;
        let keys = FileKeys::parse(text).map_err(|e| ConfigError::syntax(text, 0, &e))?;
        let connections = file.limits.sockets.saturating_sub(RESERVED_SOCKETS);
        if connections < MIN_CONNECTIONS {
            return Err(ConfigError::TooFewSockets(file.limits.sockets));
        }
        let memory_limit = file.limits.memory_mb.saturating_mul(1 << 20);
        // Where hot restarts are possible, a second process needs its part.
        let base_memory = BASE_MEMORY_BYTES * if file.ops.is_some() { 2 } else { 1 };
        let connections = connections.min(affordable_connections(memory_limit, base_memory));
        Ok(Config {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            ops: file.ops,
            seed,
            // A third of all descriptors is for clients with a request in flight. Each such request needs one
            // connection to a backend, sometimes a second. The rest is for idle clients.
            max_client_connections: connections - connections * 2 / 5,
            max_backend_connections: connections * 2 / 5,
            buffer_bytes: buffer_bytes(memory_limit, base_memory, connections),
            max_listed_servers: (memory_limit / 2 / server_bytes).max(MIN_LIST_LIMIT),
            subset,
            known_list: file.known.map(|known| known.get().to_owned()),
            fleet,
            zones,
            site: Arc::new(site),
            keys,
        })
    }
}

/// The most connections that a node with this much memory has: what they cost while they hold nothing takes up
/// to three quarters of it.
fn affordable_connections(memory_limit: usize, base_memory: usize) -> usize {
    let for_connections = memory_limit.saturating_sub(base_memory) / 4 * 3;
    (for_connections / CONNECTION_BYTES).max(MIN_AFFORDABLE_CONNECTIONS)
}

/// The memory for buffers: a quarter of all, or what the connections leave if that is less. A sixteenth is left
/// to what the allocator can't use.
fn buffer_bytes(memory_limit: usize, base_memory: usize, connections: usize) -> usize {
    let usable = memory_limit / 16 * 15;
    let left = usable.saturating_sub(base_memory + connections.saturating_mul(CONNECTION_BYTES));
    left.min(memory_limit / 4).max(MIN_BUFFER_BYTES)
}

/// Reads an object of the configuration from an environment variable, for deployments whose configuration
/// file is generated without these keys: `SILLWARD_FLEET` applies where the file has no `fleet` and allows
/// messages between nodes, `SILLWARD_ZONES` where it has no `zones`, `SILLWARD_SUBSET` where it has no
/// `subset`.
fn object_from_env<T: DeserializeOwned>(name: &'static str) -> Result<Option<T>, ConfigError> {
    let Some(text) = std::env::var_os(name) else { return Ok(None) };
    let parsed = serde_json::from_str(&text.to_string_lossy());
    parsed.map(Some).map_err(|source| ConfigError::Environment { name, source })
}

/// Validates membership's part of the configuration: its values are in range, the keys that it needs are
/// there, and the settings permit messages between nodes.
fn validate_fleet(
    file: FleetFile,
    name: &str,
    listen: Option<SocketAddr>,
    peers: Vec<SocketAddr>,
    site: &SiteSettings,
) -> Result<FleetConfig, ConfigError> {
    if !site.peer_messages {
        return Err(ConfigError::PeerMessagesForbidden);
    }
    if hillpick_fleet::Name::try_from(name.to_string()).is_err() {
        return Err(ConfigError::FleetName(name.into()));
    }
    if !(100..=60_000).contains(&file.probe_ms) {
        return Err(ConfigError::ProbePeriodOutOfRange(file.probe_ms));
    }
    let node = site.settings.node as usize;
    let count = peers.len();
    if file.advertise.is_some() {
        if let Some(peer) = peers.iter().find(|peer| !peer.is_ipv4()) {
            return Err(ConfigError::PeerNotIpv4(*peer));
        }
        if count > MAX_PEERS {
            return Err(ConfigError::TooManyPeers(count));
        }
    } else if node >= count || count > MAX_PEERS {
        return Err(ConfigError::PeerCount { count, node });
    }
    let listen = listen.ok_or(ConfigError::MissingPeerListen)?;
    Ok(FleetConfig {
        cluster: file.cluster,
        probe_period: Duration::from_millis(file.probe_ms),
        listen,
        peers,
        advertise: file.advertise,
        saved: file.saved,
    })
}
