//! The `pomelohill` program; see the documentation of the crate.

use std::process::ExitCode;

fn main() -> ExitCode {
    client::main()
}
