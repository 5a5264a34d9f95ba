//! Allocation of free addresses for the daemons of the tests.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::net::TcpListener;
use std::process::Command;
use std::thread;
use support::free_address;

/// Number of threads that start processes concurrently.
const THREADS: usize = 8;
/// Number of processes that each thread starts.
const PROCESSES_PER_THREAD: usize = 150;

/// Guards against an address in use after its listener was closed: a forked child
/// holds its parent's open sockets until it calls `exec`.
#[test]
fn address_stays_free_while_other_threads_start_processes() {
    let start_processes = || {
        for _ in 0..PROCESSES_PER_THREAD {
            let address = free_address();
            let child = Command::new("true").spawn();
            TcpListener::bind(address).unwrap_or_else(|e| panic!("{address}: {e}"));
            child.unwrap().wait().unwrap();
        }
    };
    let threads: Vec<_> = (0..THREADS)
        .map(|_| thread::spawn(start_processes))
        .collect();
    for thread in threads {
        thread.join().unwrap();
    }
}
