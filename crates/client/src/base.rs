//! The base line: the last line of a file, which names the version that the file's document is based on.
//!
//! It is the last line so that line numbers in the problems that coordinators report match the file.

use model::{ObjectVersion, ServiceName};

const BASE_LINE_PREFIX: &str = "// pomelohill: ";
const VERSION_SEPARATOR: &str = " version ";

/// A file split into its document and its base version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SplitFile<'a> {
    /// The document without the base line.
    pub(crate) document: &'a str,
    /// `None` if the file has no valid base line.
    pub(crate) base: Option<BaseVersion>,
}

/// The service and version that an edited document is based on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct BaseVersion {
    pub(crate) service: String,
    pub(crate) version: ObjectVersion,
}

/// Splits a file into its document and its base line.
pub(crate) fn split_base_line(file: &str) -> SplitFile<'_> {
    let text = file.trim_end();
    let start = text.rfind('\n').map_or(0, |it| it + 1);
    match parse_base_line(&text[start..]) {
        Some(base) => SplitFile { document: &file[..start], base: Some(base) },
        None => SplitFile { document: file, base: None },
    }
}

/// Appends the base line to a document.
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
