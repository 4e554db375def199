//! Every TCP connection of the node passes here before its first byte, those that it opens and those that it accepts. A
//! small write that the system holds back for the next one would come late, and not at all if the connection is reset.

use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Opens a connection.
///
/// # Errors
/// What the system says if none comes up.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    TcpStream::connect(address).await.map(with_nodelay)
}

/// With `TCP_NODELAY`. A connection that has broken meanwhile says so when it is used.
pub fn with_nodelay(stream: TcpStream) -> TcpStream {
    let _ = stream.set_nodelay(true);
    stream
}
