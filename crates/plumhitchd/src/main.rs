//! Entry point of the `plumhitchd` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    plumhitchd::main()
}
