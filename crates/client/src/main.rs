//! `pomelohill`: see the crate's documentation.

use std::process::ExitCode;

fn main() -> ExitCode {
    client::main()
}
