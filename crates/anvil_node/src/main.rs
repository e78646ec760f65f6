//! The node process; see the library `anvil_node` for its parts.

use std::path::Path;
use std::process::ExitCode;

use anvil_node::{command, logs, node, settings, signals};
use eyre::WrapErr;

/// Exit code for a refused command line or refused settings.
const EXIT_REFUSED: u8 = 2;

fn main() -> ExitCode {
    let arguments = pico_args::Arguments::from_env();
    let command = match command::parse(arguments) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("anvil-node: {error}; see --help");
            return ExitCode::from(EXIT_REFUSED);
        }
    };
    match command {
        command::NodeCommand::Help => {
            print!("{}", command::HELP);
            ExitCode::SUCCESS
        }
        command::NodeCommand::Version => {
            println!("anvil-node {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        command::NodeCommand::Check { settings } => with_settings(&settings, |_| {
            println!("{}: the settings are valid", settings.display());
            ExitCode::SUCCESS
        }),
        command::NodeCommand::Run {
            settings: file,
            ready,
            level,
        } => with_settings(&file, |settings| {
            match run(&settings, &file, ready.as_deref(), level) {
                Ok(()) => ExitCode::SUCCESS,
                Err(error) => {
                    eprintln!("anvil-node: {error:#}");
                    ExitCode::FAILURE
                }
            }
        }),
    }
}

fn with_settings<F>(file: &Path, action: F) -> ExitCode
where
    F: FnOnce(settings::NodeSettings) -> ExitCode,
{
    match settings::load(file) {
        Ok(settings) => action(settings),
        Err(error) => {
            eprintln!("anvil-node: {error}");
            ExitCode::from(EXIT_REFUSED)
        }
    }
}

fn run(
    settings: &settings::NodeSettings,
    file: &Path,
    ready: Option<&Path>,
    level: log::LevelFilter,
) -> eyre::Result<()> {
    let queue = logs::start(level)?;
    let facts = serde_json::json!({
        "event": "starting",
        "version": env!("CARGO_PKG_VERSION"),
        "settings": file.display().to_string(),
    });
    log::info!("{facts}");
    let running = node::start(settings)?;
    signals::watch(running.engine().clone(), file.to_owned())?;
    let bound = serde_json::to_string(running.bound()).wrap_err("addresses as JSON")?;
    if let Some(file) = ready {
        write_atomically(file, &bound)?;
    }
    log::info!("node serving: {bound}");
    let result = running.wait();
    let facts = serde_json::json!({ "event": "stopped", "clean": result.is_ok() });
    log::info!("{facts}");
    queue.flush();
    result
}

/// Writes a temporary file and renames it, so that a reader never sees a part of the text.
fn write_atomically(file: &Path, text: &str) -> eyre::Result<()> {
    let temporary = file.with_extension("part");
    std::fs::write(&temporary, text).wrap_err("the ready file can't be written")?;
    std::fs::rename(&temporary, file).wrap_err("the ready file can't be renamed")
}
