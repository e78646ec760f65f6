//! Structured logs: one JSON line on standard error per change of state.

use eyre::WrapErr;
use log4rs::append::console;
use log4rs::config;
use log4rs::encode::json;

/// Starts logging at `level`; fails where logging was started before.
pub fn start(level: log::LevelFilter) -> eyre::Result<()> {
    let encoder = Box::new(json::JsonEncoder::new());
    let console = console::ConsoleAppender::builder()
        .target(console::Target::Stderr)
        .encoder(encoder)
        .build();
    let appender = config::Appender::builder().build("console", Box::new(console));
    let root = config::Root::builder().appender("console").build(level);
    let config = config::Config::builder().appender(appender).build(root);
    let config = config.wrap_err("the log configuration is refused")?;
    log4rs::init_config(config).wrap_err("logging was started before")?;
    Ok(())
}
