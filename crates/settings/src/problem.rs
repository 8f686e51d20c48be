//! Problems found in a text.

use std::fmt;

/// Position in a text; line and column start at 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    pub line: u32,
    /// Column in characters.
    pub column: u32,
}

/// Problem in a text, with its position and field.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    pub position: Position,
    /// Path of the field, such as `routes[2].deadline_ms`; empty for the text as a whole.
    pub field: String,
    /// Description of the problem, without the name of the field.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Position { line, column } = self.position;
        match self.field.as_str() {
            "" => write!(f, "line {line}, column {column}: {}", self.message),
            field => write!(f, "line {line}, column {column}: {field}: {}", self.message),
        }
    }
}

/// All problems of a text, in the order of the text. As an error, it contains at least one problem.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Problems(Vec<Problem>);

impl Problems {
    pub fn iter(&self) -> impl Iterator<Item = &Problem> {
        self.0.iter()
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn push(
        &mut self,
        position: Position,
        field: impl Into<String>,
        message: impl Into<String>,
    ) {
        self.0.push(Problem { position, field: field.into(), message: message.into() });
    }

    /// Returns `value` if there are no problems, or the problems in the order of the text.
    pub(crate) fn into_result<T>(mut self, value: Option<T>) -> Result<T, Problems> {
        self.0.sort();
        self.0.dedup();
        match value {
            Some(value) if self.0.is_empty() => Ok(value),
            _ => Err(self),
        }
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}
