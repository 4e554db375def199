//! Backends that write what nobody asked for. How late it may come is tested beside the pool, on a clock that stands.

use crate::harness::*;
use std::sync::Mutex;
use std::sync::mpsc::channel;

/// Each answer names the request that it was made for.
fn by_id(message: &Message) -> Reply {
    Reply::Answer("200 OK", "", message.header("x-call-id").unwrap_or_default().into())
}

#[test]
fn what_comes_on_an_idle_connection_ends_it_and_reaches_nobody() {
    let strays: [&[u8]; 4] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nagain",
        b"HTTP/1.1 200 OK\r\nContent-",
        b"\r\n",
        b"no HTTP at all",
    ];
    for stray in strays {
        let (writer, late) = channel();
        let writer = Mutex::new(Some(writer));
        let backend = Backend::start(move |message| match writer.lock().expect("the way").take() {
            // The first connection is the test's from its answer on.
            Some(writer) => {
                let body = message.header("x-call-id").unwrap_or_default().to_owned();
                Reply::Write(Box::new(move |stream| {
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                    let _ = std::io::Write::write_all(stream, head.as_bytes());
                    writer.send(stream.try_clone().expect("a handle")).expect("the test waits");
                    // Until the node ends it.
                    let _ = std::io::copy(stream, &mut std::io::sink());
                }))
            }
            None => by_id(message),
        });
        let (node, _watch, _discovery) = serving_node(&settings(20_000, ""), &[&backend]);
        let mut client = node.client();
        let ask = |client: &mut Client| {
            let headers = common_headers(20_000);
            let answer = client.request("POST /correct/1f", &headers, b"sheet");
            let id = headers.lines().find_map(|line| line.strip_prefix("X-Call-Id: ")).expect("an id");
            assert_eq!((answer.status(), answer.body.as_slice()), (200, id.as_bytes()), "{stray:?}");
        };
        ask(&mut client);
        let mut late = late.recv_timeout(TEST_TIMEOUT).expect("the first connection");
        std::io::Write::write_all(&mut late, stray).expect("the node reads");
        assert_eq!(backend.next_closed(), 0, "{stray:?}");
        node.wait_for_log("sent unsolicited bytes");
        ask(&mut client);
        ask(&mut client);
        assert_ne!(backend.next_request().0, 0, "{stray:?}");
    }
}
