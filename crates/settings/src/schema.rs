//! Validation of a value against the JSON schema of its type.
//!
//! Supports the keywords that `schemars` generates for the types of this crate; a test checks that
//! the schemas contain no others.

use serde_json::{Map, Value};

use crate::{
    problem::Problems,
    source::{Source, child_path},
};

/// Lowest Jaro-Winkler similarity at which a name is suggested for an unknown one; 1.0 means equal
/// names.
const SIMILARITY_MIN: f64 = 0.75;

/// Reports every violation of the schema by the source.
pub(crate) fn check(source: &Source, schema: &Value, problems: &mut Problems) {
    let mut checker = Checker { source, root: schema, problems };
    checker.check_value(&source.value, schema, "");
}

/// Returns the known name that is most similar to `name`, if it is similar enough to be suggested.
fn most_similar<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let candidates = known.into_iter().map(|it| (strsim::jaro_winkler(name, it), it));
    let best = candidates.max_by(|a, b| a.0.total_cmp(&b.0))?;
    (best.0 >= SIMILARITY_MIN).then_some(best.1)
}

struct Checker<'a> {
    source: &'a Source,
    root: &'a Value,
    problems: &'a mut Problems,
}

impl<'a> Checker<'a> {
    fn report(&mut self, field: &str, message: impl Into<String>) {
        self.problems.push(self.source.position(field), field, message);
    }

    fn resolve(&self, schema: &'a Value) -> &'a Value {
        let Some(reference) = schema["$ref"].as_str() else { return schema };
        let pointer = reference.trim_start_matches('#');
        self.root.pointer(pointer).unwrap_or(schema)
    }

    fn check_value(&mut self, value: &Value, schema: &'a Value, field: &str) {
        let schema = self.resolve(schema);
        if let Some(inner) = optional_value(schema) {
            if !value.is_null() {
                self.check_value(value, inner, field);
            }
            return;
        }
        if let Some(allowed) = enum_values(schema) {
            return self.check_enum(value, &allowed, field);
        }
        let types = types(schema);
        if !types.iter().any(|it| has_type(value, it)) {
            let expected: Vec<&str> = types.iter().map(|it| describe_type(it)).collect();
            let message =
                format!("expected {}, not {}.", expected.join(" or "), describe_value(value));
            return self.report(field, message);
        }
        match value {
            Value::Object(it) => self.check_object(it, schema, field),
            Value::Array(it) => self.check_array(it, schema, field),
            Value::Number(it) => self.check_number(it.as_f64().unwrap_or(f64::NAN), schema, field),
            Value::String(it) => self.check_string(it, schema, field),
            Value::Bool(_) | Value::Null => {}
        }
    }

    fn check_enum(&mut self, value: &Value, allowed: &[&str], field: &str) {
        let Some(text) = value.as_str() else {
            let message =
                format!("expected one of {}, not {}.", quote_all(allowed), describe_value(value));
            return self.report(field, message);
        };
        if allowed.contains(&text) {
            return;
        }
        let hint = hint(text, allowed.iter().copied());
        self.report(field, format!("expected one of {}, not {text:?}{hint}", quote_all(allowed)));
    }

    fn check_object(&mut self, object: &Map<String, Value>, schema: &'a Value, field: &str) {
        let Some(properties) = schema["properties"].as_object() else { return };
        for (name, value) in object {
            let field = child_path(field, name);
            match properties.get(name) {
                Some(schema) => self.check_value(value, schema, &field),
                None => {
                    let hint = hint(name, properties.keys().map(String::as_str));
                    self.report(&field, format!("unknown field{hint}"));
                }
            }
        }
        let required = schema["required"].as_array().into_iter().flatten();
        for name in required.filter_map(Value::as_str) {
            if !object.contains_key(name) {
                self.report(&child_path(field, name), "this required field is missing.");
            }
        }
    }

    fn check_array(&mut self, array: &[Value], schema: &'a Value, field: &str) {
        self.check_length(array.len(), schema, ["minItems", "maxItems"], "entries", field);
        for (index, value) in array.iter().enumerate() {
            self.check_value(value, &schema["items"], &format!("{field}[{index}]"));
        }
    }

    fn check_string(&mut self, text: &str, schema: &Value, field: &str) {
        let length = text.chars().count();
        self.check_length(length, schema, ["minLength", "maxLength"], "characters", field);
    }

    fn check_length(
        &mut self,
        len: usize,
        schema: &Value,
        bounds: [&str; 2],
        unit: &str,
        field: &str,
    ) {
        let len = len as u64;
        match bounds.map(|it| schema[it].as_u64()) {
            [Some(min), _] if len < min => {
                self.report(field, format!("{len} {unit} are too few: expected at least {min}."));
            }
            [_, Some(max)] if len > max => {
                self.report(field, format!("{len} {unit} are too many: expected at most {max}."));
            }
            _ => {}
        }
    }

    fn check_number(&mut self, number: f64, schema: &Value, field: &str) {
        let unit = unit(field);
        match ["minimum", "maximum"].map(|it| schema[it].as_f64()) {
            [Some(min), _] if number < min => {
                self.report(
                    field,
                    format!("{number}{unit} is too small: expected at least {min}."),
                );
            }
            [_, Some(max)] if number > max => {
                self.report(field, format!("{number}{unit} is too large: expected at most {max}."));
            }
            _ => {}
        }
    }
}

/// Returns the schema of the value of an `Option`, for which `null` means the same as an omitted
/// field.
fn optional_value(schema: &Value) -> Option<&Value> {
    let branches = schema["anyOf"].as_array()?;
    branches.iter().find(|it| it["type"] != "null")
}

/// Returns the values of an enum whose variants have no fields.
fn enum_values(schema: &Value) -> Option<Vec<&str>> {
    let undocumented = schema["enum"].as_array().into_iter().flatten();
    let documented = schema["oneOf"].as_array().into_iter().flatten();
    let documented = documented.flat_map(|it| match it["enum"].as_array() {
        Some(texts) => texts.iter().collect(),
        None => vec![&it["const"]],
    });
    let texts: Vec<&str> = undocumented.chain(documented).filter_map(Value::as_str).collect();
    (!texts.is_empty()).then_some(texts)
}

fn types(schema: &Value) -> Vec<&str> {
    match &schema["type"] {
        Value::String(it) => vec![it.as_str()],
        Value::Array(them) => them.iter().filter_map(Value::as_str).collect(),
        _ => Vec::new(),
    }
}

fn has_type(value: &Value, name: &str) -> bool {
    match name {
        "object" => value.is_object(),
        "array" => value.is_array(),
        "string" => value.is_string(),
        "boolean" => value.is_boolean(),
        "number" => value.is_number(),
        "integer" => value.is_u64() || value.is_i64(),
        "null" => value.is_null(),
        _ => false,
    }
}

fn describe_type(name: &str) -> &str {
    match name {
        "object" => "an object",
        "array" => "an array",
        "string" => "a string",
        "boolean" => "true or false",
        "integer" => "a whole number",
        "number" => "a number",
        other => other,
    }
}

fn describe_value(value: &Value) -> String {
    match value {
        Value::Object(_) => "an object".to_owned(),
        Value::Array(_) => "an array".to_owned(),
        Value::String(it) if it.chars().count() > 40 => "a string".to_owned(),
        other => other.to_string(),
    }
}

fn quote_all(names: &[&str]) -> String {
    names.iter().map(|it| format!("{it:?}")).collect::<Vec<_>>().join(", ")
}

/// Returns the end of a message about an unknown name, which suggests the most similar known name.
pub(crate) fn hint<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> String {
    match most_similar(name, known) {
        Some(similar) => format!(", did you mean {similar:?}?"),
        None => ".".to_owned(),
    }
}

/// Returns the unit in a field's suffix, with a leading space, to be appended to a number.
fn unit(field: &str) -> &'static str {
    let name = field.rsplit('.').next().unwrap_or(field);
    let parts: Vec<&str> = name.split(['_', '[']).collect();
    match parts.iter().find(|it| ["ms", "s", "bytes"].contains(it)) {
        Some(&"ms") => " ms",
        Some(&"s") => " s",
        Some(&"bytes") => " bytes",
        _ => "",
    }
}
