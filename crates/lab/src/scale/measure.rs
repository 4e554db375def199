//! What each structure of a node takes: built one after the other, by itself, in a process whose allocator counts.

use super::configuration::{Own, Settings};
use super::hollow::node::Message;
use super::messages::Shape;
use super::usage;
use hillpick::control::clock::Clock;
use hillpick::control::config::{Config, LiveSettings};
use hillpick::control::discovery::DiscoveryClient;
use hillpick::control::server_table::ServerTable;
use hillpick::control::updates::ListUpdate;
use hillpick::{Balancer, Event};
use hillpick_fleet::{Address, Identity, Membership, Name, Output};
use std::cell::Cell;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

/// The list has to be there within this.
const PATIENCE: Duration = Duration::from_secs(60);
/// Until what a list left behind on its way has been dropped.
const QUIET: Duration = Duration::from_millis(300);

/// A hello, and what follows it until both know each other, goes to and fro so often.
const ROUNDS: usize = 4;

/// How many bytes are allocated now.
pub type Allocated = fn() -> u64;

/// Names of structures and their bytes.
///
/// # Errors
/// If the settings are no good, or no list comes.
pub async fn measure(
    shape: Shape,
    agent: SocketAddr,
    members: u32,
    allocated: Allocated,
) -> io::Result<Vec<(String, f64)>> {
    let mut found = Vec::new();
    let mut note = |what: &str, before: u64| {
        found.push((what.to_string(), allocated().saturating_sub(before) as f64));
    };
    let resident = || usage::resident(std::process::id()).unwrap_or_default();
    let resident_before = resident();
    let settings = Settings::new(shape, 0);
    let own = Own { number: 0, zone: 0, region: 0, discovery: agent, peers: &[agent], seed: 1 };
    let text = settings.text(&own);
    drop(settings);

    let before = allocated();
    let config = Config::parse(&text).map_err(io::Error::other)?;
    note("state of the configuration", before);
    drop(text);

    let before = allocated();
    let mut balancer = Balancer::new(config.site.settings.clone(), 1);
    note("state of routes and tenants", before);

    let clock = Clock::start();
    let before = allocated();
    let (messages, mut inbox) = mpsc::channel(64);
    let (_orders, discovery_orders) = mpsc::channel(16);
    let (_moved, address) = watch::channel(agent);
    let discovery = DiscoveryClient::new(&config, LiveSettings::new(config.site.clone()), address, messages);
    let ready = discovery.ready();
    let client = spawn_local(discovery.run(discovery_orders));
    let updates = whole_list(&mut inbox, &ready).await?;
    let entries = updates.iter().map(|it| std::mem::size_of_val(it.backends.as_slice()) as u64);
    let taken = entries.sum::<u64>() + std::mem::size_of_val(updates.as_slice()) as u64;
    note("state of the discovery client", before + taken);

    let before = allocated();
    let mut actions = Vec::new();
    let mut roster = config.subset.map(|servers| ServerTable::new(servers, balancer.ring_layout()));
    for update in &updates {
        let mut update = ListUpdate { kind: update.kind, backends: update.backends.clone() };
        if let Some(roster) = &mut roster {
            let told = roster.apply(update, balancer.ring_layout());
            balancer.handle(clock.now(), Event::SubsetRings(told.rings), &mut actions);
            update = told.update;
        }
        let entries = update.backends.into_iter().map(|backend| backend.entry).collect();
        balancer.handle(clock.now(), Event::List { kind: update.kind, entries }, &mut actions);
        actions.clear();
    }
    drop(actions);
    note("state of the server table", before);
    drop(updates);

    let before = allocated();
    let core = membership(shape, members);
    // A figure of a membership that is short of members would be none.
    if core.members(Duration::ZERO).len() as u32 + 1 == members {
        note("state of the membership", before);
    }
    found.push((
        "resident memory of the structures".into(),
        resident().saturating_sub(resident_before) as f64,
    ));
    drop((core, balancer, roster, config));
    client.abort();
    Ok(found)
}

/// All that comes until the list is there, without what the client says beside the entries.
async fn whole_list(
    inbox: &mut mpsc::Receiver<Message>,
    ready: &Rc<Cell<bool>>,
) -> io::Result<Vec<ListUpdate>> {
    let mut updates = Vec::new();
    let end = Instant::now() + PATIENCE;
    while !ready.get() || !inbox.is_empty() {
        if Instant::now() > end {
            return Err(io::Error::other("no list came"));
        }
        if let Ok(Some(Message::List(mut update))) = timeout(QUIET, inbox.recv()).await {
            update.backends.shrink_to_fit();
            updates.push(update);
        }
    }
    updates.shrink_to_fit();
    sleep(QUIET).await;
    Ok(updates)
}

fn identity(number: u32) -> Identity {
    let port = 1_024 + (number % 60_000) as u16;
    let address = Address::Socket(SocketAddrV4::new(Ipv4Addr::new(127, 1, (number / 60_000) as u8, 1), port));
    let name = Name::try_from(format!("n{number}")).expect("a name of a few letters");
    Identity { name, started_ms: 1 + u64::from(number), renewed: 0, address, zone: 0, program_version: 0 }
}

/// A member to which each other one has made itself known.
fn membership(shape: Shape, members: u32) -> Membership {
    let core = |number: u32, seeds| {
        let settings = hillpick_fleet::Settings::with_defaults("scale", shape.nodes as usize);
        Membership::new(identity(number), settings, seeds, number.into(), Duration::ZERO)
    };
    let mut first = core(0, Vec::new());
    let home = first.local_identity().address;
    let mut now = Duration::ZERO;
    for number in 1..members {
        let mut other = core(number, vec![home]);
        let mut to_first = Vec::new();
        other.tick(Duration::from_secs(1), &mut to_first);
        now += Duration::from_micros(10);
        for _ in 0..ROUNDS {
            let (mut to_other, mut answers) = (Vec::new(), Vec::new());
            for data in sent_to(home, to_first) {
                first.receive(now, &data, &mut to_other);
            }
            for data in sent_to(other.local_identity().address, to_other) {
                other.receive(Duration::from_secs(1), &data, &mut answers);
            }
            to_first = answers;
        }
    }
    first
}

fn sent_to(address: Address, outputs: Vec<Output>) -> impl Iterator<Item = Vec<u8>> {
    outputs.into_iter().filter_map(move |output| match output {
        Output::Send { to, data } if to == address => Some(data),
        _ => None,
    })
}

#[cfg(test)]
mod tests;
