//! The commands and their output.

use std::path::PathBuf;

use kernel::Kernel;
use serde_json::{Value, json};
use store::{Settings, Store};

use crate::admin::AdminClient;
use crate::args::{Args, Command, HELP};
use crate::publish::{Publication, PublishError, PublishResult};
use crate::{files, history, logs, publish, table};

/// Exit status of a command. The values are the exit codes of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Done = 0,
    /// The command failed, or failed for some of the daemons.
    Failed = 1,
    /// The service files have findings.
    Findings = 2,
    /// Another publisher was first; nothing is published.
    Lost = 3,
    /// It is unknown whether the files are published.
    Unknown = 4,
}

/// Runs a command. Results go to standard output, errors to standard error.
pub fn run(args: &Args) -> ExitStatus {
    match args.command {
        Command::Check => check(args),
        Command::Publish => publish_files(args),
        Command::History => show_history(args),
        Command::Show => show(args),
        Command::Status => status(args),
        Command::Drain => drain(args),
        Command::Explain => explain(args),
        Command::Help => print(HELP.trim_end()),
        Command::Version => print(&format!("bronzeport {}", env!("CARGO_PKG_VERSION"))),
    }
}

/// Prints a result.
fn print(text: &str) -> ExitStatus {
    println!("{text}");
    ExitStatus::Done
}

/// Prints an error.
fn fail(text: impl std::fmt::Display) -> ExitStatus {
    eprintln!("{text}");
    ExitStatus::Failed
}

/// Returns a client of the platform's store and the kernel that runs its calls.
fn open_store(args: &Args) -> Result<(Kernel, Store), Box<str>> {
    let address = args.platform.ok_or("--platform is missing")?;
    let kernel =
        Kernel::new().map_err(|error| format!("cannot start the async runtime: {error}"))?;
    let store = Store::new(&kernel, Settings::at(address, platform::store_protocol()));
    Ok((kernel, store))
}

fn check(args: &Args) -> ExitStatus {
    let (tables, paths): (Vec<PathBuf>, Vec<PathBuf>) =
        args.operands.iter().cloned().partition(|path| table::is_table(path));
    match tables.is_empty() {
        true => check_files(args, &paths),
        false => check_tables(args, &tables, &paths),
    }
}

/// Checks route tables, and service files if any are given too.
fn check_tables(args: &Args, tables: &[PathBuf], paths: &[PathBuf]) -> ExitStatus {
    let mut findings = Vec::new();
    let mut differences = Vec::new();
    for path in tables {
        let checked = table::check(path).and_then(|later| match &args.against {
            Some(earlier) => table::differences(earlier, &later),
            None => Ok(Vec::new()),
        });
        match checked {
            Ok(lines) => differences.extend(lines),
            Err(found) => findings.extend(found),
        }
    }
    if !paths.is_empty() {
        findings.extend(files::collect(paths).err().unwrap_or_default());
    }
    if !findings.is_empty() {
        report_findings(args, &findings);
        return ExitStatus::Findings;
    }
    let count = tables.len() + paths.len();
    if args.json {
        let report = json!({ "files": count, "findings": [], "differences": differences });
        return print(&report.to_string());
    }
    for line in &differences {
        println!("{line}");
    }
    print(&format!("{count} files are good"))
}

fn check_files(args: &Args, paths: &[PathBuf]) -> ExitStatus {
    match files::collect(paths) {
        Ok(files) if args.json => {
            print(&json!({ "files": files.len(), "findings": [] }).to_string())
        }
        Ok(files) => print(&format!("{} files are good", files.len())),
        Err(findings) => {
            report_findings(args, &findings);
            ExitStatus::Findings
        }
    }
}

fn report_findings(args: &Args, findings: &[config::Finding]) {
    if args.json {
        let list = findings.iter().map(|finding| {
            json!({
                "file": *finding.file,
                "line": finding.line,
                "column": finding.column,
                "text": *finding.text,
            })
        });
        println!("{}", json!({ "findings": list.collect::<Vec<_>>() }));
        return;
    }
    for finding in findings {
        eprintln!("{finding}");
    }
}

fn publish_files(args: &Args) -> ExitStatus {
    let files = match args.operands.is_empty() {
        true => Vec::new(),
        false => match files::collect(&args.operands) {
            Ok(files) => files,
            Err(findings) => {
                report_findings(args, &findings);
                return ExitStatus::Findings;
            }
        },
    };
    let (kernel, store) = match open_store(args) {
        Ok(opened) => opened,
        Err(text) => return fail(text),
    };
    let publication = Publication {
        id: uuid::Uuid::now_v7().to_string().into(),
        who: args.who.clone(),
        files,
        remove: args.remove.clone(),
        accept_copy: args.accept_copy,
    };
    match kernel.run(publish::publish(&store, publication)) {
        Ok((published, changes)) => {
            let behind = notify_daemons(args, &published, &changes);
            report_result(args, &published, behind)
        }
        Err(report) => {
            eprintln!("{report:?}");
            match report.current_context() {
                PublishError::Unknown => ExitStatus::Unknown,
                PublishError::NotPublished | PublishError::Unconfirmed | PublishError::TooLarge => {
                    ExitStatus::Failed
                }
            }
        }
    }
}

/// Sends the new revision to the daemons given by `--daemons`, which pass it on to
/// their peers. A daemon that cannot be reached gets the revision from its peers. Returns
/// the number of daemons that do not have it in force yet.
fn notify_daemons(args: &Args, published: &PublishResult, changes: &Value) -> usize {
    let PublishResult::Accepted { from, revision } = published else {
        return 0;
    };
    let body = json!({ "from": from, "revision": revision, "changes": changes });
    let admin = AdminClient::default();
    let mut behind = 0;
    for daemon in &args.daemons {
        match admin.post(*daemon, "/changes", &body) {
            Ok(state) if state["revision"].as_u64() >= Some(*revision) => {}
            Ok(state) => {
                eprintln!("{daemon} still has revision {} in force", state["revision"]);
                behind += 1;
            }
            Err(error) => {
                eprintln!("cannot send the new revision to a daemon: {error}");
                behind += 1;
            }
        }
    }
    behind
}

fn report_result(args: &Args, published: &PublishResult, behind: usize) -> ExitStatus {
    let (exit, value, text) = match published {
        PublishResult::Accepted { from, revision } => (
            ExitStatus::Done,
            json!({ "result": "accepted", "revision": revision, "from": from, "behind": behind }),
            match (args.daemons.len(), behind) {
                (0, _) => format!("revision {revision} is published, based on {from}"),
                (_, 0) => format!("revision {revision} is in force, based on {from}"),
                (asked, behind) => format!(
                    "revision {revision} is published, based on {from}; not yet in force at \
                     {behind} of {asked} daemons"
                ),
            },
        ),
        PublishResult::Unchanged { revision } => (
            ExitStatus::Done,
            json!({ "result": "unchanged", "revision": revision }),
            format!("nothing differs from revision {revision}"),
        ),
        PublishResult::Lost { winner } => {
            let winner: Value = serde_json::from_str(winner).unwrap_or_default();
            let line = history::Entry(winner.clone()).line();
            (
                ExitStatus::Lost,
                json!({ "result": "lost", "winner": winner }),
                format!("another publisher was first: {}", line.trim()),
            )
        }
    };
    println!("{}", if args.json { value.to_string() } else { text });
    exit
}

fn show_history(args: &Args) -> ExitStatus {
    let (kernel, store) = match open_store(args) {
        Ok(opened) => opened,
        Err(text) => return fail(text),
    };
    match kernel.run(history::read(&store, args.limit)) {
        Ok(entries) if args.json => {
            let entries: Vec<Value> = entries.into_iter().map(|entry| entry.0).collect();
            print(&Value::Array(entries).to_string())
        }
        Ok(entries) => {
            for entry in entries {
                println!("{}", entry.line());
            }
            ExitStatus::Done
        }
        Err(report) => fail(format!("{report:?}")),
    }
}

fn show(args: &Args) -> ExitStatus {
    let (kernel, store) = match open_store(args) {
        Ok(opened) => opened,
        Err(text) => return fail(text),
    };
    let (head, is_unconfirmed) = match kernel.run(publish::read_head(&store)) {
        Ok(head) => (head.revision, head.is_unconfirmed),
        Err(report) => return fail(format!("{report:?}")),
    };
    let admin = AdminClient::default();
    let mut behind = Vec::new();
    for daemon in &args.daemons {
        match admin.get(*daemon, "/state") {
            Ok(state) if state["revision"].as_u64() >= Some(head) => {}
            Ok(state) => {
                behind.push(json!({ "daemon": daemon.to_string(), "revision": state["revision"] }))
            }
            Err(error) => behind.push(json!({ "daemon": daemon.to_string(), "error": *error })),
        }
    }
    if args.json {
        let value = json!({ "revision": head, "unconfirmed": is_unconfirmed, "behind": behind });
        return print(&value.to_string());
    }
    match is_unconfirmed {
        true => println!(
            "the store has revision {head}; it came back from an older copy, and later \
             revisions may be in force"
        ),
        false => println!("revision {head} is in force"),
    }
    for daemon in behind {
        println!("not yet at {daemon}");
    }
    ExitStatus::Done
}

fn status(args: &Args) -> ExitStatus {
    let admin = AdminClient::default();
    let mut states = Vec::new();
    let mut exit = ExitStatus::Done;
    for daemon in &args.daemons {
        match admin.get(*daemon, "/state") {
            Ok(state) => states.push(state),
            Err(error) => exit = fail(error),
        }
    }
    if args.json {
        println!("{}", Value::Array(states));
        return exit;
    }
    for state in &states {
        println!("{}", status_line(state));
    }
    if let Some(state) = states.first() {
        for member in state["members"].as_array().into_iter().flatten() {
            println!("  {}", member_line(member));
        }
    }
    exit
}

fn status_line(state: &Value) -> String {
    let text = |value: &Value| value.as_str().unwrap_or("?").to_owned();
    let target = &state["target"];
    let stale_mark = match state["revision_may_be_old"].as_bool() {
        Some(true) => " (may be old)",
        _ => "",
    };
    format!(
        "{} revision {}{stale_mark}, target {}: {} of {} in flight, {} queued, {:.1} ms",
        text(&state["node"]),
        state["revision"],
        if target["leaving"] == true {
            "leaving"
        } else if target["reachable"] == true {
            "up"
        } else {
            "down"
        },
        target["in_flight"],
        target["slots"],
        target["queued"],
        target["service_ms"].as_f64().unwrap_or_default(),
    )
}

fn member_line(member: &Value) -> String {
    let text = |key: &str| member[key].as_str().unwrap_or("?").to_owned();
    let service = match text("service").as_str() {
        "" => "no target".to_owned(),
        service => service.to_owned(),
    };
    format!(
        "{} {:<8} {:<14} {:<14} {}",
        text("node"),
        text("state"),
        text("data_centre"),
        service,
        text("address")
    )
}

fn drain(args: &Args) -> ExitStatus {
    let admin = AdminClient::default();
    let mut exit = ExitStatus::Done;
    for daemon in &args.daemons {
        match admin.post(*daemon, "/drain", &Value::Null) {
            Ok(_) => println!("{daemon} is leaving"),
            Err(error) => exit = fail(error),
        }
    }
    exit
}

fn explain(args: &Args) -> ExitStatus {
    let id = args.operands[0].to_string_lossy().into_owned();
    if !args.logs.is_empty() {
        return explain_from_logs(args, &id);
    }
    let admin = AdminClient::default();
    let mut failures = Vec::new();
    for daemon in &args.daemons {
        match admin.get(*daemon, &format!("/explain?id={id}")) {
            Ok(explanation)
                if explanation["lines"].as_array().is_some_and(|lines| !lines.is_empty()) =>
            {
                return print_explanation(args, &explanation);
            }
            Ok(_) => {}
            Err(error) => failures.push(error),
        }
    }
    for failure in failures {
        eprintln!("{failure}");
    }
    fail(format!("no daemon has a record of request {id}"))
}

fn explain_from_logs(args: &Args, id: &str) -> ExitStatus {
    let lines = match logs::read(&args.logs, id) {
        Ok(lines) => logs::sort_causally(lines),
        Err(error) => return fail(format!("cannot read a log file: {error}")),
    };
    if lines.is_empty() {
        return fail(format!("the log files have no line about request {id}"));
    }
    let lines: Vec<String> = lines.iter().map(logs::Line::text).collect();
    print_explanation(args, &json!({ "id": id, "lines": lines }))
}

fn print_explanation(args: &Args, explanation: &Value) -> ExitStatus {
    if args.json {
        return print(&explanation.to_string());
    }
    for line in explanation["lines"].as_array().into_iter().flatten() {
        println!("{}", line.as_str().unwrap_or_default());
    }
    ExitStatus::Done
}
