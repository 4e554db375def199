//! The header of a datagram, and the replay window.

use super::*;

#[test]
fn a_header_survives_the_round_trip_and_other_bytes_are_rejected() {
    let header = Header { cluster: 7, sequence: 1 << 40, digest: 5, members: 300, phase: Phase::Leaving };
    let data = header.encode(b"body");
    assert_eq!(data.len(), HEADER_BYTES + 4);
    assert_eq!(Header::decode(&data, 7), Ok((header, &b"body"[..])));
    assert_eq!(Header::decode(&data, 8), Err(Rejected::Foreign));
    assert_eq!(Header::decode(&data[..HEADER_BYTES - 1], 7), Err(Rejected::Truncated));
    assert_eq!(Header::decode(&[0; 257], 7), Err(Rejected::TooLong));
    let with_flipped_bit = |offset: usize| {
        let mut data = data.clone();
        data[offset] ^= 0x80;
        Header::decode(&data, 7).map(drop)
    };
    assert_eq!(with_flipped_bit(0), Err(Rejected::Garbage));
    assert_eq!(with_flipped_bit(1), Err(Rejected::Version));
    assert_eq!(with_flipped_bit(2), Err(Rejected::Garbage));
}

#[test]
fn a_sequence_number_is_new_only_once_in_any_order() {
    let mut window = ReplayWindow::default();
    let order = [3, 1, 2, 3, 1, 70, 6, 7, 5, 70, 200, 135, 136, 136];
    let new = order.map(|sequence| window.is_new(sequence));
    let expected = [true, true, true, false, false, true, true, true, false, false, true, false, true, false];
    assert_eq!(new, expected);
}
