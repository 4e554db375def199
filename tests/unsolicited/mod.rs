//! Backends that send unsolicited responses. How late these may come is tested next to the connection pool,
//! on a paused clock.

use crate::harness::*;
use std::sync::Mutex;
use std::sync::mpsc::channel;

/// A response whose body is the id of its request.
fn echo_id(message: &Message) -> Reply {
    Reply::Answer("200 OK", "", message.header("x-call-id").unwrap_or_default().into())
}

#[test]
fn unsolicited_bytes_close_an_idle_connection_and_reach_no_client() {
    let cases: [&[u8]; 4] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nagain",
        b"HTTP/1.1 200 OK\r\nContent-",
        b"\r\n",
        b"no HTTP at all",
    ];
    for unsolicited in cases {
        let (sender, streams) = channel();
        let sender = Mutex::new(Some(sender));
        let backend = Backend::start(move |message| match sender.lock().expect("the sender").take() {
            // On the first connection the test itself writes after the response.
            Some(sender) => {
                let body = message.header("x-call-id").unwrap_or_default().to_owned();
                Reply::Write(Box::new(move |stream| {
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                    let _ = std::io::Write::write_all(stream, head.as_bytes());
                    sender.send(stream.try_clone().expect("a handle")).expect("the test waits");
                    // Reads until the node closes the connection.
                    let _ = std::io::copy(stream, &mut std::io::sink());
                }))
            }
            None => echo_id(message),
        });
        let (node, _watch, _discovery) = serving_node(&settings(20_000, ""), &[&backend]);
        let mut client = node.client();
        let request_and_check = |client: &mut Client| {
            let headers = common_headers(20_000);
            let answer = client.request("POST /correct/1f", &headers, b"sheet");
            let id = headers.lines().find_map(|line| line.strip_prefix("X-Call-Id: ")).expect("an id");
            assert_eq!((answer.status(), answer.body.as_slice()), (200, id.as_bytes()), "{unsolicited:?}");
        };
        request_and_check(&mut client);
        let mut stream = streams.recv_timeout(TEST_TIMEOUT).expect("the first connection");
        std::io::Write::write_all(&mut stream, unsolicited).expect("the node reads");
        assert_eq!(backend.next_closed(), 0, "{unsolicited:?}");
        node.wait_for_log("sent unsolicited bytes");
        request_and_check(&mut client);
        request_and_check(&mut client);
        assert_ne!(backend.next_request().0, 0, "{unsolicited:?}");
    }
}
