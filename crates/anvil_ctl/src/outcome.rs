//! Exit status and output of a command.

use derive_more::Display;

/// The exit status; `anvilctl --help` lists the codes.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ExitStatus {
    /// Done.
    #[display("done")]
    Done,
    /// Refused: invalid rules, a conflict, or a change that was certainly not applied.
    #[display("refused")]
    Refused,
    /// The command line or a file given on it can't be used.
    #[display("usage")]
    Usage,
    /// The node can't be reached; nothing was changed.
    #[display("unreachable")]
    Unreachable,
    /// It is not known whether the change was applied.
    #[display("unknown")]
    Unknown,
    /// The change was accepted but is not yet in force everywhere.
    #[display("lagging")]
    Lagging,
    /// The requested item was not found.
    #[display("absent")]
    Absent,
}

impl ExitStatus {
    /// The code for the process.
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::Usage => 2,
            Self::Unreachable => 3,
            Self::Unknown => 4,
            Self::Lagging => 5,
            Self::Absent => 6,
        }
    }
}

/// The result of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CtlReport {
    /// Text for the standard output.
    pub out: String,
    /// Text for the standard error.
    pub err: String,
    /// The exit status.
    pub status: ExitStatus,
}

impl CtlReport {
    /// The report of a successful command.
    pub const fn done(out: String) -> Self {
        Self {
            out,
            err: String::new(),
            status: ExitStatus::Done,
        }
    }
}

/// Why a command failed, with advice to the operator.
#[derive(Debug)]
pub struct CtlFailure {
    /// The exit status.
    pub status: ExitStatus,
    /// The reason, with its causes.
    pub report: eyre::Report,
}

impl CtlFailure {
    /// A failure with the given exit status.
    pub const fn new(status: ExitStatus, report: eyre::Report) -> Self {
        Self { status, report }
    }

    /// A failure due to a command line or file that can't be used.
    pub const fn usage(report: eyre::Report) -> Self {
        Self::new(ExitStatus::Usage, report)
    }
}

impl From<CtlFailure> for CtlReport {
    fn from(failure: CtlFailure) -> Self {
        Self {
            out: String::new(),
            err: format!("anvilctl: {:#}\n", failure.report),
            status: failure.status,
        }
    }
}
