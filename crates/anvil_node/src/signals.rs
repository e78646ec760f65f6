//! Signals: to stop, and to look at the settings again.

use std::path::PathBuf;
use std::thread;

use anvil_core::event;
use eyre::WrapErr;
use signal_hook::consts;
use signal_hook::iterator::Signals;

use crate::{engine, reload};

/// Turns SIGTERM and SIGINT into events, of which a second one forces the stop, and has SIGHUP look
/// at the settings in `file` again.
pub fn watch(engine: engine::EngineSender, file: PathBuf) -> eyre::Result<()> {
    let signals = Signals::new([consts::SIGTERM, consts::SIGINT, consts::SIGHUP]);
    let mut signals = signals.wrap_err("signals can't be watched")?;
    let mut settings = reload::SettingsWatch::new(file);
    let waiting = move || {
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
        .spawn(waiting)
        .wrap_err("no thread for signals could be started")?;
    Ok(())
}
