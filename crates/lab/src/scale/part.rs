//! A part of a scale run: a process that is told over its standard input what it is and what to do, and ends with whoever
//! started it. One thread runs all that it holds.

use super::agent;
use super::hollow::Nodes;
use super::list::Line;
use super::measure::{self, Allocated};
use super::messages::{AgentPlace, Begin, Hollow, Order, Servers, Told, Traffic};
use super::plan::State;
use super::watch_server::Source;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, BufReader, Lines, Stdin};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};

/// Servers of a zone that drop repeats together.
const CELL: u32 = 40;

type Orders = Lines<BufReader<Stdin>>;

/// Runs a part to its end.
///
/// # Errors
/// What kept it from going on; the run is told as well.
pub fn run(allocated: Allocated) -> io::Result<()> {
    let parent = rustix::process::getppid();
    rustix::process::set_parent_process_death_signal(Some(rustix::process::Signal::KILL))?;
    if rustix::process::getppid() != parent {
        return Err(io::Error::other("its parent has gone"));
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let ended = LocalSet::new().block_on(&runtime, play(allocated));
    if let Err(what) = &ended {
        let _ = say(&Told::Failed(what.to_string())); // the run may have gone
    }
    // Reading standard input keeps a thread that can't be waited for.
    runtime.shutdown_background();
    ended
}

fn say(told: &Told) -> io::Result<()> {
    let mut out = io::stdout().lock();
    serde_json::to_writer(&mut out, told)?;
    out.write_all(b"\n")?;
    out.flush()
}

async fn next<T: serde::de::DeserializeOwned>(orders: &mut Orders) -> io::Result<Option<T>> {
    let Some(line) = orders.next_line().await? else { return Ok(None) };
    Ok(Some(serde_json::from_str(&line)?))
}

async fn play(allocated: Allocated) -> io::Result<()> {
    let mut orders = BufReader::new(tokio::io::stdin()).lines();
    match next(&mut orders).await? {
        None => Ok(()),
        Some(Begin::ListServer(servers)) => list_server(&servers, orders).await,
        Some(Begin::Agents { agents }) => all_agents(&agents, orders).await,
        Some(Begin::Hollow(hollow)) => hollow_nodes(hollow, orders).await,
        Some(Begin::Measure { settings, agent, members }) => {
            say(&Told::State(measure::measure(settings, agent, members, allocated).await?))
        }
    }
}

/// Server `number` as the list has it.
fn line<'a>(servers: &Servers, number: u32, name: &'a str, state: State, since_ms: u64) -> Line<'a> {
    let zone = number % servers.zones;
    Line {
        name,
        address: servers.addresses[number as usize % servers.addresses.len()],
        zone: format!("z{zone}"),
        r#type: "std",
        group: ((number / servers.zones / CELL) * servers.zones + zone) as u16,
        status: state,
        weight: 1.0,
        since_ms,
    }
}

/// A server's name, as long as the platform's.
fn name(number: u32) -> String {
    format!("s-{number:08x}")
}

async fn list_server(servers: &Servers, mut orders: Orders) -> io::Result<()> {
    let source = Source::new();
    let names: Vec<_> = (0..servers.count).map(name).collect();
    let all = names.iter().zip(0..).map(|(name, number)| line(servers, number, name, State::InService, 0));
    source.change(|list| list.change(all));
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    say(&Told::Listens(vec![listener.local_addr()?]))?;
    spawn_local(source.clone().answer(listener));
    while let Some(order) = next(&mut orders).await? {
        match order {
            Order::Servers { servers: which, state, since_ms } => {
                let lines = which.iter().map(|at| line(servers, *at, &names[*at as usize], state, since_ms));
                source.change(|list| list.change(lines));
            }
            Order::Report => say(&Told::Lists { sent: source.sent.get(), index: source.index() })?,
            _ => {}
        }
    }
    Ok(())
}

async fn all_agents(places: &[AgentPlace], mut orders: Orders) -> io::Result<()> {
    let mut agents: Vec<(u32, Rc<Source>, watch::Sender<bool>)> = Vec::new();
    let mut addresses: Vec<SocketAddr> = Vec::new();
    for place in places {
        let (source, (cut, is_cut)) = (Source::new(), watch::channel(false));
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        addresses.push(listener.local_addr()?);
        spawn_local(source.clone().answer(listener));
        spawn_local(agent::follow(source.clone(), place.upstream, is_cut));
        agents.push((place.region, source, cut));
    }
    say(&Told::Listens(addresses))?;
    while let Some(order) = next(&mut orders).await? {
        match order {
            Order::Cut { region, off } => {
                let those = agents.iter().filter(|(of, ..)| *of == region);
                those.for_each(|(.., cut)| _ = cut.send_replace(off));
            }
            Order::Report => {
                let mut sent = Traffic::default();
                agents.iter().for_each(|(_, source, _)| sent.add(&source.sent.get()));
                let index = agents.iter().map(|(_, source, _)| source.index()).min().unwrap_or_default();
                say(&Told::Lists { sent, index })?;
            }
            _ => {}
        }
    }
    Ok(())
}

async fn hollow_nodes(hollow: Hollow, mut orders: Orders) -> io::Result<()> {
    let mut nodes = Nodes::new(hollow).await?;
    say(&Told::Listens(nodes.addresses()?))?;
    while let Some(order) = next(&mut orders).await? {
        match order {
            Order::Go { seeds } => nodes.go(seeds).await?,
            Order::Restart { nodes: which } => nodes.restart(&which).await?,
            Order::Kill { nodes: which } => nodes.kill(&which),
            Order::Start { nodes: which } => nodes.start(&which).await?,
            Order::Cut { region, off } => nodes.cut(region, off),
            Order::Settings { version, bad, since_ms } => nodes.change_settings(version, bad, since_ms).await,
            Order::Report => say(&Told::Nodes(nodes.report()))?,
            Order::Servers { .. } => {}
        }
    }
    Ok(())
}
