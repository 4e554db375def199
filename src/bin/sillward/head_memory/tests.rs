use super::*;

#[test]
fn a_head_ends_with_an_empty_line_however_lines_end() {
    for whole in ["Host: a\r\n\r\n", "Host: a\n\n", "Host: a\r\n\nbody", "\n\r\n"] {
        assert!(contains_head_end(whole.as_bytes()), "{whole:?}");
    }
    for part in ["", "\r\n", "Host: a\r\n\r", "Host: a\r\nX-Call-Id: 1\r\n", "\n\r", "\n"] {
        assert!(!contains_head_end(part.as_bytes()), "{part:?}");
    }
}
