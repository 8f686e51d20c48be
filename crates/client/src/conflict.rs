//! The message for a document that another operator changed since the edit's base version.

use model::{ObjectVersion, ServiceName};
use similar::TextDiff;

/// Number of unchanged lines shown around each change.
const CONTEXT_LINES: usize = 3;

/// Returns the unified diff of two texts, each given with its name; empty if they are equal.
pub(crate) fn difference(old: (&str, &str), new: (&str, &str)) -> String {
    let diff = TextDiff::from_lines(old.1, new.1);
    diff.unified_diff().context_radius(CONTEXT_LINES).header(old.0, new.0).to_string()
}

/// An edit whose base version is no longer the current version.
pub(crate) struct Conflict<'a> {
    pub(crate) service: &'a ServiceName,
    pub(crate) file: &'a str,
    pub(crate) edited_text: &'a str,
    pub(crate) base: ObjectVersion,
    /// The text of the base version, if the platform still holds it.
    pub(crate) base_text: Option<&'a str>,
    pub(crate) current_text: &'a str,
    pub(crate) current: ObjectVersion,
}

impl Conflict<'_> {
    /// Returns the error message: both versions, both diffs and the commands that resolve the conflict.
    pub(crate) fn explain(&self) -> String {
        let Conflict { service, file, base, current, .. } = self;
        let mut text = format!(
            "{service} has changed: your file is based on version {base}, but the current \
             version is {current}. Nothing was written.\n\n"
        );
        if let Some(base_text) = self.base_text {
            let old = format!("version {base}, the base of your file");
            let new = format!("version {current}, current");
            text += "Changes since the base version of your file:\n";
            text += &difference((&old, base_text), (&new, self.current_text));
            text.push('\n');
        }
        let old = format!("version {current}, current");
        text += "Changes from the current version to your file:\n";
        text += &difference((&old, self.current_text), (file, self.edited_text));
        text += &format!(
            "\nTo resolve the conflict, make your change in the current version and apply that:\n  \
             pomelohill get {service} > {service}-{current}.jsonc"
        );
        text
    }
}
