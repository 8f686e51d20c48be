//! Where lines go: results to standard output, progress and errors to standard error.

use std::{
    env,
    io::{self, IsTerminal, Write},
};

const RED: &str = "\x1b[31m";
const GREEN: &str = "\x1b[32m";
const CYAN: &str = "\x1b[36m";
const RESET: &str = "\x1b[0m";

/// How the process is connected.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Terminal {
    has_colours: bool,
}

impl Terminal {
    /// Colours only where a person looks on and has not asked for none.
    pub(crate) fn detect() -> Terminal {
        let wanted = env::var_os("NO_COLOR").is_none_or(|it| it.is_empty());
        Terminal { has_colours: wanted && io::stdout().is_terminal() }
    }

    /// Writes a line of the result. A reader that has gone away is no error.
    pub(crate) fn print_line(&self, text: &str) {
        _ = writeln!(io::stdout().lock(), "{text}");
    }

    /// Writes the result as it is.
    pub(crate) fn print_raw(&self, text: &str) {
        let mut out = io::stdout().lock();
        _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    }

    /// Writes a line about how it goes.
    pub(crate) fn print_progress(&self, text: &str) {
        _ = writeln!(io::stderr().lock(), "{text}");
    }

    pub(crate) fn print_error(&self, text: &str) {
        _ = writeln!(io::stderr().lock(), "pomelohill: {text}");
    }

    /// Writes a unified difference, coloured on a terminal.
    pub(crate) fn print_diff(&self, text: &str) {
        for line in text.lines() {
            match line.as_bytes().first() {
                Some(b'+') if self.has_colours => self.print_line(&format!("{GREEN}{line}{RESET}")),
                Some(b'-') if self.has_colours => self.print_line(&format!("{RED}{line}{RESET}")),
                Some(b'@') if self.has_colours => self.print_line(&format!("{CYAN}{line}{RESET}")),
                _ => self.print_line(line),
            }
        }
    }
}
