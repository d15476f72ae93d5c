//! Where heads end in the bytes of a connection.

use jacinthpoint_gateway::framing::HeadEnd;

/// Returns the parts into which the ends of heads divide reads, one after the other.
fn parts(reads: &[&str]) -> Vec<String> {
    let mut head_end = HeadEnd::default();
    let mut parts = vec![String::new()];
    for read in reads {
        let mut rest = *read;
        while let Some(end) = head_end.find(rest.as_bytes()) {
            parts
                .last_mut()
                .expect("never empty")
                .push_str(&rest[..end]);
            parts.push(String::new());
            rest = &rest[end..];
        }
        parts.last_mut().expect("never empty").push_str(rest);
    }
    parts
}

/// Defines tests of the end of a head: name, reads, the parts that the ends of heads leave.
macro_rules! head_tests {
    ($($name:ident: $reads:expr => $parts:expr;)+) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(parts(&$reads), $parts);
            }
        )+
    };
}

head_tests! {
    head_without_its_end_is_open: ["GET / HTTP/1.1\r\nhost: a\r\n"] => ["GET / HTTP/1.1\r\nhost: a\r\n"];
    bytes_after_a_head_are_told_apart: ["GET /\r\nhost: a\r\n\r\nGET"] => ["GET /\r\nhost: a\r\n\r\n", "GET"];
    two_heads_are_told_apart: ["GET /\r\n\r\nGET /\r\n\r\n"] => ["GET /\r\n\r\n", "GET /\r\n\r\n", ""];
    lines_may_end_with_a_line_feed: ["GET /\nhost: a\n\nGET"] => ["GET /\nhost: a\n\n", "GET"];
    end_may_come_in_parts: ["GET /\r", "\n", "\r", "\nGET"] => ["GET /\r\n\r\n", "GET"];
    empty_line_before_a_head_is_part_of_it: ["\r\nGET /\r\n\r\n"] => ["\r\nGET /\r\n\r\n", ""];
}
