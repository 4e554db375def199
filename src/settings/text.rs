//! The settings text as it is written, and its conversion into [`SiteSettings`].
//!
//! The structures here mirror the JSON text: a field's name is its key in snake case, and each time is in
//! milliseconds. Classes and tenants, of which there may be many, are converted one at a time while the text
//! is parsed.

use super::{NameTable, ReportColumn, SettingsError, SiteSettings, millis};
use crate::interface::*;
use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use std::borrow::Cow;
use std::fmt;
use std::marker::PhantomData;

/// How far requests of a class may be retried; becomes [`RetrySafety`].
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Idempotency {
    Free,
    Guarded,
    SingleShot,
}

/// The scope of an idempotency key; becomes [`DedupScope`].
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Group {
    All,
    Zone,
    Cell,
}

/// How load reports are sent; becomes [`ReportSource`].
#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Via {
    Piggyback,
    Pull,
    #[default]
    Silent,
}

/// Whether discovery pushes the server list or the node has to ask for it.
#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum RegistryMode {
    #[default]
    Push,
    Ask,
}

/// Whether value is counted per request or per unit of work.
#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum CountedBy {
    #[default]
    Request,
    Work,
}

/// An entry of `Classes`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawClass<'a> {
    #[serde(default, borrow)]
    name: Cow<'a, str>,
    /// Becomes [`Class::target_stretch`].
    #[serde(default)]
    aim_stretch: f64,
    /// Becomes [`Class::latency_target`].
    target: f64,
    /// Becomes [`Class::deadline`].
    give_up: f64,
    idempotency: Idempotency,
    /// Needed by a guarded class alone.
    #[serde(default)]
    group: Option<Group>,
    /// Becomes [`Class::late_value`].
    #[serde(default)]
    late_worth: f64,
    #[serde(default)]
    stream: bool,
    /// The retention time of an idempotency key. Needed by a guarded class alone.
    #[serde(default)]
    window: Option<f64>,
    /// Becomes [`Class::value`].
    #[serde(default = "default_one")]
    credit: f64,
}

/// An entry of `Projects`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawTenant<'a> {
    #[serde(default, borrow)]
    name: Cow<'a, str>,
    /// Becomes [`Tenant::rate_limit_per_s`].
    #[serde(default)]
    allowance_per_s: f64,
    #[serde(default)]
    share: f64,
}

/// An entry, with a name, of a list in the settings text.
trait NamedEntry<'de>: Deserialize<'de> {
    /// What it becomes in the settings; the name is stored apart.
    type Converted;
    fn name(&self) -> &str;
    /// Converts it, or says what is missing.
    fn convert(&self) -> Result<Self::Converted, MissingClassKey>;
}

/// A guarded class lacks a key that bounds where and when its requests may be sent again.
#[derive(Debug, thiserror::Error)]
#[error("class {class}: {key} is missing; expected it, as the class is guarded")]
struct MissingClassKey {
    class: String,
    key: &'static str,
}

impl<'de> NamedEntry<'de> for RawClass<'de> {
    type Converted = Class;
    fn name(&self) -> &str {
        &self.name
    }
    fn convert(&self) -> Result<Class, MissingClassKey> {
        class(self)
    }
}

impl<'de> NamedEntry<'de> for RawTenant<'de> {
    type Converted = Tenant;
    fn name(&self) -> &str {
        &self.name
    }
    fn convert(&self) -> Result<Tenant, MissingClassKey> {
        Ok(Tenant { rate_limit_per_s: self.allowance_per_s, share: self.share })
    }
}

/// The entries of a list and their names.
struct NamedList<T> {
    entries: Vec<T>,
    names: NameTable,
}

impl<T> Default for NamedList<T> {
    fn default() -> Self {
        NamedList { entries: Vec::new(), names: NameTable::default() }
    }
}

/// Deserializes a list and converts its entries one at a time, so that a large list is never in memory in
/// both forms.
fn named_list<'de, D: Deserializer<'de>, R: NamedEntry<'de>>(
    deserializer: D,
) -> Result<NamedList<R::Converted>, D::Error> {
    struct NamedListVisitor<R>(PhantomData<R>);
    impl<'de, R: NamedEntry<'de>> Visitor<'de> for NamedListVisitor<R> {
        type Value = NamedList<R::Converted>;
        fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
            formatter.write_str("a sequence")
        }
        fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Self::Value, A::Error> {
            let mut list = NamedList::default();
            while let Some(entry) = sequence.next_element::<R>()? {
                list.names.push_deserialized(entry.name())?;
                list.entries.push(entry.convert().map_err(A::Error::custom)?);
            }
            list.names.shrink();
            list.entries.shrink_to_fit();
            Ok(list)
        }
    }
    deserializer.deserialize_seq(NamedListVisitor::<R>(PhantomData))
}

/// `LoadReport`.
#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct RawLoadReport {
    columns: Vec<ReportColumn>,
    via: Via,
}

/// `Permissions`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct RawLimits {
    attempts_cap: u32,
    cancel: bool,
    connect_timeout: f64,
    /// The time after which a server closes an idle keep-alive connection.
    idle_close: f64,
    /// Applies only where `retry_after` is true.
    max_retry_after: f64,
    /// Whether hedging is allowed.
    parallel_tries: bool,
    /// Whether nodes may send messages to each other.
    peers: bool,
    probes: bool,
    /// Whether clients are told how long to wait after a refusal.
    retry_after: bool,
}

impl Default for RawLimits {
    fn default() -> Self {
        RawLimits {
            attempts_cap: 1,
            cancel: false,
            connect_timeout: 250.0,
            idle_close: 15_000.0,
            max_retry_after: 0.0,
            parallel_tries: false,
            peers: false,
            probes: false,
            retry_after: false,
        }
    }
}

/// `Prices`.
#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct RawPrices {
    probe: f64,
    cross_zone: f64,
    waste: f64,
    late_fail: f64,
    /// Deduction at 100 open connections to each server.
    connection: f64,
    /// Deduction at one new connection per request.
    handshake: f64,
}

/// `Goal`.
#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct RawGoal {
    whole: f64,
    worst_class: f64,
    worst_tenant: f64,
    worst_window: f64,
}

/// `Rules`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct RawRules {
    /// Becomes [`Rules::list_refresh_interval`].
    must_ask_in: f64,
    /// Becomes [`Rules::cold_capacity`].
    cold_from: f64,
    drain_grace: f64,
    overload_factor: f64,
    /// Becomes [`Rules::warm_up_time`].
    ramp_time: f64,
    /// Becomes [`Rules::overload_time`].
    tip_after: f64,
}

impl Default for RawRules {
    fn default() -> Self {
        RawRules {
            must_ask_in: 10_000.0,
            cold_from: 1.0,
            drain_grace: 0.0,
            overload_factor: 1.0,
            ramp_time: 0.0,
            tip_after: 1000.0,
        }
    }
}

/// The whole settings text.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawSettings {
    #[serde(default = "default_nodes")]
    n_instances: u32,
    /// This node's number.
    #[serde(default)]
    ordinal: u32,
    #[serde(default)]
    zone: u8,
    /// The names of the zones.
    #[serde(default)]
    localities: Vec<String>,
    /// The names of the machine types.
    #[serde(default)]
    host_types: Vec<String>,
    #[serde(deserialize_with = "named_list::<_, RawClass>")]
    classes: NamedList<Class>,
    /// The tenants.
    #[serde(default, deserialize_with = "named_list::<_, RawTenant>")]
    projects: NamedList<Tenant>,
    #[serde(default = "default_one")]
    over_share_worth: f64,
    #[serde(default)]
    counted_by: CountedBy,
    #[serde(default)]
    load_report: RawLoadReport,
    #[serde(default)]
    permissions: RawLimits,
    #[serde(default)]
    rules: RawRules,
    #[serde(default)]
    prices: RawPrices,
    #[serde(default)]
    goal: RawGoal,
    #[serde(default)]
    registry_mode: RegistryMode,
    /// Becomes [`Settings::timer_resolution`].
    #[serde(default = "default_one")]
    quantum: f64,
}

fn default_one() -> f64 {
    1.0
}

fn default_nodes() -> u32 {
    1
}

/// Parses the settings text.
///
/// # Errors
/// If it is not the JSON expected, or has no class.
pub fn parse(text: &[u8]) -> Result<SiteSettings, SettingsError> {
    let raw: RawSettings = serde_json::from_slice(text)?;
    if raw.classes.entries.is_empty() {
        return Err(SettingsError::NoClasses);
    }
    let settings = Settings {
        nodes: raw.n_instances.max(1),
        node: raw.ordinal,
        zone: raw.zone,
        classes: raw.classes.entries,
        tenants: raw.projects.entries,
        over_share_value: raw.over_share_worth,
        value_by_work: matches!(raw.counted_by, CountedBy::Work),
        report_source: match raw.load_report.via {
            Via::Piggyback => ReportSource::Answers,
            Via::Pull => ReportSource::Probes,
            Via::Silent => ReportSource::None,
        },
        limits: limits(&raw.permissions),
        rules: rules(&raw.rules),
        prices: Prices {
            probe: raw.prices.probe,
            cross_zone: raw.prices.cross_zone,
            waste: raw.prices.waste,
            late_failure: raw.prices.late_fail,
            connections: raw.prices.connection + raw.prices.handshake,
        },
        goal: Goal {
            overall: raw.goal.whole,
            worst_window: raw.goal.worst_window,
            worst_class: raw.goal.worst_class,
            worst_tenant: raw.goal.worst_tenant,
        },
        list_on_request: matches!(raw.registry_mode, RegistryMode::Ask),
        timer_resolution: millis(raw.quantum),
        zones: None,
    };
    Ok(SiteSettings {
        settings,
        columns: raw.load_report.columns,
        class_names: raw.classes.names,
        tenant_names: raw.projects.names,
        zone_names: raw.localities,
        kind_names: raw.host_types,
        server_idle_timeout: millis(raw.permissions.idle_close),
        peer_messages: raw.permissions.peers,
    })
}

impl From<Group> for DedupScope {
    fn from(group: Group) -> Self {
        match group {
            Group::All => DedupScope::All,
            Group::Zone => DedupScope::Zone,
            Group::Cell => DedupScope::Cell,
        }
    }
}

fn class(raw: &RawClass) -> Result<Class, MissingClassKey> {
    let missing = |key| MissingClassKey { class: raw.name.clone().into_owned(), key };
    let retry_safety = match raw.idempotency {
        Idempotency::Free => RetrySafety::Idempotent,
        Idempotency::Guarded => RetrySafety::Keyed {
            scope: raw.group.ok_or_else(|| missing("Group"))?.into(),
            window: millis(raw.window.ok_or_else(|| missing("Window"))?),
        },
        Idempotency::SingleShot => RetrySafety::NonIdempotent,
    };
    Ok(Class {
        latency_target: millis(raw.target),
        target_stretch: raw.aim_stretch,
        deadline: millis(raw.give_up),
        value: raw.credit,
        late_value: raw.late_worth,
        retry_safety,
        streamed: raw.stream,
    })
}

fn limits(raw: &RawLimits) -> Limits {
    Limits {
        max_attempts: raw.attempts_cap,
        cancel: raw.cancel,
        probes: raw.probes,
        hedging: raw.parallel_tries,
        max_retry_after: raw.retry_after.then(|| millis(raw.max_retry_after)),
        connect_timeout: millis(raw.connect_timeout),
    }
}

fn rules(raw: &RawRules) -> Rules {
    Rules {
        drain_grace: millis(raw.drain_grace),
        cold_capacity: raw.cold_from,
        warm_up_time: millis(raw.ramp_time),
        overload_factor: raw.overload_factor,
        overload_time: millis(raw.tip_after),
        list_refresh_interval: millis(raw.must_ask_in),
    }
}
