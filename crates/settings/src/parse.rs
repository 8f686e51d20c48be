//! Parsing of a text into a raw value that conforms to its JSON schema.

use schemars::{JsonSchema, schema_for};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{
    problem::{Position, Problems},
    schema,
    source::Source,
};

/// Raw value with the positions of its fields, for checking rules across fields.
pub(crate) struct Parsed<T> {
    pub(crate) raw: T,
    pub(crate) source: Source,
}

/// Parses a text and validates it against the JSON schema of `T`. Returns `None` only if it has
/// reported a problem.
pub(crate) fn parse<T: DeserializeOwned>(
    text: &str,
    schema: &Value,
    problems: &mut Problems,
) -> Option<Parsed<T>> {
    let source = Source::parse(text, problems)?;
    schema::check(&source, schema, problems);
    if !problems.is_empty() {
        return None;
    }
    match serde_json::from_value(source.value.clone()) {
        Ok(raw) => Some(Parsed { raw, source }),
        Err(error) => {
            problems.push(Position { line: 1, column: 1 }, "", format!("{error}."));
            None
        }
    }
}

/// Returns the JSON schema of a type.
pub(crate) fn schema_of<T: JsonSchema>() -> Value {
    schema_for!(T).to_value()
}
