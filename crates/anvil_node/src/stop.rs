//! Signals that ask the process to stop.

use std::thread;

use anvil_core::event;
use eyre::WrapErr;
use signal_hook::consts;
use signal_hook::iterator::Signals;

use crate::engine;

/// Turns SIGTERM and SIGINT into events; a second one forces the stop.
pub fn watch(engine: engine::EngineSender) -> eyre::Result<()> {
    let signals = Signals::new([consts::SIGTERM, consts::SIGINT]);
    let mut signals = signals.wrap_err("signals can't be watched")?;
    let waiting = move || {
        for _ in signals.forever() {
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
