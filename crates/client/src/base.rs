//! The last line of a file, which says on which version of the document the file is based.
//!
//! It stands last so that the lines above keep their numbers in what coordinators report.

use model::{ObjectVersion, ServiceName};

const MARK: &str = "// pomelohill: ";
const BETWEEN: &str = " version ";

/// A file, apart into the document and what it is based on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Based<'a> {
    /// The document, without the line.
    pub(crate) document: &'a str,
    pub(crate) base: Option<Base>,
}

/// The version of a service's document from which an edit began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Base {
    pub(crate) service: String,
    pub(crate) version: ObjectVersion,
}

/// Takes a file apart.
pub(crate) fn split(file: &str) -> Based<'_> {
    let text = file.trim_end();
    let start = text.rfind('\n').map_or(0, |it| it + 1);
    match parse(&text[start..]) {
        Some(base) => Based { document: &file[..start], base: Some(base) },
        None => Based { document: file, base: None },
    }
}

/// Puts a file together.
pub(crate) fn join(document: &str, service: &ServiceName, version: ObjectVersion) -> String {
    let end = if document.is_empty() || document.ends_with('\n') { "" } else { "\n" };
    format!("{document}{end}{MARK}{service}{BETWEEN}{version}\n")
}

fn parse(line: &str) -> Option<Base> {
    let (service, version) = line.strip_prefix(MARK)?.split_once(BETWEEN)?;
    let version = ObjectVersion(version.trim().parse().ok()?);
    Some(Base { service: service.to_owned(), version })
}
