//! Valid, incomplete and rejected message heads.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bytes::BytesMut;
use http::Method;
use http1::{Framing, HeadError, parse_request, parse_response};
use proptest::prelude::*;
use test_case::test_case;

const MAX: usize = 1024;

fn request(text: &str) -> Result<Option<http1::RequestHead>, HeadError> {
    parse_request(&mut BytesMut::from(text), MAX)
}

#[test_case("GET / HTTP/1.1\r\nhost: a\r\n\r\n", Framing::Empty, true; "no body")]
#[test_case("POST / HTTP/1.1\r\ncontent-length: 5\r\n\r\n", Framing::Length(5), true; "length")]
#[test_case("POST / HTTP/1.1\r\ncontent-length: 0\r\n\r\n", Framing::Empty, true; "length of zero")]
#[test_case("POST / HTTP/1.1\r\ntransfer-encoding: Chunked\r\n\r\n", Framing::Chunked, true; "chunks")]
#[test_case("GET / HTTP/1.1\r\nconnection: x, Close\r\n\r\n", Framing::Empty, false; "connection close")]
#[test_case("GET / HTTP/1.0\r\n\r\n", Framing::Empty, false; "older version")]
#[test_case("\r\n\r\nGET / HTTP/1.1\r\n\r\n", Framing::Empty, true; "leading empty lines")]
fn parse_request_valid(text: &str, framing: Framing, keep_alive: bool) {
    let head = request(text).unwrap().unwrap();
    assert_eq!((head.framing, head.keep_alive), (framing, keep_alive));
    assert_eq!(head.target, "/");
}

#[test_case("POST / HTTP/1.1\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\n"; "conflicting lengths")]
#[test_case("POST / HTTP/1.1\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n"; "length and chunks")]
#[test_case("POST / HTTP/1.1\r\ntransfer-encoding: gzip, chunked\r\n\r\n"; "unknown coding")]
#[test_case("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n"; "repeated coding")]
#[test_case("POST / HTTP/1.1\r\ncontent-length: +5\r\n\r\n"; "signed length")]
#[test_case("POST / HTTP/1.1\r\ncontent-length: 99999999999999999999\r\n\r\n"; "length too large")]
#[test_case("GET / HTTP/1.1\r\nbad name: 1\r\n\r\n"; "name with a space")]
#[test_case("GET / HTTP/2.0\r\n\r\n"; "unknown version")]
fn parse_request_malformed(text: &str) {
    assert!(matches!(request(text), Err(HeadError::Malformed(_))));
}

#[test]
fn parse_request_longer_than_allowed_is_too_long() {
    let text = format!("GET / HTTP/1.1\r\nx: {}", "y".repeat(MAX));
    assert_eq!(request(&text).unwrap_err(), HeadError::TooLong);
    let complete = format!("{text}\r\n\r\n");
    assert_eq!(request(&complete).unwrap_err(), HeadError::TooLong);
}

#[test]
fn parse_request_leaves_following_request() {
    let pipelined = "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n";
    let mut buf = BytesMut::from(pipelined);
    let targets: Vec<String> = (0..2)
        .map(|_| parse_request(&mut buf, MAX).unwrap().unwrap().target)
        .collect();
    assert_eq!(targets, ["/a", "/b"]);
    assert!(buf.is_empty());
}

#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n", &Method::GET, Framing::Length(3), true; "length")]
#[test_case("HTTP/1.1 200 OK\r\n\r\n", &Method::GET, Framing::UntilClose, false; "until close")]
#[test_case("HTTP/1.1 204 No Content\r\n\r\n", &Method::GET, Framing::Empty, true; "no content")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n", &Method::HEAD, Framing::Empty, true; "response to HEAD")]
fn parse_response_valid(text: &str, method: &Method, framing: Framing, keep_alive: bool) {
    let head = parse_response(&mut BytesMut::from(text), MAX, method);
    let head = head.unwrap().unwrap();
    assert_eq!((head.framing, head.keep_alive), (framing, keep_alive));
}

proptest! {
    /// Parsing arbitrary bytes returns a head, `None` or an error, without a
    /// panic.
    #[test]
    fn parse_any_bytes_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut buf = BytesMut::from(&bytes[..]);
        let _ = parse_request(&mut buf, MAX);
        let mut buf = BytesMut::from(&bytes[..]);
        let _ = parse_response(&mut buf, MAX, &Method::GET);
    }

    /// A head that arrives in two parts is returned only once it is complete.
    #[test]
    fn parse_request_in_two_parts(cut in 1_usize..40) {
        let text = "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\n";
        let mut buf = BytesMut::from(&text[..cut]);
        prop_assert!(parse_request(&mut buf, MAX).unwrap().is_none());
        buf.extend_from_slice(&text.as_bytes()[cut..]);
        let head = parse_request(&mut buf, MAX).unwrap().unwrap();
        prop_assert_eq!(head.framing, Framing::Length(2));
    }
}
