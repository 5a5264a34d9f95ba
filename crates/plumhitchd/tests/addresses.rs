//! Addresses for the daemons of tests.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::net::TcpListener;
use std::process::Command;
use std::thread;
use support::free_address;

/// Tests of one process that start daemons side by side.
const TESTS: usize = 8;
/// Daemons that each of them starts.
const DAEMONS: usize = 150;

/// A child has its parent's open sockets until it runs its own program, so
/// an address whose listener was open meanwhile is still taken after it.
#[test]
fn address_stays_free_while_others_start_processes() {
    let start = || {
        for _ in 0..DAEMONS {
            let address = free_address();
            let child = Command::new("true").spawn();
            TcpListener::bind(address).unwrap_or_else(|e| panic!("{address}: {e}"));
            child.unwrap().wait().unwrap();
        }
    };
    let tests: Vec<_> = (0..TESTS).map(|_| thread::spawn(start)).collect();
    for test in tests {
        test.join().unwrap();
    }
}
