//! Parsing of presented credentials, and lookup by digest.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bytes::Bytes;
use credentials::{Index, Key, Presented, digest, parse, salt};
use test_case::test_case;

#[test_case("Token k", Some("k"); "plain")]
#[test_case("token k", Some("k"); "scheme in lower case")]
#[test_case("Token  k ", Some("k"); "more spaces")]
#[test_case("Token a b", Some("a b"); "space in the key")]
#[test_case("Token", None; "scheme only")]
#[test_case("Token ", None; "empty key")]
#[test_case("Tokenk", None; "no space")]
#[test_case("Token\tk", None; "tab")]
#[test_case("Bearer k", None; "other scheme")]
#[test_case("k", None; "key only")]
#[test_case("", None; "empty")]
fn parse_one_value(value: &str, expected: Option<&str>) {
    let expected = match expected {
        Some(key) => Presented::Key(Key::new(key.as_bytes())),
        None => Presented::Malformed,
    };
    assert_eq!(parse("Token", [value.as_bytes()]), expected);
}

#[test]
fn parse_no_value_is_missing() {
    assert_eq!(parse("Token", []), Presented::Missing);
}

/// Another program on the way may read the other value.
#[test]
fn parse_repeated_value_is_malformed() {
    let value = &b"Token k"[..];
    assert_eq!(parse("Token", [value, value]), Presented::Malformed);
}

#[test]
fn index_finds_the_holder_with_the_same_salt_only() {
    let digests = [b"a", b"b"].map(|key| Bytes::copy_from_slice(&digest(&salt(1), key)));
    let index = |seed| Index::new(salt(seed), digests.iter().enumerate());
    assert_eq!(index(1).find(&Key::new(b"b")), Some(1));
    assert_eq!(index(1).find(&Key::new(b"c")), None);
    assert_eq!(index(2).find(&Key::new(b"b")), None);
}

/// An entry that is no digest must not match any key.
#[test]
fn index_omits_what_is_no_digest() {
    let invalid = [Bytes::new(), Bytes::from_static(b"short")];
    assert!(Index::new(salt(1), invalid.iter().enumerate()).is_empty());
}

/// Replicas of control and later releases must compute the same digests.
#[test]
fn digest_is_sha_256_of_salt_and_key() {
    let hex: String = digest(b"ab", b"c")
        .iter()
        .map(|b| format!("{b:02x}"))
        .collect();
    assert_eq!(
        hex,
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
    );
}
