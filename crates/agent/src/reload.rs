//! Watches the settings file while the process runs. A changed file is parsed and the differences are logged,
//! so that errors in it show before the next start. All settings take effect at the next start only.

use std::{fs, path::PathBuf, time::Duration};

use settings::{AgentSettings, Problems};
use tokio::{signal::unix::Signal, time::sleep};

/// Interval at which the file is read, since it may change without a signal. Nothing depends on how soon a
/// change is logged; reading and checking the file takes less than a millisecond.
const CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// The settings and the path that they were read from.
#[derive(Debug, Clone)]
pub struct SettingsFile {
    pub path: PathBuf,
    pub settings: AgentSettings,
}

/// The result of comparing the file's current text with the settings in use.
#[derive(Debug, PartialEq)]
pub(crate) enum ReloadResult {
    Unchanged,
    /// The fields whose values differ.
    Changed(Vec<&'static str>),
    Invalid(Problems),
}

impl SettingsFile {
    /// Parses the file's current text and compares it with the settings in use.
    pub(crate) fn compare(&self, text: &str) -> ReloadResult {
        match AgentSettings::parse(text).map(|it| self.settings.changed_fields(&it)) {
            Ok(fields) if fields.is_empty() => ReloadResult::Unchanged,
            Ok(fields) => ReloadResult::Changed(fields),
            Err(problems) => ReloadResult::Invalid(problems),
        }
    }

    /// Reads the file at each signal and each [`CHECK_INTERVAL`]. Logs the result at each signal and when it
    /// differs from the one logged last.
    pub(crate) async fn watch(self, mut hang_up: Signal) {
        let mut logged = ReloadResult::Unchanged;
        loop {
            let is_signalled = tokio::select! {
                _ = hang_up.recv() => true,
                () = sleep(CHECK_INTERVAL) => false,
            };
            let result = match fs::read_to_string(&self.path) {
                Ok(text) => self.compare(&text),
                Err(error) => {
                    log::warn!(target: "agent", "Cannot read the settings file {}: {error}.", self.path.display());
                    continue;
                }
            };
            if is_signalled || result != logged {
                self.log_result(&result);
                logged = result;
            }
        }
    }

    fn log_result(&self, result: &ReloadResult) {
        let file = self.path.display();
        match result {
            ReloadResult::Unchanged => {
                log::info!(target: "agent", "Settings file {file} was read again; no setting has changed.");
            }
            ReloadResult::Changed(fields) => {
                let fields = fields.join(", ");
                log::warn!(
                    target: "agent",
                    "Settings file {file} has changed in {fields}; the changes take effect at the next start."
                );
            }
            ReloadResult::Invalid(problems) => {
                log::warn!(
                    target: "agent",
                    "Settings file {file} has changed and is invalid; this process keeps its settings: {problems}"
                );
            }
        }
    }
}
