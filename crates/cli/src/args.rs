//! The command line of `bronzeport`.

use std::ffi::OsString;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use lexopt::{Arg, Parser, ValueExt};

/// The text of `--help`.
pub const HELP: &str = "\
bronzeport: drives the load balancer

usage:
  bronzeport check PATH...                      check service files or folders of them
  bronzeport publish --platform A PATH...       put service files into force
  bronzeport history --platform A               what changed, when and by whom
  bronzeport show --platform A [--daemons A,A]  what is in force, and where it is not yet
  bronzeport status --daemons A,A               targets with their state and load
  bronzeport drain --daemons A,A                let the targets beside these daemons leave
  bronzeport explain --daemons A,A ID           what was decided about a request
  bronzeport explain --log FILE... ID           the same, from log files

options:
  --platform IP:PORT   the table service            [BRONZEPORT_PLATFORM]
  --daemons IP:PORT,.. admin addresses of daemons   [BRONZEPORT_DAEMONS]
  --who NAME           who publishes                [BRONZEPORT_WHO, USER]
  --remove SERVICE     with publish: remove a service, may be repeated
  --log FILE           with explain: a daemon's log, may be repeated; - is the input
  --limit N            with history: newest entries [20]
  --json               print JSON for programs
  --help, --version

exit codes:
  0 done   1 not done   2 wrong usage or findings in files
  3 another publisher was first   4 not known whether it is done
";

/// A command and its options.
#[derive(Debug)]
pub struct Args {
    /// What to do.
    pub command: Command,
    /// Address of the table service.
    pub platform: Option<SocketAddr>,
    /// Admin addresses of daemons.
    pub daemons: Vec<SocketAddr>,
    /// Who publishes.
    pub who: Box<str>,
    /// Log files to explain from.
    pub logs: Vec<PathBuf>,
    /// Services to remove.
    pub remove: Vec<Box<str>>,
    /// Entries of the history to show.
    pub limit: usize,
    /// Whether to print JSON.
    pub json: bool,
    /// Operands.
    pub operands: Vec<PathBuf>,
}

/// What to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Check service files.
    Check,
    /// Put service files into force.
    Publish,
    /// Print the audit trail.
    History,
    /// Print what is in force.
    Show,
    /// Print targets with their state.
    Status,
    /// Let targets leave.
    Drain,
    /// Print the decisions about a request.
    Explain,
    /// Print the help.
    Help,
    /// Print the version.
    Version,
}

/// What is wrong with the command line.
#[derive(Debug, PartialEq, Eq)]
pub struct UsageError(Box<str>);

impl fmt::Display for UsageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}; see bronzeport --help", self.0)
    }
}

impl std::error::Error for UsageError {}

impl From<lexopt::Error> for UsageError {
    fn from(error: lexopt::Error) -> Self {
        Self(error.to_string().into())
    }
}

const COMMANDS: [(&str, Command); 7] = [
    ("check", Command::Check),
    ("publish", Command::Publish),
    ("history", Command::History),
    ("show", Command::Show),
    ("status", Command::Status),
    ("drain", Command::Drain),
    ("explain", Command::Explain),
];

/// Reads the command line; variables fill in what it leaves out.
pub fn read(args: impl IntoIterator<Item = OsString>) -> Result<Args, UsageError> {
    let mut parser = Parser::from_args(args);
    let mut command = None;
    let mut read = Args {
        command: Command::Help,
        platform: None,
        daemons: Vec::new(),
        who: variable("BRONZEPORT_WHO").or_else(|| variable("USER")).unwrap_or("unknown".into()),
        logs: Vec::new(),
        remove: Vec::new(),
        limit: 20,
        json: false,
        operands: Vec::new(),
    };
    if let Some(text) = variable("BRONZEPORT_PLATFORM") {
        read.platform = Some(scan_address("BRONZEPORT_PLATFORM", &text)?);
    }
    if let Some(text) = variable("BRONZEPORT_DAEMONS") {
        read.daemons = scan_addresses("BRONZEPORT_DAEMONS", &text)?;
    }
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("help") | Arg::Short('h') => command = Some(Command::Help),
            Arg::Long("version") | Arg::Short('V') => command = Some(Command::Version),
            Arg::Long("json") => read.json = true,
            Arg::Long("platform") => {
                read.platform = Some(scan_address("--platform", &parser.value()?.string()?)?);
            }
            Arg::Long("daemons") => {
                read.daemons = scan_addresses("--daemons", &parser.value()?.string()?)?;
            }
            Arg::Long("who") => read.who = parser.value()?.string()?.into(),
            Arg::Long("remove") => read.remove.push(parser.value()?.string()?.into()),
            Arg::Long("log") => read.logs.push(parser.value()?.into()),
            Arg::Long("limit") => read.limit = parser.value()?.parse()?,
            Arg::Value(value) if command.is_none() => {
                let name = value.string()?;
                let found = COMMANDS.iter().find(|(known, _)| *known == name);
                let found = found.ok_or_else(|| usage(format!("unknown command {name}")))?;
                command = Some(found.1);
            }
            Arg::Value(value) => read.operands.push(value.into()),
            other => return Err(other.unexpected().into()),
        }
    }
    read.command = command.ok_or_else(|| usage("no command".into()))?;
    check(read)
}

fn check(args: Args) -> Result<Args, UsageError> {
    let needs_platform =
        matches!(args.command, Command::Publish | Command::History | Command::Show);
    let needs_daemons = matches!(args.command, Command::Status | Command::Drain)
        || (args.command == Command::Explain && args.logs.is_empty());
    if needs_platform && args.platform.is_none() {
        return Err(usage("--platform is missing".into()));
    }
    if needs_daemons && args.daemons.is_empty() {
        return Err(usage("--daemons is missing".into()));
    }
    let needs_path = args.command == Command::Check
        || (args.command == Command::Publish && args.remove.is_empty());
    if needs_path && args.operands.is_empty() {
        return Err(usage("no file or folder is given".into()));
    }
    if args.command == Command::Explain && args.operands.len() != 1 {
        return Err(usage("explain takes one request id".into()));
    }
    Ok(args)
}

fn usage(text: String) -> UsageError {
    UsageError(text.into())
}

fn variable(name: &str) -> Option<Box<str>> {
    std::env::var(name).ok().filter(|text| !text.is_empty()).map(Box::from)
}

fn scan_address(place: &str, text: &str) -> Result<SocketAddr, UsageError> {
    text.parse().map_err(|_| usage(format!("{place}: expected IP:PORT, found `{text}`")))
}

fn scan_addresses(place: &str, text: &str) -> Result<Vec<SocketAddr>, UsageError> {
    text.split(',').map(|part| scan_address(place, part.trim())).collect()
}
