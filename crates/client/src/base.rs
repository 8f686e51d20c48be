//! The last line of a file, which says on which version of the document the file is based.
//!
//! It stands last so that the lines above keep their numbers in what coordinators report.

use model::{ObjectVersion, ServiceName};

const BASE_LINE_PREFIX: &str = "// pomelohill: ";
const VERSION_SEPARATOR: &str = " version ";

/// A file, apart into the document and what it is based on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SplitFile<'a> {
    /// The document, without the line.
    pub(crate) document: &'a str,
    pub(crate) base: Option<BaseVersion>,
}

/// The version of a service's document from which an edit began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct BaseVersion {
    pub(crate) service: String,
    pub(crate) version: ObjectVersion,
}

/// Takes a file apart.
pub(crate) fn split_base_line(file: &str) -> SplitFile<'_> {
    let text = file.trim_end();
    let start = text.rfind('\n').map_or(0, |it| it + 1);
    match parse_base_line(&text[start..]) {
        Some(base) => SplitFile { document: &file[..start], base: Some(base) },
        None => SplitFile { document: file, base: None },
    }
}

/// Puts a file together.
pub(crate) fn append_base_line(
    document: &str,
    service: &ServiceName,
    version: ObjectVersion,
) -> String {
    let end = if document.is_empty() || document.ends_with('\n') { "" } else { "\n" };
    format!("{document}{end}{BASE_LINE_PREFIX}{service}{VERSION_SEPARATOR}{version}\n")
}

fn parse_base_line(line: &str) -> Option<BaseVersion> {
    let (service, version) = line.strip_prefix(BASE_LINE_PREFIX)?.split_once(VERSION_SEPARATOR)?;
    let version = ObjectVersion(version.trim().parse().ok()?);
    Some(BaseVersion { service: service.to_owned(), version })
}
