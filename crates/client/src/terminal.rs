//! Output: results to standard output, progress and errors to standard error.

use std::{
    env,
    io::{self, IsTerminal, Write},
};

const RED: &str = "\x1b[31m";
const GREEN: &str = "\x1b[32m";
const CYAN: &str = "\x1b[36m";
const RESET: &str = "\x1b[0m";

/// The output streams of the process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Terminal {
    has_colours: bool,
}

impl Terminal {
    /// Uses colours if standard output is a terminal and `NO_COLOR` is unset or empty.
    pub(crate) fn detect() -> Terminal {
        let is_allowed = env::var_os("NO_COLOR").is_none_or(|it| it.is_empty());
        Terminal { has_colours: is_allowed && io::stdout().is_terminal() }
    }

    /// Writes a line of the result. A closed standard output is not an error.
    pub(crate) fn print_line(&self, text: &str) {
        _ = writeln!(io::stdout().lock(), "{text}");
    }

    /// Writes the result without adding a newline.
    pub(crate) fn print_raw(&self, text: &str) {
        let mut out = io::stdout().lock();
        _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    }

    /// Writes a progress line to standard error.
    pub(crate) fn print_progress(&self, text: &str) {
        _ = writeln!(io::stderr().lock(), "{text}");
    }

    pub(crate) fn print_error(&self, text: &str) {
        _ = writeln!(io::stderr().lock(), "pomelohill: {text}");
    }

    /// Writes a unified diff, coloured on a terminal.
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
