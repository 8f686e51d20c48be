//! Errors of commands and their exit codes.

use std::io;

use model::ObjectVersion;
use object_store::StoreError;
use settings::Problems;

/// The error of a failed command; its text is printed as one message.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum CommandError {
    #[error("{}", describe_problems(.file, .problems))]
    InvalidFile { file: String, problems: Problems },
    #[error("version {version} was refused, the previous version stays in force:\n{}", .reasons.join("\n"))]
    Refused { version: ObjectVersion, reasons: Vec<String> },
    #[error("{0}")]
    Usage(String),
    #[error("{0}")]
    Conflict(String),
    #[error("{0}")]
    Platform(#[from] StoreError),
    #[error("{0}; the document may or may not have been written: run apply again to find out")]
    UnknownEffect(StoreError),
    #[error(
        "version {version} was written, but is not in force on all instances after {waited_s} s: {state}"
    )]
    NotInForce { version: ObjectVersion, waited_s: u64, state: String },
    #[error("{0}")]
    NotFound(String),
    #[error("{path}: {source}")]
    FileAccess { path: String, source: io::Error },
    #[error("invalid object {path} in the platform: {reason}")]
    InvalidObject { path: String, reason: String },
    #[error("initialization failed: {0}")]
    Startup(String),
}

impl CommandError {
    /// Returns the exit code of the process; the help lists the codes.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            CommandError::InvalidFile { .. } | CommandError::Refused { .. } => 1,
            CommandError::Usage(_) => 2,
            CommandError::Conflict(_) => 3,
            CommandError::Platform(_)
            | CommandError::UnknownEffect(_)
            | CommandError::InvalidObject { .. }
            | CommandError::Startup(_) => 4,
            CommandError::NotInForce { .. } => 5,
            CommandError::NotFound(_) => 6,
            CommandError::FileAccess { .. } => 7,
        }
    }
}

fn describe_problems(file: &str, problems: &Problems) -> String {
    let mut lines: Vec<String> = problems
        .iter()
        .map(|it| {
            let at = it.position;
            let field = if it.field.is_empty() { String::new() } else { format!("{}: ", it.field) };
            format!("{file}:{}:{}: {field}{}", at.line, at.column, it.message)
        })
        .collect();
    lines.push(match problems.len() {
        1 => format!("{file}: 1 problem."),
        count => format!("{file}: {count} problems."),
    });
    lines.join("\n")
}
