use super::*;

/// The headers with these lines of `Transfer-Encoding`.
fn headers(lines: &[&'static str]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for line in lines {
        headers.append(TRANSFER_ENCODING, line.parse().expect("a header value"));
    }
    headers
}

#[test]
fn a_body_is_decoded_without_a_coding_and_with_chunked_alone() {
    for lines in [&[][..], &["chunked"], &["Chunked"], &[" \tchunked "], &[", ,chunked"], &["", "chunked"]] {
        assert!(is_decoded(&headers(lines)), "{lines:?}");
    }
}

// Guards against bodies that are taken for decoded while a coding that hyper does not know is left in them.
#[test]
fn a_body_with_any_other_coding_is_not_decoded() {
    let lists: [&[&str]; 13] = [
        &[""],
        &["chunkd"],
        &["identity"],
        &["gzip, chunked"],
        &["chunked, gzip"],
        &["chunked, chunked"],
        &["chunked,"],
        &["chunked;a=b"],
        &["gzip;a=\",chunked\""],
        &["gzip", "chunked"],
        &["chunked", "gzip"],
        &["chunked", "chunked"],
        &["chunked", ""],
    ];
    for lines in lists {
        assert!(!is_decoded(&headers(lines)), "{lines:?}");
    }
}
