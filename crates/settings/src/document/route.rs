//! Which route a request takes, and what its key is.

use std::{borrow::Cow, time::Duration};

use model::ClassName;
use percent_encoding::percent_decode_str;

/// An HTTP method that a route can ask for.
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

/// Where a request carries its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeySource {
    /// The name of a header, in lower case.
    Header(String),
    /// The index of a segment of the path, the first being 0.
    Segment(usize),
}

/// One kind of request.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// None: any method.
    pub method: Option<Method>,
    pub(crate) path: PathPattern,
    /// None exactly where the service is not divided by key.
    pub key: Option<KeySource>,
    pub class: ClassName,
    /// Whether running a request twice does no more than running it once.
    pub idempotent: bool,
    /// How long a request may take, if the caller names no shorter time.
    pub deadline: Duration,
}

/// A route that fits a request.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteMatch<'a> {
    /// The index of the route in the document.
    pub index: usize,
    pub route: &'a Route,
    /// The key's bytes, percent-decoded where it is a segment of the path; None exactly where the
    /// service is not divided by key.
    pub key: Option<Vec<u8>>,
}

/// Why a request has no route.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum RouteError {
    #[error("no route matches {method} {path}")]
    NoRoute { method: String, path: String },
    #[error("the request has no key in the header {0:?}")]
    NoHeader(String),
    #[error("the key in segment {0} of the path is empty")]
    EmptySegment(usize),
}

/// A path with `{name}` for single segments and perhaps a last `*` for the rest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PathPattern {
    segments: Vec<Segment>,
    /// Whether more segments, or none, may follow.
    open: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Segment {
    Literal(String),
    Named(String),
}

impl PathPattern {
    /// Parses a pattern; the error is a sentence.
    pub(crate) fn parse(text: &str) -> Result<PathPattern, String> {
        let Some(rest) = text.strip_prefix('/') else {
            return Err("a path must start with '/'.".to_owned());
        };
        if let Some(bad) = rest.chars().find(|it| matches!(it, '?' | '#' | '%' | ' ')) {
            return Err(format!("a path pattern must not contain {bad:?}."));
        }
        let mut parts: Vec<&str> = rest.split('/').collect();
        let open = parts.last() == Some(&"*");
        if open {
            parts.pop();
        }
        let segments = match parts.as_slice() {
            [""] => Vec::new(),
            parts => parts.iter().map(|it| segment(it)).collect::<Result<Vec<_>, String>>()?,
        };
        let pattern = PathPattern { segments, open };
        match pattern.doubled_name() {
            Some(name) => Err(format!("the segment name {{{name}}} is used twice.")),
            None => Ok(pattern),
        }
    }

    fn doubled_name(&self) -> Option<&str> {
        let names: Vec<&str> = self.names().collect();
        names.iter().enumerate().find(|(index, it)| names[..*index].contains(it)).map(|it| *it.1)
    }

    pub(crate) fn names(&self) -> impl Iterator<Item = &str> {
        self.segments.iter().filter_map(|it| match it {
            Segment::Named(name) => Some(name.as_str()),
            Segment::Literal(_) => None,
        })
    }

    /// The index of a named segment.
    pub(crate) fn index_of(&self, name: &str) -> Option<usize> {
        self.segments.iter().position(|it| matches!(it, Segment::Named(it) if it == name))
    }

    /// Whether this pattern fits every path that `other` fits.
    pub(crate) fn covers(&self, other: &PathPattern) -> bool {
        let length_fits = match self.open {
            true => other.segments.len() >= self.segments.len(),
            false => !other.open && other.segments.len() == self.segments.len(),
        };
        let mut pairs = self.segments.iter().zip(&other.segments);
        length_fits
            && pairs.all(|(a, b)| match (a, b) {
                (Segment::Named(_), _) => true,
                (Segment::Literal(a), Segment::Literal(b)) => a == b,
                (Segment::Literal(_), Segment::Named(_)) => false,
            })
    }

    fn fits(&self, path: &[Cow<'_, str>]) -> bool {
        let length_fits = match self.open {
            true => path.len() >= self.segments.len(),
            false => path.len() == self.segments.len(),
        };
        let mut pairs = self.segments.iter().zip(path);
        length_fits
            && pairs.all(|(pattern, segment)| match pattern {
                Segment::Named(_) => true,
                Segment::Literal(it) => it == segment,
            })
    }
}

fn segment(text: &str) -> Result<Segment, String> {
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

pub(crate) fn find<'r, 'h>(
    routes: &'r [Route],
    method: &str,
    path: &str,
    header: impl Fn(&str) -> Option<&'h str>,
) -> Result<RouteMatch<'r>, RouteError> {
    let segments = segments(path);
    let fits =
        |it: &Route| it.method.is_none_or(|it| it.as_str() == method) && it.path.fits(&segments);
    let Some(index) = routes.iter().position(fits) else {
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

/// The segments, decoded: two spellings of one key must not have two owners.
fn segments(path: &str) -> Vec<Cow<'_, str>> {
    match path.strip_prefix('/').unwrap_or(path) {
        "" => Vec::new(),
        path => path.split('/').map(|it| percent_decode_str(it).decode_utf8_lossy()).collect(),
    }
}
