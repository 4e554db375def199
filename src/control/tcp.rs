//! Sets `TCP_NODELAY` on every TCP connection of the node, opened or accepted, before its first byte. Without
//! it the system may hold back a small write (Nagle's algorithm): it would arrive late, and never if the
//! connection is then reset.

use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Opens a connection with `TCP_NODELAY`.
///
/// # Errors
/// The system's error if the connection fails.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    TcpStream::connect(address).await.map(with_nodelay)
}

/// Sets `TCP_NODELAY` on a connection. An error is ignored: if the connection has broken, its next use fails
/// as well.
pub fn with_nodelay(stream: TcpStream) -> TcpStream {
    let _ = stream.set_nodelay(true);
    stream
}
