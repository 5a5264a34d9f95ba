//! Dialling a peer whose first packets are lost, in paused time.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use plumhitchd::dial_with_retries;
use std::cell::Cell;
use std::io;
use std::time::Duration;
use test_case::test_case;
use tokio::time::Instant;

const BOUND: Duration = Duration::from_millis(1_000);
const EACH: Duration = Duration::from_millis(200);

/// Dials a peer to which the first packets of so many tries are lost; returns
/// what came of it, when, and after how many tries.
async fn dial(lost: u32, then: fn() -> io::Result<()>) -> (io::Result<()>, Duration, u32) {
    let (begun, tries) = (Instant::now(), Cell::new(0));
    let dialled = dial_with_retries(BOUND, EACH, async || {
        tries.set(tries.get() + 1);
        if tries.get() <= lost {
            std::future::pending::<()>().await;
        }
        then()
    });
    (dialled.await, begun.elapsed(), tries.get())
}

/// Load pattern: VMs get power again, some later than those that dial them.
#[test_case(0, 0, 1; "peer is there")]
#[test_case(1, 200, 2; "first packet lost")]
#[test_case(3, 600, 4; "peer gets power later")]
#[tokio::test(start_paused = true)]
async fn persist_meets_a_peer_as_soon_as_it_is_there(lost: u32, after_ms: u64, tries: u32) {
    let (dialled, took, tried) = dial(lost, || Ok(())).await;
    assert!(dialled.is_ok());
    assert_eq!((took, tried), (Duration::from_millis(after_ms), tries));
}

#[tokio::test(start_paused = true)]
async fn persist_to_a_peer_that_never_answers_ends_in_its_time() {
    let (dialled, took, tried) = dial(u32::MAX, || Ok(())).await;
    assert_eq!(dialled.unwrap_err().kind(), io::ErrorKind::TimedOut);
    assert_eq!((took, tried), (BOUND, 5));
}

#[tokio::test(start_paused = true)]
async fn persist_refused_ends_at_once() {
    let refused = || Err(io::ErrorKind::ConnectionRefused.into());
    let (dialled, took, tried) = dial(0, refused).await;
    assert_eq!(
        dialled.unwrap_err().kind(),
        io::ErrorKind::ConnectionRefused
    );
    assert_eq!((took, tried), (Duration::ZERO, 1));
}
