//! Matching of requests to routes.

use super::document::MINIMAL;
use crate::{RouteError, ServiceDocument};

const ROUTES: &str = r#"[
    { "method": "POST", "path": "/cars/{car}/laps", "key": { "segment": "car" }, "class": "lap", "idempotent": true },
    { "method": "GET", "path": "/heats/*", "class": "lap", "idempotent": true },
    { "path": "/", "class": "lap", "idempotent": false },
]"#;

fn document(routes: &str) -> String {
    MINIMAL.replace(r#"[{ "path": "/laps/{car}", "class": "lap", "idempotent": false }]"#, routes)
}

fn check(request: &str, key_header: Option<&str>, expected: Result<(usize, &str), RouteError>) {
    let document = ServiceDocument::parse(&document(ROUTES)).unwrap();
    let (method, path) = request.split_once(' ').unwrap();
    let header = |name: &str| if name == "x-key" { key_header } else { None };
    let actual = document.route(method, path, header);
    let actual = actual.map(|it| (it.index, String::from_utf8(it.key.unwrap()).unwrap()));
    assert_eq!(actual, expected.map(|(index, key)| (index, key.to_owned())));
}

fn no_route(method: &str, path: &str) -> Result<(usize, &'static str), RouteError> {
    Err(RouteError::NoRoute { method: method.to_owned(), path: path.to_owned() })
}

#[test]
fn routes_match_by_method_and_path() {
    check("POST /cars/7/laps", None, Ok((0, "7")));
    check("GET /cars/7/laps", None, no_route("GET", "/cars/7/laps"));
    check("POST /cars/7/laps/1", None, no_route("POST", "/cars/7/laps/1"));
    check("GET /heats/3/results", Some("heat-3"), Ok((1, "heat-3")));
    check("GET /heats", Some("heat-3"), Ok((1, "heat-3")));
    check("DELETE /", Some("all"), Ok((2, "all")));
}

#[test]
fn keys_are_decoded_and_trimmed() {
    check("POST /cars/a%2Fb/laps", None, Ok((0, "a/b")));
    check("POST /cars/%37/laps", None, Ok((0, "7")));
    check("GET /heats", Some("  heat-3 "), Ok((1, "heat-3")));
}

#[test]
fn requests_without_a_key_are_refused() {
    check("POST /cars//laps", None, Err(RouteError::EmptySegment(1)));
    check("GET /heats", None, Err(RouteError::NoHeader("x-key".to_owned())));
    check("GET /heats", Some(" "), Err(RouteError::NoHeader("x-key".to_owned())));
}

#[test]
fn unreachable_routes_and_invalid_paths_are_reported() {
    let routes = r#"[
        { "path": "/a/{x}", "class": "lap", "idempotent": true },
        { "method": "GET", "path": "/a/b", "class": "lap", "idempotent": true },
        { "path": "/a/{x}/*", "class": "lap", "idempotent": true },
        { "path": "a", "class": "lap", "idempotent": true },
        { "path": "/{x}/{x}", "class": "lap", "idempotent": true },
        { "path": "/a{x}", "class": "lap", "idempotent": true },
    ]"#;
    let problems = ServiceDocument::parse(&document(routes)).unwrap_err();
    let found: Vec<String> =
        problems.iter().map(|it| format!("{}: {}", it.field, it.message)).collect();
    assert_eq!(
        found,
        [
            "routes[1]: unreachable: routes[0] matches all requests that this route matches.",
            "routes[3].path: a path must start with '/'.",
            "routes[4].path: the segment name {x} is used twice.",
            "routes[5].path: invalid segment \"a{x}\": braces must enclose a whole segment, and '*' must be the last segment.",
        ]
    );
}
