//! Detects changes of the settings file while the node runs.
//!
//! All settings, such as addresses, keys and the zone, are applied at the start. A change takes
//! effect at the next start, so the node only logs the result of the check and keeps running
//! unchanged; the same holds for a file that it can't read.

use std::path::PathBuf;

use crate::settings;

/// The settings file and its text at the last check.
#[derive(Debug)]
pub struct SettingsWatch {
    file: PathBuf,
    text: Option<String>,
}

impl SettingsWatch {
    /// Remembers the current text of `file`.
    pub fn new(file: PathBuf) -> Self {
        let text = std::fs::read_to_string(&file).ok();
        Self { file, text }
    }

    /// Reads the file again and logs the result.
    pub fn check(&mut self) {
        let text = match std::fs::read_to_string(&self.file) {
            Ok(text) => text,
            Err(error) => {
                log::warn!("reload: outcome=unreadable reason={error}");
                return;
            }
        };
        if self.text.as_ref() == Some(&text) {
            log::info!("reload: outcome=unchanged");
            return;
        }
        match settings::parse(&text, &self.file) {
            Ok(_) => log::warn!("reload: outcome=changed effect=at the next start"),
            Err(error) => log::error!("reload: outcome=refused reason={error}"),
        }
        self.text = Some(text);
    }
}
