//! Clients that disconnect over a loopback socket, and what the kernel reports of them.

use super::*;
use rustix::net::sockopt::set_socket_linger;
use std::net::Shutdown;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// How a client ends its connection.
#[derive(Clone, Copy, Debug)]
pub enum Disconnect {
    Close,
    Reset,
    /// It shuts down its sending side alone.
    HalfClose,
}

/// Ends the connection; returns the stream if it is only half-closed.
pub fn disconnect(stream: TcpStream, kind: Disconnect) -> Option<std::net::TcpStream> {
    let stream = stream.into_std().expect("a stream");
    match kind {
        Disconnect::Close => None,
        Disconnect::Reset => {
            set_socket_linger(&stream, Some(Duration::ZERO)).expect("an option");
            None
        }
        Disconnect::HalfClose => {
            stream.shutdown(Shutdown::Write).expect("it is open");
            Some(stream)
        }
    }
}

async fn connected_pair() -> (TcpStream, Rc<RefCell<TcpStream>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let client =
        hillpick::control::tcp::connect(listener.local_addr().expect("its address")).await.expect("a client");
    let accepted = listener.accept().await.expect("the client").0;
    (client, Rc::new(RefCell::new(accepted)))
}

/// However much a client has sent and the node has read of it, the client counts as connected until it
/// disconnects, and as disconnected from then on, without the runtime's help: nothing is polled in between.
#[tokio::test(flavor = "current_thread")]
async fn a_disconnect_is_seen_however_much_is_unread_before_it() {
    for kind in [Disconnect::Close, Disconnect::Reset, Disconnect::HalfClose] {
        for (sent_bytes, read_bytes) in [(0, 0), (5, 0), (5, 5), (5, 3)] {
            let (mut client, stream) = connected_pair().await;
            let liveness = Liveness::of(&stream);
            assert!(!liveness.is_disconnected(), "{kind:?} {sent_bytes} {read_bytes}");
            client.write_all(&b"bytes"[..sent_bytes]).await.expect("written");
            let mut read = vec![0; read_bytes];
            let mut received = 0;
            while received < read_bytes {
                let ready = stream.borrow().try_read(&mut read[received..]);
                match ready {
                    Ok(length) => received += length,
                    Err(_) => tokio::task::yield_now().await,
                }
            }
            assert!(!liveness.is_disconnected(), "{kind:?} {sent_bytes} {read_bytes}");
            let _half = disconnect(client, kind);
            assert!(liveness.is_disconnected(), "{kind:?} {sent_bytes} {read_bytes}");
            assert!(liveness.is_disconnected(), "asked again: {kind:?} {sent_bytes} {read_bytes}");
        }
    }
}

/// A `Liveness` doesn't keep its connection open, and reports a connection that the node has closed as
/// disconnected.
#[tokio::test(flavor = "current_thread")]
async fn a_connection_that_the_node_has_closed_counts_as_disconnected() {
    let (mut client, stream) = connected_pair().await;
    let liveness = Liveness::of(&stream);
    drop(stream);
    assert!(liveness.is_disconnected());
    assert_eq!(client.read(&mut [0; 1]).await.expect("an end"), 0);
    assert!(!Liveness::default().is_disconnected());
}

/// `TCP_NODELAY` is set on every socket of the node: those that it opens, and those that it accepts.
#[tokio::test(flavor = "current_thread")]
async fn tcp_nodelay_is_set_on_opened_and_accepted_sockets() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let opened =
        hillpick::control::tcp::connect(listener.local_addr().expect("its address")).await.expect("a client");
    assert!(opened.nodelay().expect("an option"));
    let accepted = listener.accept().await.expect("the client").0;
    assert!(!accepted.nodelay().expect("an option"), "by itself it is off");
    assert!(hillpick::control::tcp::with_nodelay(accepted).nodelay().expect("an option"));
}
