//! What two processes tell each other of requests that may have run.

use super::*;

const FINGERPRINTS: [u64; 4] = [0, 1, 0x8000_0000_0000_0001, u64::MAX];

#[test]
fn changes_are_read_as_they_were_written_between_other_bytes() {
    let mut reader = ChangeReader::default();
    for number in FINGERPRINTS {
        for change in
            [Change::Executed(RequestFingerprint(number)), Change::Forgotten(RequestFingerprint(number))]
        {
            let bytes = change.to_bytes();
            assert_eq!(reader.push(b'A'), None, "a status");
            let read: Vec<_> = bytes.iter().filter_map(|byte| reader.push(*byte)).collect();
            assert_eq!(read, [change]);
        }
    }
    // A message that is cut short is dropped.
    let whole = Change::Executed(RequestFingerprint(7)).to_bytes();
    let cut: Vec<u8> = [&whole[..5], &whole[..]].concat();
    assert_eq!(cut.iter().filter_map(|byte| reader.push(*byte)).count(), 1);
}

#[tokio::test]
async fn a_sibling_is_told_what_was_before_it_and_what_changes() {
    let (requests, sibling) = (SharedExecutedRequests::default(), SharedExecutedRequests::default());
    let [first, second] = [1, 2].map(RequestFingerprint);
    requests.record(first, RequestId(1));
    requests.begin_telling();
    requests.record(second, RequestId(2));
    let mut reader = ChangeReader::default();
    let mut pass_on = |bytes: Vec<u8>| {
        bytes.iter().filter_map(|byte| reader.push(*byte)).for_each(|change| sibling.apply(change));
    };
    pass_on(requests.next_changes().await);
    assert!(sibling.is_repeat(first, RequestId(1)) && sibling.is_repeat(second, RequestId(1)));
    requests.forget(second, RequestId(2));
    pass_on(requests.next_changes().await);
    assert!(sibling.is_repeat(first, RequestId(1)) && !sibling.is_repeat(second, RequestId(1)));
}
