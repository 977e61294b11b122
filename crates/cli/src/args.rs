//! Parses the command line of `bronzeport`.

use std::ffi::OsString;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use lexopt::{Arg, Parser, ValueExt};

use crate::table;

/// The text that `--help` prints.
pub const HELP: &str = "\
bronzeport: drives the load balancer

usage:
  bronzeport check PATH...                      check service files or folders of them
  bronzeport check [--against FILE] TABLE.json  check a route table, and compare it
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
  --accept-copy        with publish: take what the store has as complete, although it came
                       back from an older copy and no daemon can tell what is missing
  --against FILE       with check: print what a route table changes against this one
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
    /// The command to run.
    pub command: Command,
    /// Address of the platform's table store.
    pub platform: Option<SocketAddr>,
    /// Admin addresses of daemons.
    pub daemons: Vec<SocketAddr>,
    /// Name of the publisher, which is recorded in the history.
    pub who: Box<str>,
    /// Log files that `explain` reads instead of querying the daemons.
    pub logs: Vec<PathBuf>,
    /// Services that `publish` removes.
    pub remove: Vec<Box<str>>,
    /// Whether `publish` takes what a restored store has as in force.
    pub accept_copy: bool,
    /// Route table that `check` compares another one with.
    pub against: Option<PathBuf>,
    /// Maximum number of history entries to print.
    pub limit: usize,
    /// Whether to print results as JSON.
    pub json: bool,
    /// Operands of the command: paths of service files, or the id of a request.
    pub operands: Vec<PathBuf>,
}

/// The commands of `bronzeport`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Check service files.
    Check,
    /// Publish service files, which puts them into force.
    Publish,
    /// Print the audit trail.
    History,
    /// Print the revision in force and the daemons that do not have it yet.
    Show,
    /// Print the targets and their state.
    Status,
    /// Drain targets: they get no new requests and finish those in flight.
    Drain,
    /// Print the decisions that daemons made about a request.
    Explain,
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
}

/// An error in the command line.
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

/// Parses the command line. Environment variables supply `--platform`, `--daemons` and
/// `--who` where the command line omits them.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Args, UsageError> {
    let mut parser = Parser::from_args(args);
    let mut command = None;
    let mut args = Args {
        command: Command::Help,
        platform: None,
        daemons: Vec::new(),
        who: env_var("BRONZEPORT_WHO").or_else(|| env_var("USER")).unwrap_or("unknown".into()),
        logs: Vec::new(),
        remove: Vec::new(),
        accept_copy: false,
        against: None,
        limit: 20,
        json: false,
        operands: Vec::new(),
    };
    if let Some(text) = env_var("BRONZEPORT_PLATFORM") {
        args.platform = Some(scan_address("BRONZEPORT_PLATFORM", &text)?);
    }
    if let Some(text) = env_var("BRONZEPORT_DAEMONS") {
        args.daemons = scan_addresses("BRONZEPORT_DAEMONS", &text)?;
    }
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("help") | Arg::Short('h') => command = Some(Command::Help),
            Arg::Long("version") | Arg::Short('V') => command = Some(Command::Version),
            Arg::Long("json") => args.json = true,
            Arg::Long("platform") => {
                args.platform = Some(scan_address("--platform", &parser.value()?.string()?)?);
            }
            Arg::Long("daemons") => {
                args.daemons = scan_addresses("--daemons", &parser.value()?.string()?)?;
            }
            Arg::Long("who") => args.who = parser.value()?.string()?.into(),
            Arg::Long("remove") => args.remove.push(parser.value()?.string()?.into()),
            Arg::Long("accept-copy") => args.accept_copy = true,
            Arg::Long("against") => args.against = Some(parser.value()?.into()),
            Arg::Long("log") => args.logs.push(parser.value()?.into()),
            Arg::Long("limit") => args.limit = parser.value()?.parse()?,
            Arg::Value(value) if command.is_none() => {
                let name = value.string()?;
                let found = COMMANDS.iter().find(|(command_name, _)| *command_name == name);
                let found = found.ok_or_else(|| usage_error(format!("unknown command {name}")))?;
                command = Some(found.1);
            }
            Arg::Value(value) => args.operands.push(value.into()),
            other => return Err(other.unexpected().into()),
        }
    }
    args.command = command.ok_or_else(|| usage_error("no command is given".into()))?;
    validate(args)
}

/// Checks that the options and operands that the command requires are present.
fn validate(args: Args) -> Result<Args, UsageError> {
    let needs_platform =
        matches!(args.command, Command::Publish | Command::History | Command::Show);
    let needs_daemons = matches!(args.command, Command::Status | Command::Drain)
        || (args.command == Command::Explain && args.logs.is_empty());
    if needs_platform && args.platform.is_none() {
        return Err(usage_error("--platform is missing".into()));
    }
    if needs_daemons && args.daemons.is_empty() {
        return Err(usage_error("--daemons is missing".into()));
    }
    let needs_path = args.command == Command::Check
        || (args.command == Command::Publish && args.remove.is_empty());
    if needs_path && args.operands.is_empty() {
        return Err(usage_error("no file or folder is given".into()));
    }
    let is_one_table = args.operands.len() == 1 && table::is_table(&args.operands[0]);
    if args.against.is_some() && !(args.command == Command::Check && is_one_table) {
        return Err(usage_error("--against is for the check of one route table (.json)".into()));
    }
    if args.command == Command::Explain && args.operands.len() != 1 {
        return Err(usage_error("explain takes one request id".into()));
    }
    Ok(args)
}

fn usage_error(text: String) -> UsageError {
    UsageError(text.into())
}

fn env_var(name: &str) -> Option<Box<str>> {
    std::env::var(name).ok().filter(|text| !text.is_empty()).map(Box::from)
}

/// Parses an address. `source` names the option or environment variable in an error.
fn scan_address(source: &str, text: &str) -> Result<SocketAddr, UsageError> {
    text.parse().map_err(|_| usage_error(format!("{source}: expected IP:PORT, found `{text}`")))
}

fn scan_addresses(source: &str, text: &str) -> Result<Vec<SocketAddr>, UsageError> {
    text.split(',').map(|part| scan_address(source, part.trim())).collect()
}
