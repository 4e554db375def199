//! A client that comes and goes over a loopback socket, and what the kernel says of it.

use super::*;
use rustix::net::sockopt::set_socket_linger;
use std::net::Shutdown;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// How a client parts from its connection.
#[derive(Clone, Copy, Debug)]
pub enum Parts {
    Close,
    Reset,
    /// It ends its sending alone.
    Half,
}

/// Returns what is left of it.
pub fn part(stream: TcpStream, how: Parts) -> Option<std::net::TcpStream> {
    let stream = stream.into_std().expect("a stream");
    match how {
        Parts::Close => None,
        Parts::Reset => {
            set_socket_linger(&stream, Some(Duration::ZERO)).expect("an option");
            None
        }
        Parts::Half => {
            stream.shutdown(Shutdown::Write).expect("it is open");
            Some(stream)
        }
    }
}

async fn pair() -> (TcpStream, Rc<RefCell<TcpStream>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let client =
        hillpick::control::tcp::connect(listener.local_addr().expect("its address")).await.expect("a client");
    let accepted = listener.accept().await.expect("the client").0;
    (client, Rc::new(RefCell::new(accepted)))
}

/// Whatever it has sent, all or nothing of it read, a client is there until it parts, and has left from then on. The
/// runtime hears of neither: nothing is polled in between.
#[tokio::test(flavor = "current_thread")]
async fn a_client_that_parts_has_left_whatever_stands_unread_before_it() {
    for how in [Parts::Close, Parts::Reset, Parts::Half] {
        for (sends, reads) in [(0, 0), (5, 0), (5, 5), (5, 3)] {
            let (mut client, stream) = pair().await;
            let liveness = Liveness::of(&stream);
            assert!(!liveness.is_disconnected(), "{how:?} {sends} {reads}");
            client.write_all(&b"bytes"[..sends]).await.expect("room for it");
            let mut read = vec![0; reads];
            let mut come = 0;
            while come < reads {
                let ready = stream.borrow().try_read(&mut read[come..]);
                match ready {
                    Ok(length) => come += length,
                    Err(_) => tokio::task::yield_now().await,
                }
            }
            assert!(!liveness.is_disconnected(), "{how:?} {sends} {reads}");
            let _half = part(client, how);
            assert!(liveness.is_disconnected(), "{how:?} {sends} {reads}");
            assert!(liveness.is_disconnected(), "asked again: {how:?} {sends} {reads}");
        }
    }
}

/// What asks does not keep a connection open, and one that the node has closed has nobody at its end.
#[tokio::test(flavor = "current_thread")]
async fn a_connection_that_the_node_has_closed_has_nobody_at_its_end() {
    let (mut client, stream) = pair().await;
    let liveness = Liveness::of(&stream);
    drop(stream);
    assert!(liveness.is_disconnected());
    assert_eq!(client.read(&mut [0; 1]).await.expect("an end"), 0);
    assert!(!Liveness::default().is_disconnected());
}

/// Every socket of the node: those that it opens, and those that it accepts.
#[tokio::test(flavor = "current_thread")]
async fn no_small_write_is_held_back() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let opened =
        hillpick::control::tcp::connect(listener.local_addr().expect("its address")).await.expect("a client");
    assert!(opened.nodelay().expect("an option"));
    let accepted = listener.accept().await.expect("the client").0;
    assert!(!accepted.nodelay().expect("an option"), "by itself it is off");
    assert!(hillpick::control::tcp::with_nodelay(accepted).nodelay().expect("an option"));
}
