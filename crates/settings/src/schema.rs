//! Checks a value against the JSON schema of its type and reports everything that differs.
//!
//! Knows the keywords that `schemars` writes for the types of this crate; a test holds the two
//! against each other.

use serde_json::{Map, Value};

use crate::{
    problem::Problems,
    source::{Source, child},
};

/// How alike two names must be for one to be offered for the other; 1.0 is the same.
const SIMILARITY_MIN: f64 = 0.75;

/// Reports every difference between the source and the schema.
pub(crate) fn check(source: &Source, schema: &Value, problems: &mut Problems) {
    let mut checker = Checker { source, root: schema, problems };
    checker.value(&source.value, schema, "");
}

/// The known name that is most like the given one, if any is like it at all.
fn nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let scored = known.into_iter().map(|it| (strsim::jaro_winkler(name, it), it));
    let best = scored.max_by(|a, b| a.0.total_cmp(&b.0))?;
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

    fn value(&mut self, value: &Value, schema: &'a Value, field: &str) {
        let schema = self.resolve(schema);
        if let Some(inner) = optional(schema) {
            if !value.is_null() {
                self.value(value, inner, field);
            }
            return;
        }
        if let Some(choices) = choices(schema) {
            return self.choice(value, &choices, field);
        }
        let types = types(schema);
        if !types.iter().any(|it| is_a(value, it)) {
            let expected: Vec<&str> = types.iter().map(|it| described(it)).collect();
            let message = format!("expected {}, not {}.", expected.join(" or "), found(value));
            return self.report(field, message);
        }
        match value {
            Value::Object(it) => self.object(it, schema, field),
            Value::Array(it) => self.array(it, schema, field),
            Value::Number(it) => self.number(it.as_f64().unwrap_or(f64::NAN), schema, field),
            Value::String(it) => self.string(it, schema, field),
            Value::Bool(_) | Value::Null => {}
        }
    }

    fn choice(&mut self, value: &Value, choices: &[&str], field: &str) {
        let Some(text) = value.as_str() else {
            let message = format!("expected one of {}, not {}.", list(choices), found(value));
            return self.report(field, message);
        };
        if choices.contains(&text) {
            return;
        }
        let hint = hint(text, choices.iter().copied());
        self.report(field, format!("expected one of {}, not {text:?}{hint}", list(choices)));
    }

    fn object(&mut self, object: &Map<String, Value>, schema: &'a Value, field: &str) {
        let Some(properties) = schema["properties"].as_object() else { return };
        for (name, value) in object {
            let field = child(field, name);
            match properties.get(name) {
                Some(schema) => self.value(value, schema, &field),
                None => {
                    let hint = hint(name, properties.keys().map(String::as_str));
                    self.report(&field, format!("unknown field{hint}"));
                }
            }
        }
        let required = schema["required"].as_array().into_iter().flatten();
        for name in required.filter_map(Value::as_str) {
            if !object.contains_key(name) {
                self.report(&child(field, name), "this required field is missing.");
            }
        }
    }

    fn array(&mut self, array: &[Value], schema: &'a Value, field: &str) {
        self.length(array.len(), schema, ["minItems", "maxItems"], "entries", field);
        for (index, value) in array.iter().enumerate() {
            self.value(value, &schema["items"], &format!("{field}[{index}]"));
        }
    }

    fn string(&mut self, text: &str, schema: &Value, field: &str) {
        let length = text.chars().count();
        self.length(length, schema, ["minLength", "maxLength"], "characters", field);
    }

    fn length(&mut self, len: usize, schema: &Value, bounds: [&str; 2], what: &str, field: &str) {
        let len = len as u64;
        match bounds.map(|it| schema[it].as_u64()) {
            [Some(min), _] if len < min => {
                self.report(field, format!("{len} {what} are too few: expected at least {min}."));
            }
            [_, Some(max)] if len > max => {
                self.report(field, format!("{len} {what} are too many: expected at most {max}."));
            }
            _ => {}
        }
    }

    fn number(&mut self, number: f64, schema: &Value, field: &str) {
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

/// The schema within an `Option`, whose `null` says the same as leaving the field out.
fn optional(schema: &Value) -> Option<&Value> {
    let branches = schema["anyOf"].as_array()?;
    branches.iter().find(|it| it["type"] != "null")
}

/// The texts of an enum without data.
fn choices(schema: &Value) -> Option<Vec<&str>> {
    let plain = schema["enum"].as_array().into_iter().flatten();
    let documented = schema["oneOf"].as_array().into_iter().flatten();
    let documented = documented.flat_map(|it| match it["enum"].as_array() {
        Some(texts) => texts.iter().collect(),
        None => vec![&it["const"]],
    });
    let texts: Vec<&str> = plain.chain(documented).filter_map(Value::as_str).collect();
    (!texts.is_empty()).then_some(texts)
}

fn types(schema: &Value) -> Vec<&str> {
    match &schema["type"] {
        Value::String(it) => vec![it.as_str()],
        Value::Array(them) => them.iter().filter_map(Value::as_str).collect(),
        _ => Vec::new(),
    }
}

fn is_a(value: &Value, name: &str) -> bool {
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

fn described(name: &str) -> &str {
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

fn found(value: &Value) -> String {
    match value {
        Value::Object(_) => "an object".to_owned(),
        Value::Array(_) => "an array".to_owned(),
        Value::String(it) if it.chars().count() > 40 => "a string".to_owned(),
        other => other.to_string(),
    }
}

fn list(names: &[&str]) -> String {
    names.iter().map(|it| format!("{it:?}")).collect::<Vec<_>>().join(", ")
}

/// The end of a sentence about an unknown name: offers the nearest known one.
pub(crate) fn hint<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> String {
    match nearest(name, known) {
        Some(nearest) => format!(", did you mean {nearest:?}?"),
        None => ".".to_owned(),
    }
}

/// The unit that a field's suffix names, to follow a number.
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
