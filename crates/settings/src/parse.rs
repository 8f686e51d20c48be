//! From a text to a raw value that fits its schema, with all problems of form.

use schemars::{JsonSchema, schema_for};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{
    problem::{Position, Problems},
    schema,
    source::Source,
};

/// A raw value and where its fields stand, while rules across fields are checked.
pub(crate) struct Parsed<T> {
    pub(crate) raw: T,
    pub(crate) source: Source,
}

/// Parses a text and checks its form against the JSON schema of `T`; the raw value is missing only
/// if the form is wrong.
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

/// The JSON schema of a type.
pub(crate) fn schema_of<T: JsonSchema>() -> Value {
    schema_for!(T).to_value()
}
