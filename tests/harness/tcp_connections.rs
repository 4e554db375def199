//! The kernel's table of TCP connections, by its socket diagnostics (sock_diag(7)). Only connections in the states
//! that are asked for are listed: a run of all tests leaves a hundred thousand closed ones behind, and a look at all
//! of them takes long enough for a peer to run into its time.

use rustix::net::{
    AddressFamily, RecvFlags, SendFlags, SocketFlags, SocketType, netlink, recv, send, socket_with,
};
use std::net::{Ipv4Addr, SocketAddr};

/// The state of a connection, with the kernel's number for it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
#[repr(u8)]
pub enum TcpState {
    Established = 1,
    SynSent = 2,
    FinWait1 = 4,
    CloseWait = 8,
}

/// A connection's end, as the kernel has it.
#[derive(Debug)]
pub struct TcpConnection {
    /// Its own address.
    pub local: SocketAddr,
    /// Its peer's address.
    pub remote: SocketAddr,
    /// The bytes that have arrived and have not been read.
    pub unread_bytes: u32,
    /// The bytes that were written and that the peer's machine has not acknowledged.
    pub unacknowledged_bytes: u32,
}

// Message types and flags of netlink(7) and sock_diag(7).
const ERROR: u16 = 2;
const DONE: u16 = 3;
const SOCK_DIAG_BY_FAMILY: u16 = 20;
const REQUEST_DUMP: u16 = 0x301;
/// The length of a netlink message's header, which the body follows.
const HEADER_BYTES: usize = 16;
/// The length of the address part of a request, which stays empty.
const ADDRESS_BYTES: usize = 48;
const REPLY_BUFFER_BYTES: usize = 64 * 1024;
// Offsets of fields in a `struct inet_diag_msg`.
const LOCAL_PORT_AT: usize = 4;
const REMOTE_PORT_AT: usize = 6;
const LOCAL_HOST_AT: usize = 8;
const REMOTE_HOST_AT: usize = 24;
const RECEIVE_QUEUE_AT: usize = 56;
const SEND_QUEUE_AT: usize = 60;

/// The connections over IPv4 in one of these states.
pub fn tcp_connections(states: &[TcpState]) -> Vec<TcpConnection> {
    let protocol = Some(netlink::SOCK_DIAG);
    let socket = socket_with(AddressFamily::NETLINK, SocketType::RAW, SocketFlags::CLOEXEC, protocol);
    let socket = socket.expect("a netlink socket");
    let state_mask = states.iter().fold(0, |mask, state| mask | 1 << *state as u32);
    send(&socket, &dump_request(state_mask), SendFlags::empty()).expect("a request");
    let mut connections = Vec::new();
    let mut buffer = vec![0; REPLY_BUFFER_BYTES];
    loop {
        let (length, _) = recv(&socket, &mut *buffer, RecvFlags::empty()).expect("a reply");
        let mut messages = &buffer[..length];
        while !messages.is_empty() {
            let message_length = u32_at(messages, 0) as usize;
            match u16::from_ne_bytes([messages[4], messages[5]]) {
                DONE => return connections,
                ERROR => panic!("no socket diagnostics: error {}", u32_at(messages, HEADER_BYTES) as i32),
                _ => connections.push(parse_connection(&messages[HEADER_BYTES..message_length])),
            }
            let aligned_length = message_length.next_multiple_of(4).min(messages.len());
            messages = &messages[aligned_length..];
        }
    }
}

/// A request for all IPv4 TCP connections in the states of this mask.
fn dump_request(state_mask: u32) -> Vec<u8> {
    const FAMILY_INET: u8 = 2;
    const PROTOCOL_TCP: u8 = 6;
    let body =
        [&[FAMILY_INET, PROTOCOL_TCP, 0, 0], &state_mask.to_ne_bytes()[..], &[0; ADDRESS_BYTES]].concat();
    let length = (HEADER_BYTES + body.len()) as u32;
    let no_sequence_or_port = [0; 8];
    let header = [
        &length.to_ne_bytes()[..],
        &SOCK_DIAG_BY_FAMILY.to_ne_bytes(),
        &REQUEST_DUMP.to_ne_bytes(),
        &no_sequence_or_port,
    ];
    [header.concat(), body].concat()
}

/// Reads a `struct inet_diag_msg`.
fn parse_connection(message: &[u8]) -> TcpConnection {
    let address = |port_at: usize, host_at: usize| {
        let host: [u8; 4] = message[host_at..host_at + 4].try_into().expect("four bytes");
        let port = u16::from_be_bytes([message[port_at], message[port_at + 1]]);
        SocketAddr::from((Ipv4Addr::from(host), port))
    };
    TcpConnection {
        local: address(LOCAL_PORT_AT, LOCAL_HOST_AT),
        remote: address(REMOTE_PORT_AT, REMOTE_HOST_AT),
        unread_bytes: u32_at(message, RECEIVE_QUEUE_AT),
        unacknowledged_bytes: u32_at(message, SEND_QUEUE_AT),
    }
}

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    u32::from_ne_bytes(bytes[at..at + 4].try_into().expect("four bytes"))
}
