//! The process.

use std::process::ExitCode;

fn main() -> ExitCode {
    model::main()
}
