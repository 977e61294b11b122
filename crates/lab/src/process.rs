//! Child processes, which run this program with another subcommand.

use std::io::{BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, ExitStatus, Stdio};
use std::sync::OnceLock;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use crate::ports;

/// A child process. It is killed on drop, and exits on its own when this process dies,
/// because its standard input is closed then.
#[derive(Debug)]
pub struct Process {
    child: Child,
    _stdin: Option<ChildStdin>,
    lines: Option<Receiver<Box<str>>>,
}

static PROGRAM: OnceLock<PathBuf> = OnceLock::new();

/// Sets the program to start, for callers such as tests that are another executable.
pub fn set_program(path: impl Into<PathBuf>) {
    PROGRAM.get_or_init(|| path.into());
}

/// Returns the program to start.
pub fn program() -> PathBuf {
    let named = PROGRAM.get().cloned();
    named.or_else(|| std::env::current_exe().ok()).unwrap_or_else(|| "lab".into())
}

/// Returns the arguments for a subcommand with flags. Flags with an empty value are left out.
pub fn args_of(
    command: &str,
    flags: impl IntoIterator<Item = (&'static str, String)>,
) -> Vec<String> {
    let flags = flags.into_iter().filter(|(_, value)| !value.is_empty());
    let flags = flags.flat_map(|(flag, value)| [format!("--{flag}"), value]);
    std::iter::once(command.to_owned()).chain(flags).collect()
}

/// Starts the program with a subcommand and its arguments. Its standard error goes to the
/// file `log`, or is discarded.
pub fn start(args: &[String], log: Option<&Path>) -> Result<Process, Box<str>> {
    let program = program();
    Process::start(&program, args, log)
        .map_err(|error| format!("cannot start {} {}: {error}", program.display(), args[0]).into())
}

/// Environment variable that marks a process started by this program.
const CHILD_VARIABLE: &str = "LAB_CHILD";

/// Exits this process when its parent dies, if the parent is this program: the standard input
/// is closed then.
pub fn exit_with_parent() {
    if std::env::var_os(CHILD_VARIABLE).is_none() {
        return;
    }
    std::thread::spawn(|| {
        let mut sink = Vec::new();
        let _ = std::io::stdin().read_to_end(&mut sink);
        std::process::exit(0);
    });
}

impl Process {
    /// Starts `program` with a subcommand and its arguments. Its standard error goes to the
    /// file `log`, or is discarded.
    pub fn start(program: &Path, args: &[String], log: Option<&Path>) -> std::io::Result<Self> {
        let stderr = match log {
            Some(path) => Stdio::from(std::fs::File::create(path)?),
            None => Stdio::null(),
        };
        let mut command = Command::new(program);
        command.args(args).env(CHILD_VARIABLE, "1");
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(stderr);
        let mut child = ports::spawn(&mut command)?;
        let stdin = child.stdin.take();
        let lines = child.stdout.take().map(|stdout| {
            let (sender, receiver) = channel();
            std::thread::spawn(move || {
                for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                    if sender.send(Box::from(line)).is_err() {
                        return;
                    }
                }
            });
            receiver
        });
        Ok(Self { child, _stdin: stdin, lines })
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Processor time used so far.
    pub fn processor_time(&self) -> Duration {
        // Fields 14 and 15 of proc(5), in ticks of 10 ms.
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id())).unwrap_or_default();
        let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
        let ticks: u64 =
            fields.skip(11).take(2).filter_map(|field| field.parse::<u64>().ok()).sum();
        Duration::from_millis(ticks * 10)
    }

    /// Resident memory, in bytes.
    pub fn memory(&self) -> u64 {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1024
    }

    /// Returns the lines printed to standard output since the last call.
    pub fn lines(&self) -> Vec<Box<str>> {
        self.lines.iter().flat_map(Receiver::try_iter).collect()
    }

    /// Sends a signal by name, such as `TERM` or `STOP`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let mut command = Command::new("kill");
        command.args([&format!("-{name}"), &id]);
        let _ = ports::spawn(&mut command).and_then(|mut kill| kill.wait());
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the process to exit; `None` if it has not exited within `limit`.
    pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }

    /// Whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
