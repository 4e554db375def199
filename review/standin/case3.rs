//! Case 3: three of seventeen roster servers fall silent for a little under 6 s while some clients send long
//! bodies. Every request whose last byte the node's machine has acknowledged has to get an answer half a
//! second after its time at the latest.

use crate::net::*;
use crate::settings;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 17;
/// Those that fall silent: under a fifth.
const SILENT: [usize; 3] = [3, 7, 14];
const SILENCE: Duration = Duration::from_millis(5900);
/// What a client gives one try: half of the class's give-up time.
const TRY_MS: u64 = 600;
/// Up to half a second after its time an answer only earns nothing; each limit grows by 50 ms. A little more
/// is allowed here for the test's own threads.
const SLACK_MS: u64 = 500 + 50 + 50;

#[derive(PartialEq)]
enum Fate {
    /// Answered in time, with this status.
    Answered(u16),
    /// Its connection ended without an answer. This is not counted.
    Closed,
    /// Nothing came.
    Nothing,
    /// Its last byte was not acknowledged in time: it does not count.
    NotTaken,
}

pub fn run(trouble: bool) -> bool {
    let events = Arc::new(Mutex::new(Vec::<Event>::new()));
    let discovery = Discovery::start();
    let zones = ["hall-a", "hall-b", "hall-c"];
    let options: Vec<String> = ["110", "150", "8"].map(str::to_owned).into();
    let servers: Vec<_> = (0..SERVERS)
        .map(|i| start_server(i, zones[i % 3], 1 + (i % 3) as u16, &options, &events))
        .collect();
    servers.iter().for_each(|server| discovery.tell(server, "in_service", 0));
    let settings = settings(3, 470, 1200);
    let node_options = NodeOptions { settings: &settings, memory_mb: 192, sockets: 1024 };
    let nodes: Vec<_> = (0..3).map(|i| start_node(i, &discovery, &node_options)).collect();
    wait_ready(&nodes);

    let stop = Arc::new(AtomicBool::new(false));
    let fates = Arc::new(Mutex::new(BTreeMap::<String, (usize, Fate)>::new()));
    let mut clients: Vec<_> = (0..30)
        .map(|i| {
            let (port, stop) = (nodes[i % 3].port, stop.clone());
            thread::spawn(move || views(i as u64, port, &stop))
        })
        .collect();
    clients.extend((0..24).map(|i| {
        let (port, stop, fates) = (nodes[i % 3].port, stop.clone(), fates.clone());
        thread::spawn(move || long_claims(i as u64, port, &stop, &fates))
    }));
    thread::sleep(Duration::from_secs(3));
    for server in SILENT {
        say(format!("{}{}", servers[server].name, if trouble { " falls silent" } else { "" }));
        if trouble {
            signal(servers[server].pid, SIGSTOP);
        }
    }
    thread::sleep(SILENCE);
    SILENT.iter().for_each(|server| signal(servers[*server].pid, SIGCONT));
    say("all servers go on");
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    record_logs(&nodes);

    let fates = fates.lock().unwrap();
    let count = |fate: &dyn Fn(&Fate) -> bool| fates.values().filter(|(_, f)| fate(f)).count();
    let lost = count(&|fate| matches!(fate, Fate::Nothing));
    for (id, (length, fate)) in fates.iter() {
        if matches!(fate, Fate::Nothing) {
            say(format!("no answer: {id}, {length} bytes, all acknowledged by the node's machine"));
        }
    }
    say(format!(
        "{} long claims: {} answered 200, {} answered otherwise, {} not taken whole, {} closed, {lost} never answered",
        fates.len(),
        count(&|fate| matches!(fate, Fate::Answered(200))),
        count(&|fate| matches!(fate, Fate::Answered(status) if *status != 200)),
        count(&|fate| matches!(fate, Fate::NotTaken)),
        count(&|fate| matches!(fate, Fate::Closed)),
    ));
    lost > 0
}

/// Ordinary traffic.
fn views(number: u64, port: u16, stop: &AtomicBool) {
    let mut random = Random::new(number);
    let mut connection = None;
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_secs_f64(-random.unit().max(1e-9).ln() * 0.4));
        let id = new_id();
        let Some(mut client) = connection.take().or_else(|| Client::open(port).ok()) else { continue };
        let sent = client.write(&view(&id, TRY_MS, 130));
        let answer = sent.and_then(|()| client.answer(Duration::from_millis(TRY_MS + SLACK_MS)));
        record(format!("client got {:?} for view {id}", answer.as_ref().ok().map(|answer| answer.status)));
        connection = answer.is_ok_and(|answer| !answer.close).then_some(client);
    }
}

/// Long claims, about one a second.
fn long_claims(
    number: u64,
    port: u16,
    stop: &AtomicBool,
    fates: &Mutex<BTreeMap<String, (usize, Fate)>>,
) {
    let mut random = Random::new(1000 + number);
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_secs_f64(-random.unit().max(1e-9).ln() * 1.0));
        long_claim(random.next() as usize, port, fates);
    }
}

/// A claim of 4.2 to 4.8 million bytes.
fn long_claim(number: usize, port: u16, fates: &Mutex<BTreeMap<String, (usize, Fate)>>) {
    let (id, key) = (new_id(), format!("{}{}", new_id(), new_id()));
    let length = 4_200_000 + number % 7 * 100_000;
    let text = claim(&id, &key, TRY_MS, 130, length);
    let Ok(mut client) = Client::open(port) else { return };
    let _ = client.stream.set_write_timeout(Some(Duration::from_secs(2)));
    let mut fate = Fate::NotTaken;
    if client.write(&text).is_ok() {
        // The last byte counts as taken only once the node's machine has acknowledged it.
        let end = Instant::now() + Duration::from_secs(2);
        while unacknowledged(&client.stream) > 0 && Instant::now() < end {
            thread::sleep(Duration::from_millis(1));
        }
        if unacknowledged(&client.stream) == 0 {
            record(format!("all bytes of {id} are acknowledged"));
            fate = match client.answer(Duration::from_millis(TRY_MS + SLACK_MS)) {
                Ok(answer) => Fate::Answered(answer.status),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Fate::Nothing,
                Err(_) => Fate::Closed,
            };
        }
    }
    record(match &fate {
        Fate::Answered(status) => format!("client got {status} for {id}"),
        Fate::Closed => format!("the connection of {id} ended without an answer"),
        Fate::Nothing => format!("client got nothing for {id} in {} ms", TRY_MS + SLACK_MS),
        Fate::NotTaken => format!("{id} was not taken whole"),
    });
    fates.lock().unwrap().insert(id, (length, fate));
}
