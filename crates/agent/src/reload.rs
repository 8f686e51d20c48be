//! The settings file, should it change while the process runs: it is checked and what differs is told, so
//! that a fault in it shows before the next start needs it. All settings take effect at a start.

use std::{fs, path::PathBuf, time::Duration};

use settings::{AgentSettings, Problems};
use tokio::{signal::unix::Signal, time::sleep};

/// How often the file is looked at, for it may change without a signal. Nothing depends on how soon that
/// is told; to read and check it takes less than a millisecond.
const LOOK_EVERY: Duration = Duration::from_secs(10);

/// The settings and where they were read from.
#[derive(Debug, Clone)]
pub struct SettingsFile {
    pub path: PathBuf,
    pub settings: AgentSettings,
}

/// What a text that is read again means.
#[derive(Debug, PartialEq)]
pub(crate) enum Reread {
    Same,
    /// Other values of these fields.
    Differs(Vec<&'static str>),
    Faulty(Problems),
}

impl SettingsFile {
    pub(crate) fn reread(&self, text: &str) -> Reread {
        match AgentSettings::parse(text).map(|it| self.settings.changed_fields(&it)) {
            Ok(fields) if fields.is_empty() => Reread::Same,
            Ok(fields) => Reread::Differs(fields),
            Err(problems) => Reread::Faulty(problems),
        }
    }

    /// Looks at the file at each signal, and now and then; tells of what it means when that has changed,
    /// and at each signal.
    pub(crate) async fn watch(self, mut hang_up: Signal) {
        let mut told = Reread::Same;
        loop {
            let asked = tokio::select! {
                _ = hang_up.recv() => true,
                () = sleep(LOOK_EVERY) => false,
            };
            let found = match fs::read_to_string(&self.path) {
                Ok(text) => self.reread(&text),
                Err(error) => {
                    log::warn!(target: "agent", "{}: {error}.", self.path.display());
                    continue;
                }
            };
            if asked || found != told {
                self.tell(&found);
                told = found;
            }
        }
    }

    fn tell(&self, reread: &Reread) {
        let file = self.path.display();
        match reread {
            Reread::Same => {
                log::info!(target: "agent", "{file} was read again: nothing has changed.");
            }
            Reread::Differs(fields) => {
                let fields = fields.join(", ");
                log::warn!(
                    target: "agent",
                    "{file} has changed: {fields}. This takes effect at the next start."
                );
            }
            Reread::Faulty(problems) => {
                log::warn!(
                    target: "agent",
                    "{file} has changed and can't be used; this process goes on without it: {problems}"
                );
            }
        }
    }
}
