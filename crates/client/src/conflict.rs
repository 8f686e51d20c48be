//! What is said when two people have edited one document.

use model::{ObjectVersion, ServiceName};
use similar::TextDiff;

/// How many lines are shown around each change.
const CONTEXT_LINES: usize = 3;

/// The difference of two texts; empty if there is none.
pub(crate) fn difference(old: (&str, &str), new: (&str, &str)) -> String {
    let diff = TextDiff::from_lines(old.1, new.1);
    diff.unified_diff().context_radius(CONTEXT_LINES).header(old.0, new.0).to_string()
}

/// All that is known of an edit that came too late.
pub(crate) struct Conflict<'a> {
    pub(crate) service: &'a ServiceName,
    pub(crate) file: &'a str,
    pub(crate) edited_text: &'a str,
    pub(crate) base: ObjectVersion,
    /// The text of the base, if it is still to be had.
    pub(crate) base_text: Option<&'a str>,
    pub(crate) current_text: &'a str,
    pub(crate) current: ObjectVersion,
}

impl Conflict<'_> {
    /// The whole story: who was first, what changed there, and how to go on.
    pub(crate) fn explain(&self) -> String {
        let Conflict { service, file, base, current, .. } = self;
        let mut text = format!(
            "{service} was changed by someone else: your file is based on version {base}, the \
             service has version {current}. Nothing was written.\n\n"
        );
        if let Some(base_text) = self.base_text {
            let old = format!("version {base}, yours began here");
            let new = format!("version {current}, theirs");
            text += "What they changed:\n";
            text += &difference((&old, base_text), (&new, self.current_text));
            text.push('\n');
        }
        let old = format!("version {current}, theirs");
        text += "How your file differs from current_text:\n";
        text += &difference((&old, self.current_text), (file, self.edited_text));
        text += &format!(
            "\nTo go on, put your change into theirs and apply that:\n  \
             pomelohill get {service} > {service}-{current}.jsonc"
        );
        text
    }
}
