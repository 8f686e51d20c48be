//! Parser for JSON with comments that keeps the position of each value.

use std::collections::HashMap;

use jsonc_parser::{
    ParseOptions,
    ast::{Object, ObjectProp, Value},
    common::Ranged,
    parse_to_ast,
};
use serde_json::{Map, Number};

use crate::problem::{Position, Problems};

/// The longest text that is accepted. The platform stores values of up to a megabyte, and an
/// accepted document is stored as an escaped string within another object.
const TEXT_MAX_BYTES: usize = 256 * 1024;

const TEXT_START: Position = Position { line: 1, column: 1 };

/// Parsed text with the positions of its fields.
pub(crate) struct Source {
    pub(crate) value: serde_json::Value,
    /// Position of each field, by its path such as `routes[2].path`.
    positions: HashMap<String, Position>,
}

impl Source {
    /// Parses the text. Reports the first syntax error, or all duplicate fields and invalid
    /// numbers.
    pub(crate) fn parse(text: &str, problems: &mut Problems) -> Option<Source> {
        if text.len() > TEXT_MAX_BYTES {
            let message =
                format!("the text has {} bytes: expected at most {TEXT_MAX_BYTES}.", text.len());
            problems.push(TEXT_START, "", message);
            return None;
        }
        let ast = match parse_to_ast(text, &Default::default(), &parse_options()) {
            Ok(ast) => ast.value,
            Err(error) => {
                let line = error.line_display() as u32;
                let column = error.column_display() as u32;
                problems.push(Position { line, column }, "", format!("{}.", error.kind()));
                return None;
            }
        };
        let Some(ast) = ast else {
            problems.push(TEXT_START, "", "the text contains no value: expected an object.");
            return None;
        };
        let mut reader = ValueReader {
            lines: Lines::new(text),
            positions: HashMap::new(),
            problems: &mut *problems,
        };
        let value = reader.read_value(&ast, String::new());
        Some(Source { value, positions: reader.positions })
    }

    /// Returns the position of a field or, if it is omitted, of the innermost value around it.
    pub(crate) fn position(&self, field: &str) -> Position {
        let mut field = field;
        loop {
            if let Some(position) = self.positions.get(field) {
                return *position;
            }
            let Some(end) = field.rfind(['.', '[']) else { break };
            field = &field[..end];
        }
        self.positions.get("").copied().unwrap_or(TEXT_START)
    }
}

fn parse_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

/// Returns the path of a field within the field `parent`. The path of the top-level value is empty.
pub(crate) fn child_path(parent: &str, name: &str) -> String {
    match parent {
        "" => name.to_owned(),
        parent => format!("{parent}.{name}"),
    }
}

struct ValueReader<'a> {
    lines: Lines<'a>,
    positions: HashMap<String, Position>,
    problems: &'a mut Problems,
}

impl ValueReader<'_> {
    fn read_value(&mut self, value: &Value<'_>, field: String) -> serde_json::Value {
        let position = self.lines.position(value.start());
        self.positions.entry(field.clone()).or_insert(position);
        match value {
            Value::StringLit(it) => serde_json::Value::String(it.value.as_ref().to_owned()),
            Value::NumberLit(it) => self.read_number(it.value, position, &field),
            Value::BooleanLit(it) => serde_json::Value::Bool(it.value),
            Value::NullKeyword(_) => serde_json::Value::Null,
            Value::Object(it) => serde_json::Value::Object(self.read_object(it, &field)),
            Value::Array(it) => {
                let elements = it.elements.iter().enumerate();
                let read =
                    elements.map(|(index, it)| self.read_value(it, format!("{field}[{index}]")));
                serde_json::Value::Array(read.collect())
            }
        }
    }

    fn read_number(&mut self, text: &str, position: Position, field: &str) -> serde_json::Value {
        let Ok(number) = text.parse::<Number>() else {
            self.problems.push(
                position,
                field,
                format!("{text} cannot be represented as a number."),
            );
            return serde_json::Value::from(0);
        };
        serde_json::Value::Number(number)
    }

    fn read_object(&mut self, object: &Object<'_>, field: &str) -> Map<String, serde_json::Value> {
        let mut map = Map::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let field = child_path(field, name);
            let position = self.name_position(property);
            if map.contains_key(name) {
                self.problems.push(position, field, "duplicate field.");
                continue;
            }
            self.positions.insert(field.clone(), position);
            let value = self.read_value(&property.value, field);
            map.insert(name.to_owned(), value);
        }
        map
    }

    fn name_position(&self, property: &ObjectProp<'_>) -> Position {
        self.lines.position(property.start())
    }
}

/// Index of the lines of a text, for converting byte offsets into positions.
struct Lines<'a> {
    text: &'a str,
    /// Byte offset of the first character of each line.
    line_starts: Vec<usize>,
}

impl Lines<'_> {
    fn new(text: &str) -> Lines<'_> {
        let after_newlines = text.match_indices('\n').map(|(index, _)| index + 1);
        Lines { text, line_starts: std::iter::once(0).chain(after_newlines).collect() }
    }

    fn position(&self, offset: usize) -> Position {
        let line = self.line_starts.partition_point(|it| *it <= offset);
        let start = self.line_starts[line - 1];
        let column = self.text[start..offset].chars().count() + 1;
        Position { line: line as u32, column: column as u32 }
    }
}
