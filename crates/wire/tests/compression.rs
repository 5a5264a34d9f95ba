//! Tests of compressed configuration pages.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use flate2::Compression;
use flate2::write::ZlibEncoder;
use std::io::Write;
use test_case::test_case;
use wire::ConfigDelta;

fn compressed(content: &[u8]) -> Vec<u8> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(content).unwrap();
    encoder.finish().unwrap()
}

#[test]
fn decompress_returns_the_page() {
    let page = ConfigDelta {
        from: 3,
        to: 4,
        plans: Some("[plan gold]\n".repeat(1_000)),
        last: true,
        ..ConfigDelta::default()
    };
    let compressed = page.compress().unwrap();
    assert!(compressed.len() < 1_000);
    assert_eq!(ConfigDelta::decompress(&compressed).unwrap(), page);
}

#[test_case(b"not compressed"; "other bytes")]
#[test_case(b""; "empty")]
#[test_case(&compressed(b"\xff\xff\xff"); "no message")]
#[test_case(&compressed(&[0x0a; 1_000])[..8]; "cut off")]
fn decompress_invalid_is_an_error(bytes: &[u8]) {
    assert!(ConfigDelta::decompress(bytes).is_err());
}

/// A few bytes that decompress to very many don't exhaust the memory.
#[test]
fn decompress_stops_at_the_maximum_size() {
    let bytes = compressed(&vec![0; 65 * 1024 * 1024]);
    let error = ConfigDelta::decompress(&bytes).unwrap_err();
    assert_eq!(error.to_string(), "the page is too large");
}
