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
    --check-settings    Check the settings, report errors and exit
    --ready-file FILE   Write the bound addresses as JSON to FILE once the node is serving
    --log-level LEVEL   off, error, warn, info (default) or debug
    --help              Print this help
    --version           Print the version

EXIT CODES:
    0    stopped on request, or the settings are valid
    1    the node could not start, or a thread that it needs failed
    2    the command line or the settings are refused

SIGNALS:
    SIGTERM or SIGINT stops the node gracefully; a second one stops it at once, unless
    the settings state the grace period after which the process is killed anyway.
    SIGHUP reads the settings file again and logs whether it changed.
";

/// What the command line requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeCommand {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Check the settings and exit.
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
        /// Log lines less severe than this level are omitted.
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
    /// An argument is unknown.
    #[display("unknown argument {_0:?}")]
    #[from(skip)]
    UnknownArgument(#[error(not(source))] OsString),
}

/// Parses the command line.
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
    if let Some(argument) = arguments.finish().into_iter().next() {
        return Err(CommandError::UnknownArgument(argument));
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
