//! Discovery's agent: tells the whole list on each watch, then an empty line every 2 s.

use crate::http::read_message;
use crate::server::Server;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// Starts an agent that lists these servers.
pub fn start(servers: &[&Server]) -> Result<SocketAddr, String> {
    let entries: Vec<_> = servers.iter().map(|server| entry(server)).collect();
    let list = format!("{{\"index\":41,\"snapshot\":true,\"endpoints\":[{}]}}\n", entries.join(","));
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let list = list.clone();
            thread::spawn(move || watch(stream, &list));
        }
    });
    Ok(address)
}

fn entry(server: &Server) -> String {
    format!(
        "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"hall-a\",\"type\":\"std-a\",\"group\":{},\
        \"status\":\"in_service\",\"weight\":1.0,\"since_ms\":0}}",
        server.name, server.address, server.cell
    )
}

fn watch(mut stream: TcpStream, list: &str) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let request = read_message(&mut BufReader::new(stream.try_clone()?))?;
    if !request.start.contains("stream=1") {
        return write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
    }
    write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    write!(stream, "{:x}\r\n{list}\r\n", list.len())?;
    loop {
        thread::sleep(Duration::from_secs(2));
        write!(stream, "1\r\n\n\r\n")?;
    }
}
