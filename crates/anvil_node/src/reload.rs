//! Settings that change while the node runs.
//!
//! Everything that settings name is bound at the start: addresses, keys, the zone. A change of them
//! takes effect at the next start, so the node says what it found and serves on as it is; a file that
//! it can't read is told and changes nothing.

use std::path::PathBuf;

use crate::settings;

/// The settings file and what it held at the last look.
#[derive(Debug)]
pub struct SettingsWatch {
    file: PathBuf,
    text: Option<String>,
}

impl SettingsWatch {
    /// Watches `file`, as it is now.
    pub fn new(file: PathBuf) -> Self {
        let text = std::fs::read_to_string(&file).ok();
        Self { file, text }
    }

    /// Looks at the file again and logs what came of it.
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
