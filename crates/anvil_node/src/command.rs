//! The command line of `anvil-node`.

use std::ffi::OsString;
use std::path::PathBuf;

use derive_more::{Display, Error, From};

/// What `--help` prints.
pub const HELP: &str = "\
anvil-node: the process that runs beside each target instance

USAGE:
    anvil-node --settings FILE [--check-settings] [--ready-file FILE]
    anvil-node --settings-variable NAME [...]

OPTIONS:
    --settings FILE     Settings of this instance, in YAML; see docs/OPERATIONS.md
    --settings-variable NAME
                        Take the settings file's path from the environment variable NAME
    --check-settings    Check the settings, say what is wrong and stop
    --ready-file FILE   Write the bound addresses as JSON to FILE once the node serves
    --log-level LEVEL   off, error, warn, info (default) or debug
    --help              Print this
    --version           Print the version

EXIT CODES:
    0    stopped as asked, or the settings are good
    1    the node could not start or lost a thread that it needs
    2    the command line or the settings are refused

SIGNALS:
    SIGTERM or SIGINT stops the node gracefully; a second one stops it at once, but
    not where the settings tell after which grace the process is killed anyway.
    SIGHUP reads the settings again and logs whether they changed.
";

/// What the process is asked to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeCommand {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Check settings and stop.
    Check {
        /// The settings file.
        settings: PathBuf,
    },
    /// Run a node.
    Run {
        /// The settings file.
        settings: PathBuf,
        /// Where to write the bound addresses.
        ready: Option<PathBuf>,
        /// Log lines below this level are left out.
        level: log::LevelFilter,
    },
}

/// Why the command line was refused.
#[derive(Debug, Display, Error, From)]
pub enum CommandError {
    /// An option is missing or malformed.
    #[display("{_0}")]
    Option(pico_args::Error),
    /// The environment variable that should name the settings file is not set.
    #[display("the environment variable {_0} is not set")]
    #[from(skip)]
    VariableNotSet(#[error(not(source))] String),
    /// An argument is not known.
    #[display("the argument {_0:?} is not known")]
    #[from(skip)]
    UnknownArgument(#[error(not(source))] OsString),
}

/// Reads the command line.
pub fn parse(mut arguments: pico_args::Arguments) -> Result<NodeCommand, CommandError> {
    if arguments.contains(["-h", "--help"]) {
        return Ok(NodeCommand::Help);
    }
    if arguments.contains(["-V", "--version"]) {
        return Ok(NodeCommand::Version);
    }
    let check = arguments.contains("--check-settings");
    let variable: Option<String> = arguments.opt_value_from_str("--settings-variable")?;
    let settings: PathBuf = match variable {
        Some(variable) => std::env::var_os(&variable)
            .map(PathBuf::from)
            .ok_or(CommandError::VariableNotSet(variable))?,
        None => arguments.value_from_str("--settings")?,
    };
    let ready = arguments.opt_value_from_str("--ready-file")?;
    let level = arguments.opt_value_from_str("--log-level")?;
    if let Some(unknown) = arguments.finish().into_iter().next() {
        return Err(CommandError::UnknownArgument(unknown));
    }
    if check {
        return Ok(NodeCommand::Check { settings });
    }
    Ok(NodeCommand::Run {
        settings,
        ready,
        level: level.unwrap_or(log::LevelFilter::Info),
    })
}
