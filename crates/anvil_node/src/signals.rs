//! Handles signals: stop requests, and checks of the settings file.

use std::path::PathBuf;
use std::thread;

use anvil_core::event;
use eyre::WrapErr;
use signal_hook::consts;
use signal_hook::iterator::Signals;

use crate::{engine, reload};

/// Starts a thread that turns SIGTERM and SIGINT into stop requests, of which a second one forces
/// the stop, and checks the settings in `file` again on SIGHUP.
pub fn watch(engine: engine::EngineSender, file: PathBuf) -> eyre::Result<()> {
    let signals = Signals::new([consts::SIGTERM, consts::SIGINT, consts::SIGHUP]);
    let mut signals = signals.wrap_err("signals can't be watched")?;
    let mut settings = reload::SettingsWatch::new(file);
    let handle_signals = move || {
        for signal in signals.forever() {
            if signal == consts::SIGHUP {
                settings.check();
                continue;
            }
            let requested = engine::EngineInput::Event(event::NodeEvent::StopRequested);
            if engine.send(requested).is_err() {
                return;
            }
        }
    };
    let builder = thread::Builder::new().name("signals".to_owned());
    builder
        .spawn(handle_signals)
        .wrap_err("no thread for signals could be started")?;
    Ok(())
}
