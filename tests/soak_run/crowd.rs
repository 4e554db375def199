//! A crowd of clients that make the node hold parts of messages, in waves.

use super::{Dice, Run};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;

const WAVE_TIME: Duration = Duration::from_millis(2500);
const WRITE_LIMIT: Duration = Duration::from_millis(5);

/// Connects and disconnects waves of clients until the run ends.
pub fn come_and_go(run: &Run, address: SocketAddr) {
    let mut dice = Dice::new(run.plan.seed, 50);
    let clients = run.plan.sockets / 3;
    let mut number = 0;
    while !run.ended.load(Ordering::SeqCst) {
        let mut wave = Vec::new();
        for _ in 0..clients {
            number += 1;
            let Ok(mut stream) = TcpStream::connect(address) else { continue };
            let _ = stream.set_write_timeout(Some(WRITE_LIMIT));
            let _ = stream.write_all(&part_of_request(run, number, &mut dice));
            wave.push(stream);
        }
        sleep(WAVE_TIME);
        drop(wave);
        sleep(dice.up_to(WAVE_TIME / 2));
    }
}

fn part_of_request(run: &Run, number: u64, dice: &mut Dice) -> Vec<u8> {
    let id = format!("crowd-{:x}-{number:x}", run.plan.seed);
    let common =
        format!("Host: a\r\nX-Call-Id: {id}\r\nX-Caller: acme\r\nX-Budget-Ms: {}\r\n", run.plan.budget_ms);
    let head = format!("POST /correct/1 HTTP/1.1\r\n{common}");
    match dice.below(5) {
        0 => Vec::new(),
        1 => head.into_bytes(),
        2 => [format!("{head}Content-Length: 600000\r\n\r\n").as_bytes(), &[b'x'; 200_000]].concat(),
        3 => [format!("{head}Content-Length: 60000\r\n\r\n").as_bytes(), &[b'x'; 50_000]].concat(),
        _ => {
            let fields: String = (0..90).map(|i| format!("a{i}: {}\r\n", "b".repeat(200))).collect();
            [format!("{head}{fields}Content-Length: 9000\r\n\r\n").as_bytes(), &[b'x'; 100]].concat()
        }
    }
}
