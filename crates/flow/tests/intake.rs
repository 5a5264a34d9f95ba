//! Bodies from several senders that arrive over one slow link.

use flow::{Grant, Intake};
use std::time::Duration;

const START: Duration = Duration::from_secs(100);
const CAPACITY: u64 = 32 * 1024;
const UPLOAD: u64 = 60_000;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn grant(body: u64, bytes: u64) -> Grant {
    Grant { body, bytes }
}

#[test]
fn grants_simultaneous_uploads_stay_within_the_capacity() {
    let mut intake = Intake::new(CAPACITY);
    for id in 1..=5 {
        intake.add(START, id, UPLOAD);
    }
    assert_eq!(intake.grants(START), [grant(1, CAPACITY)]);
    assert_eq!(intake.grants(START), []);
}

#[test]
fn grants_bodies_are_received_in_order() {
    let mut intake = Intake::new(CAPACITY);
    intake.add(START, 1, UPLOAD);
    intake.add(START, 2, UPLOAD);
    intake.grants(START);
    intake.record_arrival(START + ms(40), 1, 16_000);
    assert_eq!(intake.grants(START + ms(40)), [grant(1, 16_000)]);
    intake.record_arrival(START + ms(80), 1, 16_768);
    // The rest of the first body leaves some capacity for the second.
    let rest = UPLOAD - CAPACITY - 16_000;
    let left = 16_768 - rest;
    assert_eq!(
        intake.grants(START + ms(80)),
        [grant(1, rest), grant(2, left)]
    );
}

#[test]
fn grants_small_remainder_of_the_capacity_is_not_granted() {
    let mut intake = Intake::new(CAPACITY);
    intake.add(START, 1, CAPACITY - 100);
    intake.add(START, 2, UPLOAD);
    assert_eq!(intake.grants(START), [grant(1, CAPACITY - 100)]);
}

#[test]
fn grants_small_body_gets_all_of_its_bytes() {
    let mut intake = Intake::new(CAPACITY);
    intake.add(START, 1, 10);
    assert_eq!(intake.grants(START), [grant(1, 10)]);
}

#[test]
fn grants_others_do_not_wait_for_a_frozen_sender() {
    let mut intake = Intake::new(CAPACITY);
    intake.add(START, 1, UPLOAD);
    intake.add(START, 2, UPLOAD);
    intake.grants(START);
    assert_eq!(intake.grants(START + ms(499)), []);
    assert_eq!(intake.grants(START + ms(500)), [grant(2, CAPACITY)]);
    // The frozen sender continues with what it was granted.
    intake.record_arrival(START + ms(600), 1, CAPACITY);
    assert_eq!(intake.grants(START + ms(600)), []);
    intake.remove(2);
    assert_eq!(
        intake.grants(START + ms(600)),
        [grant(1, UPLOAD - CAPACITY)]
    );
}

#[test]
fn remove_cancelled_body_frees_its_capacity() {
    let mut intake = Intake::new(CAPACITY);
    intake.add(START, 1, UPLOAD);
    intake.add(START, 2, UPLOAD);
    intake.grants(START);
    intake.remove(1);
    assert_eq!(intake.grants(START), [grant(2, CAPACITY)]);
}
