//! Exit codes. `docs/operators/commands.md` lists them; a test compares the page with `--help`.

use std::process::ExitCode;

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Done.
    Success = 0,
    /// The answer is no: sets differ, a revision is not in force everywhere, the demo failed.
    Negative = 1,
    /// The command line was not understood.
    Usage = 2,
    /// A file cannot be read or is faulty, or an address cannot be bound.
    Faulty = 3,
    /// The planned stop cut requests.
    Cut = 4,
    /// Another operator wrote first; nothing was changed.
    LostRace = 5,
    /// Whether the update took effect could not be found out.
    Unknown = 6,
    /// The platform or a node refused or did not answer; nothing was changed.
    Unreachable = 7,
}

/// Exit codes with their meaning, for the help text.
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
    (Exit::Cut, "the planned stop cut requests"),
    (
        Exit::LostRace,
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
