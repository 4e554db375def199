//! The agent of a machine: it watches a list server, and answers the nodes of its machine from what it has.

use super::watch_server::Source;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper_util::rt::TokioIo;
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// A list server that says nothing for so long is given up: three heartbeats (the node's own figure).
const SILENCE: Duration = Duration::from_secs(6);
/// Between a broken watch and the next one.
const PAUSE: Duration = Duration::from_millis(500);

/// Keeps an agent's list fresh; while it is cut off no list server can be reached.
pub async fn follow(source: Rc<Source>, upstream: SocketAddr, mut cut: watch::Receiver<bool>) {
    loop {
        if cut.wait_for(|cut| !cut).await.is_err() {
            return;
        }
        tokio::select! {
            broken = watch_once(&source, upstream) => {
                if let Err(what) = broken {
                    tracing::debug!("an agent's watch broke: {what}");
                }
            }
            _ = cut.wait_for(|cut| *cut) => {}
        }
        sleep(PAUSE).await;
    }
}

async fn watch_once(source: &Source, upstream: SocketAddr) -> Result<(), Box<dyn Error>> {
    let stream = TcpStream::connect(upstream).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    spawn_local(async move {
        let _ = connection.await; // its end shows in the body
    });
    let path = format!("/registry/instances?stream=1&index={}", source.index());
    let request = Request::get(path).header(HOST, upstream.to_string()).body(Empty::<Bytes>::new())?;
    let mut body = sender.send_request(request).await?.into_body();
    let mut unread = BytesMut::new();
    while let Some(frame) = timeout(SILENCE, body.frame()).await? {
        let Ok(data) = frame?.into_data() else { continue };
        let seen = unread.len();
        unread.extend_from_slice(&data);
        let Some(end) = unread[seen..].iter().rposition(|byte| *byte == b'\n') else { continue };
        let whole = unread.split_to(seen + end + 1);
        for line in whole.as_ref().split(|byte: &u8| *byte == b'\n').filter(|line| !line.is_empty()) {
            source.change(|list| list.take(line))?;
        }
    }
    Ok(())
}
