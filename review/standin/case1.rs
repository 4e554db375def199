//! Case 1: one of nine roster servers dies while it works on a keyed request with a body a little over 64 KiB.
//! No such request may be refused (429 or 503), since it has been handed over whole and may have run.

use crate::net::*;
use crate::settings;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 9;
const KILLED: usize = 1;
/// What a client gives one try at most: half of the class's give-up time, which holds across all tries.
const TRY_MS: u64 = 600;
const GIVE_UP_MS: u64 = 1200;

/// A try of a client: its key, and what it was answered.
struct Try {
    key: String,
    long: bool,
    status: Option<u16>,
}

pub fn run(trouble: bool) -> bool {
    let events = Arc::new(Mutex::new(Vec::<Event>::new()));
    let discovery = Discovery::start();
    let zones = ["hall-a", "hall-b", "hall-c"];
    let options: Vec<String> = ["110", "160", "8"].map(str::to_owned).into();
    let servers: Vec<_> = (0..SERVERS)
        .map(|i| start_server(i, zones[i % 3], 1 + (i % 3) as u16, &options, &events))
        .collect();
    servers.iter().for_each(|server| discovery.tell(server, "in_service", 0));
    let settings = settings(3, 470, 1200);
    let node_options = NodeOptions { settings: &settings, memory_mb: 192, sockets: 1024 };
    let nodes: Vec<_> = (0..3).map(|i| start_node(i, &discovery, &node_options)).collect();
    wait_ready(&nodes);

    let tries = Arc::new(Mutex::new(BTreeMap::<String, Try>::new()));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..24)
        .map(|i| {
            let (port, tries, stop) = (nodes[i % 3].port, tries.clone(), stop.clone());
            thread::spawn(move || client(i as u64, port, &tries, &stop))
        })
        .collect();
    thread::sleep(Duration::from_secs(3));

    // A server dies as it works on a long keyed request.
    let (mut dead, end) = (Vec::<usize>::new(), Instant::now() + Duration::from_secs(20));
    while dead.len() < KILLED && Instant::now() < end {
        let busy = {
            let events = events.lock().unwrap();
            events.iter().rev().take_while(|(at, ..)| *at > ms() - 50.0).find_map(|(_, server, words)| {
                let long = words[0] == "RUN" && words[3].parse::<usize>().unwrap_or(0) > 64 * 1024;
                (long && !dead.contains(server)).then(|| (*server, words[1].clone()))
            })
        };
        if let Some((server, id)) = busy {
            say(format!("{} works on {id}{}", servers[server].name, if trouble { ": killed" } else { "" }));
            if trouble {
                signal(servers[server].pid, SIGKILL);
            }
            dead.push(server);
        }
        thread::sleep(Duration::from_millis(1));
    }
    if dead.len() < KILLED {
        say("no server worked on a long keyed request");
        finish(2);
    }
    // Discovery learns of it seconds later.
    thread::sleep(Duration::from_secs(2));
    if trouble {
        dead.iter().for_each(|server| discovery.tell(&servers[*server], "terminated", 0));
    }
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    thread::sleep(Duration::from_millis(300));
    record_logs(&nodes);
    let (tries, events) = (tries.lock().unwrap(), events.lock().unwrap());
    judge(&tries, &events, &servers)
}

/// One client: mostly views, some claims; it repeats a refused request at once, up to three times.
fn client(number: u64, port: u16, tries: &Mutex<BTreeMap<String, Try>>, stop: &AtomicBool) {
    let mut random = Random::new(number);
    let mut connection = None;
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_secs_f64(-random.unit().max(1e-9).ln() * 0.6));
        let (is_claim, key) = (random.unit() < 0.3, format!("{}{}", new_id(), new_id()));
        // Half of the claims are long: over 64 KiB.
        let long = is_claim && random.unit() < 0.5;
        let length = if long { random.between(66_000.0, 76_000.0) as usize } else { 212 };
        let began = Instant::now();
        for _ in 0..4 {
            // Clients try up to three times more, within the give-up time.
            let left = GIVE_UP_MS.saturating_sub(began.elapsed().as_millis() as u64);
            let budget = TRY_MS.min(left);
            if budget < 150 {
                break;
            }
            let id = new_id();
            let mut client = match connection.take() {
                Some(client) => client,
                None => match Client::open(port) {
                    Ok(client) => client,
                    Err(_) => break,
                },
            };
            let text = if is_claim { claim(&id, &key, budget, 135, length) } else { view(&id, budget, 135) };
            let sent = client.write(&text);
            let answer = sent.and_then(|()| client.answer(Duration::from_millis(budget + 550)));
            let status = answer.as_ref().ok().map(|answer| answer.status);
            record(format!("client got {status:?} for {id}"));
            if is_claim {
                tries.lock().unwrap().insert(id, Try { key: key.clone(), long, status });
            }
            if answer.is_ok_and(|answer| !answer.close) {
                connection = Some(client);
            }
            if !matches!(status, Some(429 | 503)) {
                break; // clients repeat a keyed request of one rack only after a refusal
            }
        }
    }
}

fn judge(tries: &BTreeMap<String, Try>, events: &[Event], servers: &[Server]) -> bool {
    let (mut ran, mut racks) = (BTreeMap::new(), BTreeMap::<&str, BTreeSet<u16>>::new());
    for (_, server, words) in events {
        if words[0] == "RUN" {
            ran.insert(words[1].as_str(), *server);
            if words[2] != "-" {
                racks.entry(&words[2]).or_default().insert(servers[*server].rack);
            }
        }
    }
    let count = |long: bool, status: Option<u16>| {
        tries.values().filter(|a| a.long == long && (status.is_none() || a.status == status)).count()
    };
    say(format!(
        "claims: {} long ones, {} of them answered 200; {} short ones, {} of them answered 200",
        count(true, None),
        count(true, Some(200)),
        count(false, None),
        count(false, Some(200))
    ));
    let mut broken = 0;
    for (id, one) in tries {
        if let (Some(429 | 503), Some(server)) = (one.status, ran.get(id.as_str())) {
            broken += 1;
            say(format!(
                "refused after it began to run: {id} (key {}), begun at {} of rack {}",
                one.key, servers[*server].name, servers[*server].rack
            ));
        }
    }
    let doubled: Vec<_> = racks.iter().filter(|(_, racks)| racks.len() > 1).collect();
    for (key, racks) in &doubled {
        say(format!("key {key} was run in racks {racks:?}"));
    }
    say(format!("{broken} refusals of requests that may have run, {} keys run in two racks", doubled.len()));
    broken > 0
}
