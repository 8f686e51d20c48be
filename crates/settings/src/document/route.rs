//! Matching of requests to routes, and extraction of their keys.

use std::{borrow::Cow, time::Duration};

use model::ClassName;
use percent_encoding::percent_decode_str;

/// HTTP method of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Method {
    Get,
    Head,
    Post,
    Put,
    Patch,
    Delete,
}

impl Method {
    pub fn as_str(self) -> &'static str {
        match self {
            Method::Get => "GET",
            Method::Head => "HEAD",
            Method::Post => "POST",
            Method::Put => "PUT",
            Method::Patch => "PATCH",
            Method::Delete => "DELETE",
        }
    }
}

/// Location of the key in a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeySource {
    /// Name of a header, in lower case.
    Header(String),
    /// Index of a path segment, starting at 0.
    Segment(usize),
}

/// Requests with a common path pattern, and how they are handled.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Method that the route matches; `None` if it matches any method.
    pub method: Option<Method>,
    pub(crate) path: PathPattern,
    /// Location of the key; `None` if and only if the service is not keyed.
    pub key: Option<KeySource>,
    pub class: ClassName,
    /// Whether running a request twice has the same effect as running it once.
    pub idempotent: bool,
    /// Deadline of a request, if the caller does not set a shorter one.
    pub deadline: Duration,
}

/// Route that matches a request, with the key of the request.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteMatch<'a> {
    /// Index of the route in the document.
    pub index: usize,
    pub route: &'a Route,
    /// Bytes of the key, percent-decoded if the key is a path segment; `None` if and only if the
    /// service is not keyed.
    pub key: Option<Vec<u8>>,
}

/// Reason why no route or no key was found for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum RouteError {
    #[error("no route fits {method} {path}")]
    NoRoute { method: String, path: String },
    #[error("the request has no key in its header {0:?}")]
    NoHeader(String),
    #[error("the key in segment {0} of the path is empty")]
    EmptySegment(usize),
}

/// Path pattern: `{name}` matches one segment, an optional final `*` matches the rest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PathPattern {
    segments: Vec<Segment>,
    /// Whether the pattern ends with `*` and matches any number of further segments, including
    /// none.
    matches_rest: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Segment {
    Literal(String),
    Named(String),
}

impl PathPattern {
    /// Parses a pattern. The error is a message for the operator.
    pub(crate) fn parse(text: &str) -> Result<PathPattern, String> {
        let Some(rest) = text.strip_prefix('/') else {
            return Err("a path must start with '/'.".to_owned());
        };
        if let Some(bad) = rest.chars().find(|it| matches!(it, '?' | '#' | '%' | ' ')) {
            return Err(format!("a path pattern must not contain {bad:?}."));
        }
        let mut parts: Vec<&str> = rest.split('/').collect();
        let matches_rest = parts.last() == Some(&"*");
        if matches_rest {
            parts.pop();
        }
        let segments = match parts.as_slice() {
            [""] => Vec::new(),
            parts => {
                parts.iter().map(|it| parse_segment(it)).collect::<Result<Vec<_>, String>>()?
            }
        };
        let pattern = PathPattern { segments, matches_rest };
        match pattern.duplicate_name() {
            Some(name) => Err(format!("the segment name {{{name}}} is used twice.")),
            None => Ok(pattern),
        }
    }

    fn duplicate_name(&self) -> Option<&str> {
        let names: Vec<&str> = self.segment_names().collect();
        names.iter().enumerate().find(|(index, it)| names[..*index].contains(it)).map(|it| *it.1)
    }

    pub(crate) fn segment_names(&self) -> impl Iterator<Item = &str> {
        self.segments.iter().filter_map(|it| match it {
            Segment::Named(name) => Some(name.as_str()),
            Segment::Literal(_) => None,
        })
    }

    /// Returns the index of a named segment.
    pub(crate) fn segment_index(&self, name: &str) -> Option<usize> {
        self.segments.iter().position(|it| matches!(it, Segment::Named(it) if it == name))
    }

    /// Returns whether this pattern matches every path that `other` matches.
    pub(crate) fn covers(&self, other: &PathPattern) -> bool {
        let length_matches = match self.matches_rest {
            true => other.segments.len() >= self.segments.len(),
            false => !other.matches_rest && other.segments.len() == self.segments.len(),
        };
        let mut pairs = self.segments.iter().zip(&other.segments);
        length_matches
            && pairs.all(|(a, b)| match (a, b) {
                (Segment::Named(_), _) => true,
                (Segment::Literal(a), Segment::Literal(b)) => a == b,
                (Segment::Literal(_), Segment::Named(_)) => false,
            })
    }

    fn matches(&self, path: &[Cow<'_, str>]) -> bool {
        let length_matches = match self.matches_rest {
            true => path.len() >= self.segments.len(),
            false => path.len() == self.segments.len(),
        };
        let mut pairs = self.segments.iter().zip(path);
        length_matches
            && pairs.all(|(pattern, segment)| match pattern {
                Segment::Named(_) => true,
                Segment::Literal(it) => it == segment,
            })
    }
}

fn parse_segment(text: &str) -> Result<Segment, String> {
    let name = text.strip_prefix('{').and_then(|it| it.strip_suffix('}'));
    match name {
        Some("") => Err("the segment {} has no name.".to_owned()),
        Some(name) if !name.contains(['{', '}', '*']) => Ok(Segment::Named(name.to_owned())),
        None if text.is_empty() => Err("a path must not contain an empty segment.".to_owned()),
        None if !text.contains(['{', '}', '*']) => Ok(Segment::Literal(text.to_owned())),
        _ => Err(format!(
            "invalid segment {text:?}: braces must enclose a whole segment, and '*' must be the last segment."
        )),
    }
}

/// Finds the first route that matches a request, and the key of the request.
pub(crate) fn find_route<'r, 'h>(
    routes: &'r [Route],
    method: &str,
    path: &str,
    header: impl Fn(&str) -> Option<&'h str>,
) -> Result<RouteMatch<'r>, RouteError> {
    let segments = decode_segments(path);
    let matches =
        |it: &Route| it.method.is_none_or(|it| it.as_str() == method) && it.path.matches(&segments);
    let Some(index) = routes.iter().position(matches) else {
        return Err(RouteError::NoRoute { method: method.to_owned(), path: path.to_owned() });
    };
    let route = &routes[index];
    let key = match &route.key {
        None => None,
        Some(KeySource::Header(name)) => match header(name).map(str::trim) {
            None | Some("") => return Err(RouteError::NoHeader(name.clone())),
            Some(key) => Some(key.as_bytes().to_vec()),
        },
        Some(KeySource::Segment(at)) if segments[*at].is_empty() => {
            return Err(RouteError::EmptySegment(*at));
        }
        Some(KeySource::Segment(at)) => Some(segments[*at].as_bytes().to_vec()),
    };
    Ok(RouteMatch { index, route, key })
}

/// Splits a path into percent-decoded segments. Without decoding, two encodings of the same key
/// could have different owners.
fn decode_segments(path: &str) -> Vec<Cow<'_, str>> {
    match path.strip_prefix('/').unwrap_or(path) {
        "" => Vec::new(),
        path => path.split('/').map(|it| percent_decode_str(it).decode_utf8_lossy()).collect(),
    }
}
