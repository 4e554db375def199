//! Configuration errors: each names the key or the position, the value that stands there and what was
//! expected.

use super::{MAX_PEERS, MAX_SUBSET, MIN_CONNECTIONS, RESERVED_SOCKETS};
use crate::LEAST_SUBSET;
use crate::settings::{self, NameError, NameTable, TooManyNames};
use std::fmt::Display;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The most names that an error message lists; of more it gives the first ones and the number of the others.
const NAMES_SHOWN: usize = 8;

/// Why no configuration could be loaded from its file. The message is one line, whatever stands in the file.
#[derive(Debug, thiserror::Error)]
pub enum ConfigFileError {
    /// The environment variable that names the file is not set.
    #[error("bad configuration: PROXY_CONFIG is not set: expected the path of a JSON file")]
    NotNamed,
    /// The file can't be read: check its path and permissions.
    #[error("bad configuration: cannot read {}: {source}", one_line(path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The thread that reads the file ended before it was done: send SIGHUP again.
    #[error("bad configuration: the reading of the file broke off: {0}")]
    ReadAborted(String),
    /// The file's content is not a usable configuration.
    #[error("bad configuration: {}: {}", one_line(path.display()), one_line(error))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong with the content.
        error: ConfigError,
    },
}

/// What is wrong in a configuration. `docs/operations.md` lists the messages and the remedy for each.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The text is not valid JSON, or a key is missing or has a value of the wrong type.
    #[error("{what} at line {line} column {column}{}", expected(what))]
    Syntax {
        /// The line in the file, from 1.
        line: usize,
        /// The column in that line, from 1.
        column: usize,
        /// The parser's message, without the position.
        what: String,
    },
    /// The same within `settings`; line and column are those of the whole file.
    #[error("bad settings: {0}")]
    InSettings(Box<ConfigError>),
    /// The settings or the zones have invalid values.
    #[error(transparent)]
    Settings(#[from] settings::SettingsError),
    /// An environment variable does not hold a valid object.
    #[error("{name}: {source}; expected an object as in the configuration")]
    Environment {
        /// The variable.
        name: &'static str,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// The seed is not a hexadecimal number of 64 bits.
    #[error("seed: {0:?}: expected up to 16 hexadecimal digits")]
    Seed(String),
    /// A name is empty, or is a duplicate: two numbers would mean the same class, tenant or zone.
    #[error("{key}: a name is empty or stands twice in {names}: {which}; expected each once")]
    InvalidName {
        /// The key below which the names stand.
        key: &'static str,
        /// The names, or the first ones of many.
        names: String,
        /// The invalid name and its indices, from 0.
        which: String,
    },
    /// The names of the zones are too long in all for a table of names.
    #[error("Localities: {0}")]
    ZoneNames(#[source] TooManyNames),
    /// A class has a deadline or latency target of 0, so that its requests could never be answered in time.
    #[error("class {name}: {key} is not over 0; expected a time in ms")]
    ZeroTime {
        /// The class.
        name: String,
        /// The key of the time.
        key: &'static str,
    },
    /// No attempt is permitted, so that no request could be sent to a server.
    #[error("Permissions.AttemptsCap = 0: attempts are not over 0; expected 1 or more")]
    NoAttempts,
    /// Too few sockets are left to connect to a client and a backend at once.
    #[error(
        "limits.sockets = {0}: too few sockets; expected {least} or more",
        least = RESERVED_SOCKETS + MIN_CONNECTIONS
    )]
    TooFewSockets(usize),
    /// The subset is too small to select servers from, or too large to save memory.
    #[error("subset.servers = {0}: expected {LEAST_SUBSET} to {MAX_SUBSET}")]
    SubsetOutOfRange(usize),
    /// Membership is configured, but the settings forbid the messages between nodes that it needs.
    #[error(
        "fleet: the settings forbid messages between nodes (Permissions.Peers); expected no fleet, or true there"
    )]
    PeerMessagesForbidden,
    /// The node's name can't be sent in a membership datagram.
    #[error("fleet: the name {0:?}: expected 1 to 24 visible ASCII characters")]
    FleetName(String),
    /// The probe period is out of range.
    #[error("fleet.probe_ms = {0}: expected 100 to 60000")]
    ProbePeriodOutOfRange(u64),
    /// `fleet.advertise` is set, and a peer's address is not IPv4: members of one cluster all use the same
    /// kind of address.
    #[error("fleet: the peer {0}: expected an IPv4 address, as fleet.advertise is one")]
    PeerNotIpv4(SocketAddr),
    /// There are more peers than membership supports.
    #[error("fleet: {0} peers: expected {MAX_PEERS} at most")]
    TooManyPeers(usize),
    /// Without `fleet.advertise`: there is no address for this node's number, or there are too many
    /// addresses.
    #[error(
        "fleet: {count} peers: expected an address for each node up to this one's number, {node}, and {MAX_PEERS} at most"
    )]
    PeerCount {
        /// How many addresses there are.
        count: usize,
        /// This node's number.
        node: usize,
    },
    /// Membership has no address to listen on, so that no other node could reach this one.
    #[error("fleet: peer_listen is missing; expected the address on which this node receives peer messages")]
    MissingPeerListen,
    /// A reloaded file lacks a key of the running configuration, as a partly written or copied file does.
    #[error("{0} is missing, which the running configuration has; expected all of its keys")]
    MissingKey(String),
    /// A key that held an object or a list in the running configuration holds another kind of value.
    #[error("{0} is no longer what it was; expected an object or a list, as the running configuration has")]
    DifferentKind(String),
    /// Whether the node watches discovery or asks it on request is decided at the start.
    #[error(
        "RegistryMode: how the list is had can't change while the node runs; expected its value at the start, or a restart"
    )]
    RegistryModeChanged,
}

impl ConfigError {
    /// The error for an invalid name below a key. Lists the first names, and how many more there are.
    pub(super) fn invalid_name(key: &'static str, names: &NameTable, error: NameError) -> Self {
        let shown: Vec<_> = names.iter().take(NAMES_SHOWN).collect();
        let rest = names.len() - shown.len();
        let rest = if rest > 0 { format!(" and {rest} more") } else { String::new() };
        let which = match error {
            NameError::Empty { index } => format!("the one at {index} is empty"),
            NameError::Duplicate { first, second } => {
                format!("{:?} at {first} and {second}", names.get(second).unwrap_or_default())
            }
        };
        ConfigError::InvalidName { key, names: format!("{shown:?}{rest}"), which }
    }

    /// The parser's error for a part of the file that begins at byte `start`, with the position in the whole
    /// file.
    pub(super) fn syntax(file: &str, start: usize, error: &serde_json::Error) -> Self {
        let before = file.get(..start).unwrap_or_default();
        let column_offset =
            if error.line() > 1 { 0 } else { before.len() - before.rfind('\n').map_or(0, |at| at + 1) };
        let (message, position) =
            (error.to_string(), format!(" at line {} column {}", error.line(), error.column()));
        ConfigError::Syntax {
            line: before.matches('\n').count() + error.line(),
            column: column_offset + error.column(),
            what: message.strip_suffix(&position).unwrap_or(&message).to_owned(),
        }
    }
}

/// What was expected, where the parser's message does not say it.
fn expected(what: &str) -> &'static str {
    match what {
        _ if what.contains("socket address") => "; expected an address and a port, such as 127.0.0.1:8080",
        _ if what.contains("expected") || what.contains("missing field") => "",
        _ => "; expected a whole JSON object",
    }
}

/// Replaces control characters: names and values come from the file, and must not begin a new line of the
/// log.
fn one_line(text: impl Display) -> String {
    text.to_string().chars().map(|c| if c.is_control() { ' ' } else { c }).collect()
}
