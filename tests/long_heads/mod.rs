//! Requests with heads that are longer than the read buffer of a connection, while memory is short.

use crate::harness::tcp_connections::{TcpState, tcp_connections};
use crate::harness::*;
use std::time::{Duration, Instant};

const BUDGET_MS: u64 = 20_000;
/// Longer than any of these answers takes, and shorter than the time after which peers are sent away that stop in
/// a head.
const PROMPTLY: Duration = Duration::from_millis(1500);
/// More than there is memory for.
const STOPPED_PEERS: usize = 8;
/// Incomplete long heads for which the least memory has room.
const MAX_INCOMPLETE_HEADS: usize = 2;

/// A node with the least memory for buffers that there is: four long heads, two of which may be incomplete.
fn node_without_memory(backends: &[&Backend]) -> (Node, Watch, Discovery) {
    let discovery = Discovery::start();
    let config = config(discovery.address, &settings(BUDGET_MS, ""), 1024);
    let node = Node::start(&config.replace(r#""memory_mb":192"#, r#""memory_mb":0"#), "");
    let entries = backends.iter().enumerate().map(|(i, b)| entry(&format!("s-{i}"), b.address, "in_service"));
    let line = list(8, true, &entries.collect::<Vec<_>>());
    let watch = discovery.send_list_until(&line, || node.is_ready(), "readiness");
    (node, watch, discovery)
}

/// Whether part of what this client has written waits at the node, which has read the rest.
fn waits_for_memory(node: &Node, client: &Client, written: usize) -> bool {
    let connections = tcp_connections(&[TcpState::Established]).into_iter();
    let mut at_node = connections.filter(|connection| connection.local == node.address);
    let connection = at_node.find(|connection| connection.remote.port() == client.local_port());
    connection.is_some_and(|connection| (1..written).contains(&(connection.unread_bytes as usize)))
}

/// Peers that send part of a long head and stop. All but those for which there is memory wait for it.
fn stopped_peers(node: &Node) -> Vec<Client> {
    let head = format!("GET /read/{}", "a".repeat(8300));
    let start = || {
        let mut peer = node.client();
        peer.write(head.as_bytes());
        peer
    };
    let peers: Vec<_> = (0..STOPPED_PEERS).map(|_| start()).collect();
    let waiting = || peers.iter().filter(|peer| waits_for_memory(node, peer, head.len())).count();
    wait_until(|| waiting() >= STOPPED_PEERS - MAX_INCOMPLETE_HEADS, "peers that wait for memory");
    peers
}

/// The head of a request of the class `correct` with a body of 5 bytes, longer than the read buffer.
fn long_head() -> String {
    let headers = common_headers(BUDGET_MS);
    format!(
        "POST /correct/1?q={} HTTP/1.1\r\nHost: a\r\n{headers}Content-Length: 5\r\n\r\n",
        "b".repeat(8200)
    )
}

// Guards against whole requests that wait for memory behind peers which stopped in the middle of theirs.
#[test]
fn a_whole_long_head_is_read_though_stopped_heads_hold_their_part_of_the_memory() {
    let backend = Backend::start(|_| ok("fine"));
    let (node, _watch, _discovery) = node_without_memory(&[&backend]);
    let (mut reused, mut new) = (node.client(), node.client());
    assert_eq!(reused.request_read().status(), 200);
    let _peers = stopped_peers(&node);
    for client in [&mut reused, &mut new] {
        let sent = Instant::now();
        client.write(format!("{}sheet", long_head()).as_bytes());
        let answer = client.answer().expect("an answer");
        assert_eq!((answer.status(), answer.body), (200, b"fine".to_vec()));
        assert!(sent.elapsed() < PROMPTLY, "answered after {:?}", sent.elapsed());
    }
}

// Guards against a wait that does not notice that the rest of its head has arrived.
#[test]
fn a_long_head_whose_rest_arrives_while_it_waits_for_memory_is_read() {
    let backend = Backend::start(|_| ok("fine"));
    let (node, _watch, _discovery) = node_without_memory(&[&backend]);
    let _peers = stopped_peers(&node);
    let request = format!("{}sheet", long_head());
    let empty_line_and_body = "\r\nsheet";
    let (begin, rest) = request.split_at(request.len() - empty_line_and_body.len());
    let mut client = node.client();
    client.write(begin.as_bytes());
    wait_until(|| waits_for_memory(&node, &client, begin.len()), "a head that waits for memory");
    let sent = Instant::now();
    client.write(rest.as_bytes());
    assert_eq!(client.answer().expect("an answer").status(), 200);
    assert!(sent.elapsed() < PROMPTLY, "answered after {:?}", sent.elapsed());
}

// Guards against whole requests that get a close and no answer when there is no memory for their heads.
#[test]
fn a_whole_long_head_for_which_there_is_no_memory_is_refused_in_time() {
    let backends = [0, 1].map(|_| Backend::start(|_| Reply::Silence));
    let (node, _watch, _discovery) = node_without_memory(&[&backends[0], &backends[1]]);
    let request_count = || backends.iter().map(Backend::request_count).sum::<usize>();
    let mut in_progress = [node.client(), node.client()];
    in_progress.iter_mut().for_each(Client::send_correct);
    wait_until(|| request_count() == 2, "two requests in progress");
    let _peers = stopped_peers(&node);
    let mut client = node.client();
    let sent = Instant::now();
    client.write(format!("{}sheet", long_head()).as_bytes());
    let answer = client.answer().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (503, Some("close")));
    assert!(sent.elapsed() < PROMPTLY, "answered after {:?}", sent.elapsed());
    assert!(client.is_closed());
    assert_eq!(request_count(), 2);
    node.wait_for_log("bytes for buffers are in use");
}
