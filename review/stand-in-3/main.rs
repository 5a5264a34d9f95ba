//! Stand-ins of clients, instances and the operator for the scripts of the third review.
//! It starts the project's program as separate processes on loopback addresses, plays one
//! scenario, writes what was sent, answered and run to a record, and judges one rule.
//!
//! Usage: stand-in SCENARIO PROGRAM RECORD
//! Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.

mod fleet;
mod http;
mod instance;
mod scenarios;

use std::process::exit;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, scenario, program, record] = &args[..] else {
        eprintln!("usage: stand-in SCENARIO PROGRAM RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    match scenarios::play(scenario, program, record, trouble) {
        Ok(true) => exit(0),
        Ok(false) => exit(1),
        Err(reason) => {
            eprintln!("could not run: {reason}");
            exit(2);
        }
    }
}
