//! One real node: clients on one side, backends and discovery on the other, the decision module between.
//! This file reads the configuration, starts the parts and sees to signals.
#![forbid(unsafe_code)]

mod backend;
mod backend_stream;
mod body;
mod client;
mod client_stream;
mod frontend;
mod handover;
mod lifecycle;
mod liveness;
mod messages;
mod node;
mod ops;

use handover::{HotRestart, Sockets};
use hillpick::control::clock::Clock;
use hillpick::control::config::{Config, ConfigFileError, LiveSettings};
use hillpick::control::discovery::DiscoveryClient;
use hillpick::control::log::log;
use hillpick::control::peers::{MembershipDriver, membership_view::MembershipView};
use hillpick::settings::SettingsUpdate;
use lifecycle::{Lifecycle, ProcessState};
use messages::Message;
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;

/// Messages to the node that may wait. Each client connection keeps one place for its leaving.
const MESSAGES: usize = 4096;

/// Connections that may wait to be accepted: a crowd, and the clients in it. Kernels allow no more by default.
const QUEUE: u32 = 4096;

/// A configuration of so many bytes is read at SIGHUP where requests are served; a longer one on a thread of its own.
/// Chosen, and not measured by itself: requests may be late by 3.4 ms, and `benches/settings.rs` shows by how much they are.
const READ_BETWEEN_REQUESTS: u64 = 64 * 1024;

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start: {e}"));
    let ended = runtime.and_then(|runtime| {
        let ended = LocalSet::new().block_on(&runtime, run());
        runtime.shutdown_background(); // nobody waits for a configuration that is being read
        ended
    });
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            log(what);
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), String> {
    // First of all: a signal that comes while the configuration is read would end the process.
    let broken = |e: io::Error| format!("cannot listen for signals: {e}");
    let mut terminate = signal(SignalKind::terminate()).map_err(broken)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(broken)?;
    let hangup = signal(SignalKind::hangup()).map_err(broken)?;
    let config = Config::from_env().map_err(|e| e.to_string())?;
    // A call that comes while the process before this one is asked for its sockets waits for its answer here.
    let ops = match config.ops {
        Some(address) => Some(
            TcpListener::bind(address)
                .await
                .map_err(|e| format!("cannot listen for the operators on {address}: {e}"))?,
        ),
        None => None,
    };
    // Only a node that is operated has upgrades; elsewhere a second process for one address is a mistake.
    let (pair, place) = (Rc::<HotRestart>::default(), config.ops.and_then(|_| handover::meeting_place()));
    let lifecycle = Rc::new(Lifecycle::new());
    let taken = match &place {
        Some(place) => handover::take_over(place, config.listen, &pair, &lifecycle).await,
        None => None,
    };
    let (listener, meeting) = match taken {
        Some(Sockets { listener, meeting }) => (Ok(listener), meeting),
        None => (listen(config.listen, config.ops.is_some()), None),
    };
    let listener = listener.map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
    if let Some(place) = place {
        let socket = listener.as_fd().try_clone_to_owned();
        let socket = socket.map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
        let offered = handover::offer(place, socket, meeting, pair.clone(), lifecycle.clone());
        tokio::task::spawn_local(offered);
    }

    let clock = Clock::start();
    let (messages, inbox) = mpsc::channel(MESSAGES);
    let (orders, discovery_orders) = mpsc::channel(16);
    let current = LiveSettings::new(config.site.clone());
    let pool = backend::ConnectionPool::start(clock, &config, current.clone(), pair.clone());
    let (moved, address) = watch::channel(config.discovery);
    let discovery = DiscoveryClient::new(&config, current.clone(), address, messages.clone());
    let ready = discovery.ready();
    let node = node::Node::new(clock, &config, pool, messages.clone(), orders);
    let view = MembershipView::default();
    let evacuation = config.zones.as_ref().map(|zones| Duration::from_secs_f64(zones.evacuation_s));
    let state = lifecycle.watch_state();
    let peers = MembershipDriver::new(&config, view.clone(), messages.clone(), state, pair.clone());
    if let Some(peers) = peers.map_err(|e| e.to_string())? {
        let socket = peers.bind().await.map_err(|e| e.to_string())?;
        tokio::task::spawn_local(peers.run(socket));
    }
    let front = frontend::Frontend::new(
        clock,
        &config,
        current.clone(),
        messages.clone(),
        frontend::Node { ready: ready.clone(), lifecycle: lifecycle.clone(), pair },
    );
    let mut node = tokio::task::spawn_local(node.run(inbox));
    let mut discovery = tokio::task::spawn_local(discovery.run(discovery_orders));
    if let Some(listener) = ops {
        let address = listener.local_addr().map_err(|e| format!("cannot listen: {e}"))?;
        log(format_args!("{} takes the operators' calls on {address}", config.name));
        tokio::task::spawn_local(
            ops::Ops::new(lifecycle.clone(), ready, view, evacuation, messages.clone()).run(listener),
        );
    }
    let address = listener.local_addr().map_err(|e| format!("cannot listen: {e}"))?;
    log(format_args!("{} listens on {address}", config.name));

    tokio::task::spawn_local(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        log("told to stop: unready, finishing what is held");
        lifecycle.enter(ProcessState::Terminating);
        // Whoever tells it again has been heard already.
        loop {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        }
    });
    tokio::task::spawn_local(reload(hangup, config.without_known_list(), current, moved, messages));
    tokio::select! {
        () = front.run(listener) => Ok(()),
        ended = &mut node => Err(format!("the node ended: {ended:?}")),
        ended = &mut discovery => Err(format!("discovery ended: {ended:?}")),
    }
}

/// Listens on an address, beside a process that could not pass its own socket on if that is to be.
fn listen(address: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    if shared {
        socket.set_reuseport(true)?;
    }
    socket.bind(address)?;
    socket.listen(QUEUE)
}

/// On SIGHUP the configuration is read again. Where discovery is and the settings may change while a node runs, and
/// nothing else: both at once, or neither. A signal that comes meanwhile has it read once more.
async fn reload(
    mut hangup: Signal,
    running: Config,
    current: LiveSettings,
    moved: watch::Sender<SocketAddr>,
    messages: mpsc::Sender<Message>,
) {
    let mut running = Arc::new(running);
    while hangup.recv().await.is_some() {
        let (config, replacement) = match read_again(running.clone()).await {
            Ok(read) => read,
            Err(what) => {
                log(format_args!("told to look again, but all stays as it was: {what}"));
                continue;
            }
        };
        // The place in the queue comes first: nothing may happen between the swap and the news of it, or a
        // request could be read by one settings and decided on by others.
        let Ok(place) = messages.reserve().await else { return };
        log(format_args!(
            "told to look again: discovery is at {}, classes are {}",
            config.discovery,
            config.site.class_names.summary()
        ));
        moved.send_if_modified(|address| std::mem::replace(address, config.discovery) != *address);
        current.set(config.site.clone());
        place.send(Message::Settings(Box::new(replacement)));
        running = Arc::new(config);
    }
}

/// Reads the configuration that follows `running`, a large one beside the thread that serves.
async fn read_again(running: Arc<Config>) -> Result<(Config, SettingsUpdate), ConfigFileError> {
    if Config::file_length().is_some_and(|length| length <= READ_BETWEEN_REQUESTS) {
        return running.reload();
    }
    let read = tokio::task::spawn_blocking(move || running.reload());
    read.await.unwrap_or_else(|broken| Err(ConfigFileError::ReadAborted(broken.to_string())))
}
