//! The committed JSON schemas match the code and contain only keywords that the validation
//! supports.

use std::{env, fs, path::PathBuf};

use serde_json::Value;

use crate::{AgentSettings, ServiceDocument};

/// Environment variable that makes the test rewrite the schema files before comparing them.
const UPDATE_VARIABLE: &str = "UPDATE_SCHEMAS";

/// Keywords that do not restrict a value, or whose restriction is checked when names are parsed.
const IGNORED: [&str; 7] =
    ["$schema", "title", "description", "default", "format", "pattern", "$defs"];

/// Keywords that the validation applies.
const SUPPORTED: [&str; 14] = [
    "$ref",
    "type",
    "anyOf",
    "oneOf",
    "enum",
    "const",
    "properties",
    "additionalProperties",
    "required",
    "items",
    "minItems",
    "maxItems",
    "minLength",
    "maxLength",
];

fn check(file: &str, schema: &Value) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/operators").join(file);
    let expected = format!("{schema:#}\n");
    if env::var_os(UPDATE_VARIABLE).is_some() {
        fs::write(&path, &expected).unwrap();
    }
    let actual = fs::read_to_string(&path).unwrap_or_default();
    assert!(
        actual == expected,
        "{file} does not match the code: run this test once with {UPDATE_VARIABLE}=1 to rewrite it"
    );
}

#[test]
fn committed_schemas_match_the_code() {
    check("service-document.schema.json", &ServiceDocument::json_schema());
    check("agent-settings.schema.json", &AgentSettings::json_schema());
}

/// Adds every keyword of a schema that the validation would ignore to `unknown`.
fn unknown_keywords(schema: &Value, unknown: &mut Vec<String>) {
    let Some(keywords) = schema.as_object() else { return };
    for (keyword, value) in keywords {
        match keyword.as_str() {
            "properties" | "$defs" => {
                value.as_object().unwrap().values().for_each(|it| unknown_keywords(it, unknown));
            }
            "items" => unknown_keywords(value, unknown),
            "anyOf" | "oneOf" => {
                value.as_array().unwrap().iter().for_each(|it| unknown_keywords(it, unknown));
            }
            "additionalProperties" => assert_eq!(value, &Value::Bool(false)),
            "minimum" | "maximum" => {}
            other if SUPPORTED.contains(&other) || IGNORED.contains(&other) => {}
            other => unknown.push(other.to_owned()),
        }
    }
}

#[test]
fn the_validation_supports_all_keywords_of_the_schemas() {
    let mut unknown = Vec::new();
    unknown_keywords(&ServiceDocument::json_schema(), &mut unknown);
    unknown_keywords(&AgentSettings::json_schema(), &mut unknown);
    assert_eq!(unknown, Vec::<String>::new());
}
