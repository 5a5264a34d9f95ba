//! Pieces of a body that wait to be passed on.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bytes::Bytes;
use flow::{MAX_PIECE_BYTES, MIN_PIECE_BYTES, PieceQueue};
use proptest::prelude::*;

fn pop_all(queue: &mut PieceQueue) -> Vec<u8> {
    let mut all = Vec::new();
    while let Some(piece) = queue.pop() {
        all.extend_from_slice(&piece);
    }
    all
}

/// Guards against pieces of one byte that each cost a few hundred: a body without end in
/// short chunks would use up the memory of the process within its flow-control window.
#[test]
fn push_joins_short_pieces() {
    let mut queue = PieceQueue::default();
    for _ in 0..256 * 1024 {
        queue.push(Bytes::from_static(b"x"));
    }
    assert_eq!(queue.len(), 256 * 1024 / MAX_PIECE_BYTES);
    assert_eq!(pop_all(&mut queue), vec![b'x'; 256 * 1024]);
    assert!(queue.is_empty());
}

proptest! {
    #[test]
    fn pop_returns_bytes_in_order(lengths in prop::collection::vec(0..3 * MIN_PIECE_BYTES, 0..20)) {
        let mut queue = PieceQueue::default();
        let mut expected = Vec::new();
        for (n, length) in (0_u8..).zip(lengths) {
            let piece = vec![n; length];
            expected.extend_from_slice(&piece);
            queue.push(piece.into());
            // Every third time something is taken meanwhile.
            if n % 3 == 2 && let Some(first) = queue.pop() {
                prop_assert_eq!(&expected[..first.len()], &first[..]);
                expected.drain(..first.len());
            }
        }
        prop_assert_eq!(pop_all(&mut queue), expected);
    }
}
