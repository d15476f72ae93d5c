//! Exit codes of the program.
//!
//! `docs/operators/commands.md` lists them; a test compares that page with the output of `--help`.

use std::process::ExitCode;

/// Result of a command, with its exit code as the discriminant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Success = 0,
    /// The result is negative: records differ, a node has an older revision than the one asked for,
    /// or the demo failed.
    Negative = 1,
    /// The command line is invalid.
    Usage = 2,
    /// A file or the records in force cannot be read or have invalid content, or the node or gateway
    /// cannot start, for instance because an address cannot be bound.
    Faulty = 3,
    /// The stop of a node or gateway cut requests in flight.
    RequestsCut = 4,
    /// The version in force is not the expected one, as another operator wrote first; nothing was
    /// changed.
    Conflict = 5,
    /// The update may or may not have taken effect.
    Unknown = 6,
    /// The platform or a node refused the request or did not answer. `apply` has changed nothing;
    /// `drain` may have taken effect.
    Unreachable = 7,
}

/// Exit codes with the descriptions that the help text prints.
pub const EXIT_CODES: [(Exit, &str); 8] = [
    (Exit::Success, "done"),
    (
        Exit::Negative,
        "the answer is no: a difference, an older revision, a failed demo",
    ),
    (Exit::Usage, "the command line was not understood"),
    (
        Exit::Faulty,
        "a file is faulty or an address cannot be bound",
    ),
    (Exit::RequestsCut, "the planned stop cut requests"),
    (
        Exit::Conflict,
        "another operator wrote first; nothing was changed",
    ),
    (
        Exit::Unknown,
        "whether the update took effect could not be found out",
    ),
    (
        Exit::Unreachable,
        "the platform or a node refused or did not answer",
    ),
];

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit as u8)
    }
}
