//! Command-line entry point of the model.

use std::process::ExitCode;

fn main() -> ExitCode {
    model::main()
}
