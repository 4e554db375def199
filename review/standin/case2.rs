//! Case 2: some answers of the roster servers come a second time, some milliseconds late. Whoever gets a 200
//! has to get the body that a server made for that very request.

use crate::net::*;
use crate::settings;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What a client gives one try: half of the class's give-up time.
const TRY_MS: u64 = 200;

pub fn run(trouble: bool) -> bool {
    let events = Arc::new(Mutex::new(Vec::<Event>::new()));
    let discovery = Discovery::start();
    let zones = ["hall-a", "hall-b", "hall-c"];
    // One answer in two hundred comes twice.
    let share = if trouble { "0.005" } else { "0" };
    let options: Vec<String> = ["6", "14", "8", share, "2", "12"].map(str::to_owned).into();
    let servers: Vec<_> =
        (0..12).map(|i| start_server(i, zones[i % 3], 1 + (i % 3) as u16, &options, &events)).collect();
    servers.iter().for_each(|server| discovery.tell(server, "in_service", 0));
    let settings = settings(3, 120, 400);
    let node_options = NodeOptions { settings: &settings, memory_mb: 48, sockets: 384 };
    let nodes: Vec<_> = (0..3).map(|i| start_node(i, &discovery, &node_options)).collect();
    wait_ready(&nodes);

    let stop = Arc::new(AtomicBool::new(false));
    let (served, foreign) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<_> = (0..66)
        .map(|i| {
            let (port, stop) = (nodes[i % 3].port, stop.clone());
            let (served, foreign) = (served.clone(), foreign.clone());
            thread::spawn(move || client(i as u64, port, &stop, &served, &foreign))
        })
        .collect();
    thread::sleep(Duration::from_secs(20));
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    thread::sleep(Duration::from_millis(100));
    record_logs(&nodes);
    let seconds = events.lock().unwrap().iter().filter(|(_, _, words)| words[0] == "SECOND").count();
    let (served, foreign) = (served.load(Ordering::SeqCst), foreign.load(Ordering::SeqCst));
    say(format!("{served} requests served, {seconds} second answers, {foreign} clients got another's answer"));
    if served < 1000 || trouble && seconds == 0 {
        say("too little was served");
        finish(2);
    }
    foreign > 0
}

/// One client, with one request at a time.
fn client(number: u64, port: u16, stop: &AtomicBool, served: &AtomicUsize, foreign: &AtomicUsize) {
    let mut random = Random::new(number);
    let mut connection = None;
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_secs_f64(-random.unit().max(1e-9).ln() * 0.07));
        let id = new_id();
        let Some(mut client) = connection.take().or_else(|| Client::open(port).ok()) else { continue };
        let sent = client.write(&view(&id, TRY_MS, 10));
        let answer = sent.and_then(|()| client.answer(Duration::from_millis(TRY_MS + 550)));
        let Ok(answer) = answer else {
            record(format!("client got no answer for {id}"));
            continue;
        };
        record(format!("client got {} for {id}", answer.status));
        if answer.status == 200 {
            served.fetch_add(1, Ordering::SeqCst);
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            if body != format!("made for {id}") {
                foreign.fetch_add(1, Ordering::SeqCst);
                say(format!("the client that sent {id} got 200 with the body {body:?}"));
            }
        }
        if !answer.close {
            connection = Some(client);
        }
    }
}
