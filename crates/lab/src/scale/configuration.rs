//! The configuration of a node of a scale run, as its file has it, by the size of its settings.

use super::messages::Shape;
use serde_json::json;
use std::fmt::Write;
use std::net::SocketAddr;

/// The rule on drains, as the settings tell it, in ms.
pub const DRAIN_GRACE_MS: f64 = 2000.0;
/// What a request of the mean work takes, in ms.
pub const WORK_MS: f64 = 20.0;
/// The longest that a client waits, in ms.
pub const GIVE_UP_MS: f64 = 1000.0;
/// Routes that carry made-up and real requests: the first ones.
pub const ROUTES_USED: u32 = 8;

/// What differs from node to node.
pub struct Own<'a> {
    /// The node's number in the tier.
    pub number: u32,
    /// Its zone.
    pub zone: u32,
    /// Its region.
    pub region: u32,
    /// Its agent.
    pub discovery: SocketAddr,
    /// Addresses of members to begin with.
    pub peers: &'a [SocketAddr],
    /// For its random numbers.
    pub seed: u64,
}

/// The settings of a size, written once for all its nodes.
pub struct Settings {
    shape: Shape,
    /// All that is the same for all nodes: classes, tenants and the rest, without the braces.
    shared: String,
}

impl Settings {
    /// Of this size. A version other than 0 changes the aim of the first route.
    #[must_use]
    pub fn new(shape: Shape, version: u32) -> Self {
        let mut shared = String::from("\"Classes\":[");
        for route in 0..shape.routes {
            let aim = 200.0 + if route == 0 { f64::from(version) } else { 0.0 };
            let class = json!({"Name": format!("route-{route}"), "Target": aim, "GiveUp": GIVE_UP_MS,
                "Credit": 1.0, "Idempotency": "free", "Group": "all", "Window": 0.0, "LateWorth": 0.0,
                "Stream": false});
            let _ = write!(shared, "{}{class}", if route == 0 { "" } else { "," }); // strings take all
        }
        shared.push_str("],\"Projects\":[");
        for tenant in 0..shape.tenants {
            let share = 1.0 / f64::from(shape.tenants);
            let project = json!({"Name": format!("tenant-{tenant}"), "AllowancePerS": 10.0, "Share": share});
            let _ = write!(shared, "{}{project}", if tenant == 0 { "" } else { "," });
        }
        let zones: Vec<_> = (0..shape.zones).map(|zone| format!("z{zone}")).collect();
        let rest = json!({
            "Localities": zones, "HostTypes": ["std"], "CountedBy": "request",
            "LoadReport": {"Via": "pull", "Columns": ["concurrent", "depth"]},
            "Permissions": {"AttemptsCap": 3, "Cancel": true, "ConnectTimeout": 250.0, "IdleClose": 15000.0,
                "MaxRetryAfter": 2000.0, "ParallelTries": true, "Peers": true, "Probes": true, "RetryAfter": true},
            "Prices": {"Probe": 0.002, "CrossZone": 0.005, "Waste": 0.05, "LateFail": 0.05},
            "Goal": {"Whole": 0.55, "WorstClass": 0.3, "WorstTenant": 0.0, "WorstWindow": 0.15},
            "Rules": {"ColdFrom": 0.12, "DrainGrace": DRAIN_GRACE_MS, "OverloadFactor": 3.0, "RampTime": 23000.0,
                "TipAfter": 3000.0, "MustAskIn": 10000.0},
            "Quantum": 1.0, "RegistryMode": "push"
        })
        .to_string();
        shared.push_str("],");
        shared.push_str(&rest[1..rest.len() - 1]);
        Settings { shape, shared }
    }

    /// The whole configuration of a node.
    #[must_use]
    pub fn text(&self, own: &Own) -> String {
        let Shape { nodes, probe_ms, subset, .. } = self.shape;
        let host = address_of_region(own.region);
        let subset = subset.map(|servers| json!({"servers": servers}));
        let file = json!({"subset": subset,
            "name": format!("n{}", own.number), "listen": "127.0.0.1:0", "ops": "127.0.0.1:0",
            "discovery": own.discovery, "seed": format!("{:016x}", own.seed),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peer_listen": format!("{host}:0"), "peers": own.peers,
            "fleet": {"cluster": "scale", "probe_ms": probe_ms, "advertise": format!("{host}:0")}
        })
        .to_string();
        let (number, zone, shared) = (own.number, own.zone, &self.shared);
        let head = &file[..file.len() - 1];
        format!(
            "{head},\"settings\":{{\"NInstances\":{nodes},\"Ordinal\":{number},\"Zone\":{zone},{shared}}}}}"
        )
    }
}

/// Nodes of a region hear each other on an address of its own, so that a datagram's sender tells its region.
#[must_use]
pub fn address_of_region(region: u32) -> std::net::Ipv4Addr {
    std::net::Ipv4Addr::new(127, 0, (region % 250) as u8 + 1, 1)
}

#[cfg(test)]
mod tests;
