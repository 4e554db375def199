//! What can be wrong with a configuration, each with what an operator can do.

use super::{LEAST, MAX_PEERS, MOST_SUBSET, RESERVED_SOCKETS};
use crate::LEAST_SUBSET;
use crate::settings::{self, NameError, NameTable, TooManyNames};
use std::fmt::Display;
use std::net::SocketAddr;
use std::path::PathBuf;

/// So many names stand in an error; of more only the first ones do.
const NAMES_SHOWN: usize = 8;

/// Why there is no configuration. One line, whatever stands in the file.
#[derive(Debug, thiserror::Error)]
pub enum ConfigFileError {
    /// Nothing names the file: set the variable.
    #[error("bad configuration: PROXY_CONFIG is not set: expected the path of a JSON file")]
    NotNamed,
    /// The file can't be read: look at its path and rights.
    #[error("bad configuration: cannot read {}: {source}", one_line(path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// The thread that reads it has ended before it was done: send SIGHUP again.
    #[error("bad configuration: the reading of the file broke off: {0}")]
    ReadAborted(String),
    /// What stands in it is no good.
    #[error("bad configuration: {}: {}", one_line(path.display()), one_line(problem))]
    Bad {
        /// The file.
        path: PathBuf,
        /// What is wrong in it.
        problem: ConfigError,
    },
}

/// What is wrong in a configuration: what stands where, and what was expected. `docs/operations.md` says what to do.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// It is no JSON, or a key is missing or of another kind.
    #[error("{what} at line {line} column {column}{}", expected(what))]
    Form {
        /// The line in the file, from 1.
        line: usize,
        /// The column in that line, from 1.
        column: usize,
        /// The parser's words.
        what: String,
    },
    /// The same within `settings`; the place is that in the whole file.
    #[error("bad settings: {0}")]
    InSettings(Box<ConfigError>),
    /// The settings in it, or its zones.
    #[error(transparent)]
    Settings(#[from] settings::SettingsError),
    /// An object in the environment.
    #[error("{name}: {source}; expected an object as in the configuration")]
    Environment {
        /// The variable.
        name: &'static str,
        /// The parser's words.
        source: serde_json::Error,
    },
    /// The seed is no hexadecimal number.
    #[error("seed: {0:?}: expected up to 16 hexadecimal digits")]
    Seed(String),
    /// Two numbers would mean the same.
    #[error("{key}: a name is empty or stands twice in {names}: {which}; expected each once")]
    Name {
        /// The key whose names they are.
        key: &'static str,
        /// The names, of many the first ones.
        names: String,
        /// The name and its places, from 0.
        which: String,
    },
    /// The names of the zones can't be numbered.
    #[error("Localities: {0}")]
    ZoneNames(#[source] TooManyNames),
    /// A class whose requests could never be answered.
    #[error("class {name}: {key} is not over 0; expected a time in ms")]
    Time {
        /// The class.
        name: String,
        /// The key of its time.
        key: &'static str,
    },
    /// No request could be sent at all.
    #[error("Permissions.AttemptsCap = 0: attempts are not over 0; expected 1 or more")]
    NoAttempts,
    /// The node could not hold a client and a backend at once.
    #[error("limits.sockets = {0}: too few sockets; expected {least} or more", least = RESERVED_SOCKETS + LEAST)]
    Sockets(usize),
    /// The part of a ring that is held is too small to choose from, or too large for what it is for: give another.
    #[error("subset.servers = {0}: expected {LEAST_SUBSET} to {MOST_SUBSET}")]
    Subset(usize),
    /// Membership needs messages between nodes.
    #[error(
        "fleet: the settings forbid messages between nodes (Permissions.Peers); expected no fleet, or true there"
    )]
    Forbidden,
    /// The name does not fit into a datagram.
    #[error("fleet: the name {0:?}: expected 1 to 24 visible ASCII characters")]
    FleetName(String),
    /// The period of probes is out of its bounds.
    #[error("fleet.probe_ms = {0}: expected 100 to 60000")]
    ProbeMs(u64),
    /// Members of one cluster are all reached in the same way.
    #[error("fleet: the peer {0}: expected an IPv4 address, as fleet.advertise is one")]
    Peer(SocketAddr),
    /// More peers than membership is built for.
    #[error("fleet: {0} peers: expected {MAX_PEERS} at most")]
    ManyPeers(usize),
    /// This node, or another, has no address.
    #[error(
        "fleet: {count} peers: expected an address for each node up to this one's number, {node}, and {MAX_PEERS} at most"
    )]
    FewPeers {
        /// How many addresses there are.
        count: usize,
        /// This node's number.
        node: usize,
    },
    /// Nobody could reach this node.
    #[error("fleet: peer_listen is missing; expected the address where this node hears the others")]
    NoPeerListen,
    /// A file that was written or copied by halves looks so.
    #[error("{0} is missing, which the running configuration has; expected all of its keys")]
    Missing(String),
    /// A key has another kind of value than before.
    #[error("{0} is no longer what it was; expected an object or a list, as the running configuration has")]
    OtherKind(String),
    /// Watching and asking are set up at the start.
    #[error(
        "RegistryMode: how the list is had can't change while the node runs; expected it as it was, or a new start"
    )]
    RegistryMode,
}

impl ConfigError {
    /// What is wrong with the names below a key. Of many names the first ones are told, and how many there are.
    pub(super) fn name(key: &'static str, names: &NameTable, problem: NameError) -> Self {
        let shown: Vec<_> = names.iter().take(NAMES_SHOWN).collect();
        let rest = names.len() - shown.len();
        let rest = if rest > 0 { format!(" and {rest} more") } else { String::new() };
        let which = match problem {
            NameError::Empty { index: place } => format!("the one at {place} is empty"),
            NameError::Duplicate { first, second } => {
                format!("{:?} at {first} and {second}", names.get(second).unwrap_or_default())
            }
        };
        ConfigError::Name { key, names: format!("{shown:?}{rest}"), which }
    }

    /// What the parser says of a text that begins at `start` of the file.
    pub(super) fn form(file: &str, start: usize, error: &serde_json::Error) -> Self {
        let before = file.get(..start).unwrap_or_default();
        let on_line =
            if error.line() > 1 { 0 } else { before.len() - before.rfind('\n').map_or(0, |at| at + 1) };
        let (text, place) =
            (error.to_string(), format!(" at line {} column {}", error.line(), error.column()));
        ConfigError::Form {
            line: before.matches('\n').count() + error.line(),
            column: on_line + error.column(),
            what: text.strip_suffix(&place).unwrap_or(&text).to_owned(),
        }
    }
}

/// What was expected, where the parser does not say.
fn expected(what: &str) -> &'static str {
    match what {
        _ if what.contains("socket address") => "; expected an address and a port, such as 127.0.0.1:8080",
        _ if what.contains("expected") || what.contains("missing field") => "",
        _ => "; expected a whole JSON object",
    }
}

/// Names and values come from the file; none of them begins a new line of the log.
fn one_line(text: impl Display) -> String {
    text.to_string().chars().map(|c| if c.is_control() { ' ' } else { c }).collect()
}
