//! Heads of datagrams, and datagrams that come twice.

use super::*;

#[test]
fn a_head_reads_as_it_was_written_and_nothing_else_does() {
    let head = Head { cluster: 7, sequence: 1 << 40, digest: 5, members: 300, phase: Phase::Leaving };
    let data = head.write(b"body");
    assert_eq!(data.len(), HEAD + 4);
    assert_eq!(Head::read(&data, 7), Ok((head, &b"body"[..])));
    assert_eq!(Head::read(&data, 8), Err(Rejected::Foreign));
    assert_eq!(Head::read(&data[..HEAD - 1], 7), Err(Rejected::Truncated));
    assert_eq!(Head::read(&[0; 257], 7), Err(Rejected::TooLong));
    let changed = |at: usize| {
        let mut data = data.clone();
        data[at] ^= 0x80;
        Head::read(&data, 7).map(drop)
    };
    assert_eq!(changed(0), Err(Rejected::Garbage));
    assert_eq!(changed(1), Err(Rejected::Version));
    assert_eq!(changed(2), Err(Rejected::Garbage));
}

#[test]
fn a_datagram_counts_once_in_any_order() {
    let mut window = Window::default();
    let order = [3, 1, 2, 3, 1, 70, 6, 7, 5, 70, 200, 135, 136, 136];
    let new = order.map(|sequence| window.is_new(sequence));
    let expected = [true, true, true, false, false, true, true, true, false, false, true, false, true, false];
    assert_eq!(new, expected);
}
