//! Long request heads that wait for memory, on a clock that the tests control.

use super::tests::{CONFIG, frontend};
use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::LocalSet;

const BUDGET: Duration = Duration::from_millis(3000);

/// A request whose head does not fit into the read buffer that a connection begins with.
fn request_with_long_head() -> String {
    let (budget_ms, filler) = (BUDGET.as_millis(), "a".repeat(9000));
    let headers = format!("Host: a\r\nX-Call-Id: 1\r\nX-Budget-Ms: {budget_ms}\r\nX-Filler: {filler}\r\n");
    format!("POST /submit/1 HTTP/1.1\r\n{headers}Content-Length: 5\r\n\r\nsheet")
}

/// Runs a test with a frontend all of whose memory is reserved, and a peer whose whole request it has not read
/// yet. The clock is paused.
fn run_without_memory(test: impl AsyncFnOnce(Rc<Frontend>, Reservation, mpsc::Receiver<Message>, TcpStream)) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (frontend, inbox) = frontend(CONFIG);
        let all_memory = frontend.memory.try_reserve(frontend.memory.limit()).expect("all of it");
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut peer = TcpStream::connect(listener.local_addr().expect("its address")).await.expect("a peer");
        let (stream, _) = listener.accept().await.expect("the peer");
        let request = request_with_long_head();
        peer.write_all(request.as_bytes()).await.expect("written");
        let mut received = vec![0; request.len()];
        while stream.peek(&mut received).await.expect("what it sends") < request.len() {}
        tokio::time::pause();
        frontend.serve(stream);
        test(frontend, all_memory, inbox, peer).await;
    });
}

// Guards against attempts that tell their servers more time than is left to a client whose head has waited.
#[test]
fn the_time_of_a_request_runs_while_its_whole_head_waits_for_memory() {
    const WAIT: Duration = Duration::from_millis(50);
    run_without_memory(async |frontend, all_memory, mut inbox, _peer| {
        let arrived_at = frontend.clock.now();
        sleep(WAIT).await;
        drop(all_memory);
        let message = inbox.recv().await.expect("a message");
        let Message::Request(accepted) = message else { panic!("expected a request") };
        assert_eq!(accepted.received_at, arrived_at);
        assert_eq!(accepted.forward.deadline.get(), arrived_at + BUDGET);
        assert!(frontend.clock.now() >= arrived_at + WAIT);
    });
}

// Guards against requests that have arrived and are dropped to make room for other connections.
#[test]
fn a_connection_whose_whole_head_waits_for_memory_is_not_shed() {
    run_without_memory(async |frontend, all_memory, mut inbox, _peer| {
        sleep(MAX_UNREAD_WAIT / 2).await;
        frontend.shed_longest_idle();
        frontend.clients.borrow().values().for_each(|client| client.close.notify_one());
        sleep(MAX_UNREAD_WAIT / 4).await;
        drop(all_memory);
        assert!(matches!(inbox.recv().await, Some(Message::Request(_))));
    });
}

// Guards against whole requests that get no answer because their heads wait for memory without a limit.
#[test]
fn a_whole_head_that_gets_no_memory_is_refused_in_time() {
    run_without_memory(async |_frontend, _all_memory, _inbox, mut peer| {
        let started = Instant::now();
        let mut answer = String::new();
        peer.read_to_string(&mut answer).await.expect("the connection ends without a reset");
        assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
        assert!(answer.ends_with("\r\n\r\nout of buffer memory"), "{answer}");
        assert!(answer.contains("connection: close\r\n"), "{answer}");
        assert!(started.elapsed() <= MAX_UNREAD_WAIT + Duration::from_millis(1), "{:?}", started.elapsed());
    });
}
