//! Complete, incomplete and malformed message bodies.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bytes::BytesMut;
use http1::{BodyError, BodyReader, ConnectionEnd, Framing, Piece, write_chunk, write_last_chunk};
use proptest::prelude::*;
use test_case::test_case;

/// Reads all buffered bytes; returns the body so far and whether it is
/// complete.
fn read(reader: &mut BodyReader, buf: &mut BytesMut) -> Result<(Vec<u8>, bool), BodyError> {
    let mut body = Vec::new();
    loop {
        match reader.next(buf)? {
            Piece::Bytes(bytes) => body.extend_from_slice(&bytes),
            Piece::NeedMore => return Ok((body, false)),
            Piece::End => return Ok((body, true)),
        }
    }
}

#[test_case(Framing::Empty, "", "", true; "empty")]
#[test_case(Framing::Length(3), "abcdef", "abc", true; "length")]
#[test_case(Framing::Length(3), "ab", "ab", false; "length not reached")]
#[test_case(Framing::Chunked, "3\r\nabc\r\n0\r\n\r\n", "abc", true; "chunks")]
#[test_case(Framing::Chunked, "3;x=y\r\nabc\r\n0\r\nt: 1\r\n\r\n", "abc", true; "extension and trailer")]
#[test_case(Framing::Chunked, "3\r\nabc\r\n", "abc", false; "chunks without a last chunk")]
#[test_case(Framing::UntilClose, "abc", "abc", false; "until close")]
fn next_valid(framing: Framing, text: &str, body: &str, complete: bool) {
    let mut reader = BodyReader::new(framing);
    let actual = read(&mut reader, &mut BytesMut::from(text)).unwrap();
    assert_eq!(actual, (body.as_bytes().to_vec(), complete));
}

/// Guards against a piece for each one-byte chunk of a body, whose costs are many times its
/// bytes.
#[test]
fn next_joined_joins_short_chunks() {
    let mut buf = BytesMut::from("1\r\nx\r\n".repeat(2_000).as_str());
    let mut reader = BodyReader::new(Framing::Chunked);
    let joined = reader.next_joined(&mut buf).unwrap();
    assert_eq!(joined, Piece::Bytes("x".repeat(2_000).into()));
    assert_eq!(reader.next_joined(&mut buf), Ok(Piece::NeedMore));
    buf.extend_from_slice(b"1\r\ny\r\n0\r\n\r\n");
    assert_eq!(reader.next_joined(&mut buf), Ok(Piece::Bytes("y".into())));
    assert_eq!(reader.next_joined(&mut buf), Ok(Piece::End));
    assert!(buf.is_empty());
}

#[test]
fn next_joined_returns_error_behind_valid_chunks() {
    let mut buf = BytesMut::from("1\r\nx\r\nno size\r\n1\r\ny\r\n");
    let mut reader = BodyReader::new(Framing::Chunked);
    assert_eq!(reader.next_joined(&mut buf), Err(BodyError::Malformed));
}

#[test_case("x\r\n"; "no size")]
#[test_case("3\r\nabcd\r\n"; "longer than its size")]
#[test_case("fffffffffffffffff\r\n"; "size too large")]
fn next_malformed(text: &str) {
    let mut reader = BodyReader::new(Framing::Chunked);
    let actual = read(&mut reader, &mut BytesMut::from(text));
    assert_eq!(actual, Err(BodyError::Malformed));
}

#[test_case(Framing::Length(3), "ab", Err(BodyError::Truncated); "length")]
#[test_case(Framing::Chunked, "3\r\nabc\r\n", Err(BodyError::Truncated); "chunks")]
#[test_case(Framing::Chunked, "3\r\nabc\r\n0\r\n", Err(BodyError::Truncated); "last chunk truncated")]
#[test_case(Framing::UntilClose, "ab", Ok(()); "until close")]
fn handle_eof_before_the_end(framing: Framing, text: &str, expected: Result<(), BodyError>) {
    let mut reader = BodyReader::new(framing);
    read(&mut reader, &mut BytesMut::from(text)).unwrap();
    assert_eq!(reader.handle_eof(ConnectionEnd::Closed), expected);
}

/// Guards against a part of a body that counts as whole because its connection was reset.
#[test_case(Framing::UntilClose, "ab", Err(BodyError::Truncated); "until close")]
#[test_case(Framing::Length(2), "ab", Ok(()); "all bytes")]
#[test_case(Framing::Empty, "", Ok(()); "no body")]
fn handle_eof_after_reset(framing: Framing, text: &str, expected: Result<(), BodyError>) {
    let mut reader = BodyReader::new(framing);
    read(&mut reader, &mut BytesMut::from(text)).unwrap();
    assert_eq!(reader.handle_eof(ConnectionEnd::Reset), expected);
}

proptest! {
    /// A chunked body that arrives in two parts, split at any byte, is read
    /// back unchanged.
    #[test]
    fn chunked_body_round_trip(
        chunks in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..50), 0..8),
        cut in 0_usize..500,
    ) {
        let mut written = BytesMut::new();
        chunks.iter().for_each(|c| write_chunk(&mut written, c));
        write_last_chunk(&mut written);
        let cut = cut.min(written.len());
        let rest = written.split_off(cut);
        let mut reader = BodyReader::new(Framing::Chunked);
        let (mut body, mut complete) = read(&mut reader, &mut written).unwrap();
        if !complete {
            written.unsplit(rest);
            let (more, ended) = read(&mut reader, &mut written).unwrap();
            body.extend(more);
            complete = ended;
        }
        prop_assert!(complete);
        prop_assert_eq!(body, chunks.concat());
    }

    #[test]
    fn any_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut reader = BodyReader::new(Framing::Chunked);
        let _ = read(&mut reader, &mut BytesMut::from(&bytes[..]));
    }
}
