//! Retries of connection attempts whose first packets are lost, in simulated time.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use plumhitchd::dial_with_retries;
use std::cell::Cell;
use std::io;
use std::time::Duration;
use test_case::test_case;
use tokio::time::Instant;

const TIMEOUT: Duration = Duration::from_millis(1_000);
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(200);

/// Dials a peer while the packets of the first `lost` attempts are lost; returns
/// the result, the elapsed time and the number of attempts.
async fn dial(lost: u32, connect: fn() -> io::Result<()>) -> (io::Result<()>, Duration, u32) {
    let (start, attempts) = (Instant::now(), Cell::new(0));
    let dialled = dial_with_retries(TIMEOUT, ATTEMPT_TIMEOUT, async || {
        attempts.set(attempts.get() + 1);
        if attempts.get() <= lost {
            std::future::pending::<()>().await;
        }
        connect()
    });
    (dialled.await, start.elapsed(), attempts.get())
}

/// Covers a power restoration in which some VMs start later than their peers.
#[test_case(0, 0, 1; "peer reachable")]
#[test_case(1, 200, 2; "first packet lost")]
#[test_case(3, 600, 4; "peer starts later")]
#[tokio::test(start_paused = true)]
async fn dial_succeeds_in_the_first_attempt_that_reaches_the_peer(
    lost: u32,
    after_ms: u64,
    attempts: u32,
) {
    let (dialled, took, attempted) = dial(lost, || Ok(())).await;
    assert!(dialled.is_ok());
    assert_eq!(
        (took, attempted),
        (Duration::from_millis(after_ms), attempts)
    );
}

#[tokio::test(start_paused = true)]
async fn dial_of_an_unreachable_peer_times_out() {
    let (dialled, took, attempted) = dial(u32::MAX, || Ok(())).await;
    assert_eq!(dialled.unwrap_err().kind(), io::ErrorKind::TimedOut);
    assert_eq!((took, attempted), (TIMEOUT, 5));
}

#[tokio::test(start_paused = true)]
async fn dial_refused_fails_immediately() {
    let refused = || Err(io::ErrorKind::ConnectionRefused.into());
    let (dialled, took, attempted) = dial(0, refused).await;
    assert_eq!(
        dialled.unwrap_err().kind(),
        io::ErrorKind::ConnectionRefused
    );
    assert_eq!((took, attempted), (Duration::ZERO, 1));
}
