//! Reads from a connection in chunks that keep hyper's read buffer at its first size.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;

/// The most bytes that a connection reads at a time. hyper doubles its read buffer when a read fills the 8 KiB
/// that it begins with.
pub const READ_CHUNK_BYTES: usize = 8 * 1024 - 1;

/// Read buffer of a client's connection: no request head may be longer.
pub const READ_BUFFER_BYTES: usize = 32 * 1024;

/// Reads at most [`READ_CHUNK_BYTES`], and returns how many. Until there is something to read the buffer is
/// not touched, so that an idle connection's takes no memory.
pub fn poll_read_chunk(
    stream: &mut TcpStream,
    cx: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_read_ready(cx))?;
        let limit = buffer.remaining().min(READ_CHUNK_BYTES);
        let mut chunk = ReadBuf::new(buffer.initialize_unfilled_to(limit));
        match ready!(Pin::new(&mut *stream).poll_read(cx, &mut chunk)) {
            Ok(()) => {
                let read = chunk.filled().len();
                buffer.advance(read);
                return Poll::Ready(Ok(read));
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Poll::Ready(Err(e)),
        }
    }
}
