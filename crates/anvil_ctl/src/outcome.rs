//! How a command ends.

use derive_more::Display;

/// The exit status; `anvilctl --help` lists the codes.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ExitStatus {
    /// Done.
    #[display("done")]
    Done,
    /// Refused: wrong rules, a conflict, or a node that proved not to have done it.
    #[display("refused")]
    Refused,
    /// The command line or a file named on it can't be used.
    #[display("usage")]
    Usage,
    /// The node can't be reached; nothing was changed.
    #[display("unreachable")]
    Unreachable,
    /// Nobody can tell yet whether the change was made.
    #[display("unknown")]
    Unknown,
    /// The change was accepted, but isn't in force everywhere yet.
    #[display("lagging")]
    Lagging,
    /// What was asked for isn't there.
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

/// What a command leaves behind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CtlReport {
    /// For the standard output.
    pub out: String,
    /// For the standard error.
    pub err: String,
    /// The exit status.
    pub status: ExitStatus,
}

impl CtlReport {
    /// A command that did what was asked.
    pub const fn done(out: String) -> Self {
        Self {
            out,
            err: String::new(),
            status: ExitStatus::Done,
        }
    }
}

/// Why a command didn't do what was asked, and what to do about it.
#[derive(Debug)]
pub struct CtlFailure {
    /// The exit status.
    pub status: ExitStatus,
    /// The reason, with its causes.
    pub report: eyre::Report,
}

impl CtlFailure {
    /// A failure of this kind.
    pub const fn new(status: ExitStatus, report: eyre::Report) -> Self {
        Self { status, report }
    }

    /// A command line or file that can't be used.
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
