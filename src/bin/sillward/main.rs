//! A node: clients on one side, backends and discovery on the other, the decision module between them.
//! This file reads the configuration, starts the node's tasks and handles signals.
#![forbid(unsafe_code)]

mod arrival;
mod backend;
mod backend_stream;
mod body;
mod client;
mod client_stream;
mod executed_requests;
mod frontend;
mod handover;
mod head_memory;
mod head_refusal;
mod lifecycle;
mod liveness;
mod memory;
mod messages;
mod node;
mod ops;
mod read_chunk;
mod request_body;
mod request_head;
mod upload;
mod write_backlog;

use handover::{HotRestart, Sockets};
use hillpick::control::clock::Clock;
use hillpick::control::config::{Config, ConfigFileError, LiveSettings};
use hillpick::control::discovery::DiscoveryClient;
use hillpick::control::log::log;
use hillpick::control::peers::{MembershipDriver, membership_view::MembershipView};
use hillpick::settings::SettingsUpdate;
use lifecycle::{Lifecycle, ProcessState};
use memory::MemoryBudget;
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

/// Room in the node's message queue beside the slots that requests reserve.
const MESSAGE_QUEUE: usize = 4096;

/// Slots that a request in progress reserves at most: for itself, its body's last byte, and the disconnect of its
/// client. Requests must not wait for slots, as that would have no end.
const QUEUE_SLOTS_PER_REQUEST: usize = 3;

/// Listen backlog, the most that kernels allow by default: in a connection flood the other clients must fit
/// in as well.
const LISTEN_BACKLOG: u32 = 4096;

/// A configuration up to this length is reloaded on the thread that serves requests, a longer one on a thread
/// of its own. The permitted delay of requests is 3.4 ms; `benches/settings.rs` shows by how much a reload
/// delays them.
const INLINE_CONFIG_MAX_BYTES: u64 = 64 * 1024;

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start: {e}"));
    let outcome = runtime.and_then(|runtime| {
        let outcome = LocalSet::new().block_on(&runtime, run());
        runtime.shutdown_background(); // don't wait for a configuration that is being read
        outcome
    });
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            log(message);
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), String> {
    // Before anything else: a signal that arrived while the configuration is read would kill the process.
    let signal_error = |e: io::Error| format!("cannot listen for signals: {e}");
    let mut terminate = signal(SignalKind::terminate()).map_err(signal_error)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(signal_error)?;
    let hangup = signal(SignalKind::hangup()).map_err(signal_error)?;
    let config = Config::from_env().map_err(|e| e.to_string())?;
    // Bound before the sockets are taken over: a call that arrives meanwhile waits in this socket's queue.
    let ops = match config.ops {
        Some(address) => Some(
            TcpListener::bind(address)
                .await
                .map_err(|e| format!("cannot listen on the operations address {address}: {e}"))?,
        ),
        None => None,
    };
    // Hot restart needs an operations address; without one a second process for one address is a mistake.
    let (hot_restart, socket_path) =
        (Rc::<HotRestart>::default(), config.ops.and_then(|_| handover::socket_path()));
    let lifecycle = Rc::new(Lifecycle::new());
    let received = match &socket_path {
        Some(socket_path) => handover::take_over(socket_path, config.listen, &hot_restart, &lifecycle).await,
        None => None,
    };
    let (listener, handover_listener) = match received {
        Some(Sockets { listener, handover_listener }) => (Ok(listener), handover_listener),
        None => (listen(config.listen, config.ops.is_some()), None),
    };
    let listener = listener.map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
    if let Some(socket_path) = socket_path {
        let socket = listener.as_fd().try_clone_to_owned();
        let socket = socket.map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
        let offer = handover::offer_sockets(
            socket_path,
            socket,
            handover_listener,
            hot_restart.clone(),
            lifecycle.clone(),
        );
        tokio::task::spawn_local(offer);
    }

    let clock = Clock::start();
    let queue_length = MESSAGE_QUEUE + QUEUE_SLOTS_PER_REQUEST * config.max_client_connections;
    let (messages, message_queue) = mpsc::channel(queue_length);
    let (commands, discovery_commands) = mpsc::channel(16);
    let live_settings = LiveSettings::new(config.site.clone());
    let memory = MemoryBudget::new(config.buffer_bytes);
    let pool = backend::ConnectionPool::start(
        clock,
        &config,
        live_settings.clone(),
        hot_restart.clone(),
        memory.clone(),
    );
    let (discovery_address, address) = watch::channel(config.discovery);
    let discovery = DiscoveryClient::new(&config, live_settings.clone(), address, messages.clone());
    let ready = discovery.ready();
    let node = node::Node::new(
        clock,
        &config,
        pool,
        messages.clone(),
        commands,
        hot_restart.executed_requests.clone(),
    );
    let view = MembershipView::default();
    let evacuation = config.zones.as_ref().map(|zones| Duration::from_secs_f64(zones.evacuation_s));
    let state = lifecycle.watch_state();
    let peers = MembershipDriver::new(&config, view.clone(), messages.clone(), state, hot_restart.clone());
    if let Some(peers) = peers.map_err(|e| e.to_string())? {
        let socket = peers.bind().await.map_err(|e| e.to_string())?;
        tokio::task::spawn_local(peers.run(socket));
    }
    let frontend = frontend::Frontend::new(
        clock,
        &config,
        live_settings.clone(),
        messages.clone(),
        memory,
        frontend::NodeState { ready: ready.clone(), lifecycle: lifecycle.clone(), hot_restart },
    );
    let mut node = tokio::task::spawn_local(node.run(message_queue));
    let mut discovery = tokio::task::spawn_local(discovery.run(discovery_commands));
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
        log("told to stop: unready, finishing the requests in progress");
        lifecycle.enter(ProcessState::Terminating);
        // Further signals change nothing.
        loop {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        }
    });
    tokio::task::spawn_local(reload(
        hangup,
        config.without_known_list(),
        live_settings,
        discovery_address,
        messages,
    ));
    tokio::select! {
        () = frontend.run(listener) => Ok(()),
        outcome = &mut node => Err(format!("the node ended: {outcome:?}")),
        outcome = &mut discovery => Err(format!("discovery ended: {outcome:?}")),
    }
}

/// Listens on an address. A `shared` one may be bound beside another process that could not pass its socket
/// on.
fn listen(address: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    if shared {
        socket.set_reuseport(true)?;
    }
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Reloads the configuration at each SIGHUP. Only the address of discovery and the settings may change while
/// a node runs: both are applied, or neither. A signal that arrives during a reload causes another one.
async fn reload(
    mut hangup: Signal,
    running: Config,
    live_settings: LiveSettings,
    discovery_address: watch::Sender<SocketAddr>,
    messages: mpsc::Sender<Message>,
) {
    let mut running = Arc::new(running);
    while hangup.recv().await.is_some() {
        let (config, replacement) = match read_configuration(running.clone()).await {
            Ok(read) => read,
            Err(message) => {
                log(format_args!("told to look again, but all stays as it was: {message}"));
                continue;
            }
        };
        // The queue slot is reserved first: no await may come between the swap and its message, or a request
        // could be validated by the old settings and decided by the new ones.
        let Ok(permit) = messages.reserve().await else { return };
        log(format_args!(
            "told to look again: discovery is at {}, classes are {}",
            config.discovery,
            config.site.class_names.summary()
        ));
        discovery_address
            .send_if_modified(|address| std::mem::replace(address, config.discovery) != *address);
        live_settings.set(config.site.clone());
        permit.send(Message::Settings(Box::new(replacement)));
        running = Arc::new(config);
    }
}

/// Reads the configuration that replaces `running`, a large one off the thread that serves requests.
async fn read_configuration(running: Arc<Config>) -> Result<(Config, SettingsUpdate), ConfigFileError> {
    if Config::file_length().is_some_and(|length| length <= INLINE_CONFIG_MAX_BYTES) {
        return running.reload();
    }
    let read = tokio::task::spawn_blocking(move || running.reload());
    read.await.unwrap_or_else(|broken| Err(ConfigFileError::ReadAborted(broken.to_string())))
}
