//! What each command does and prints.

use kernel::Kernel;
use serde_json::{Value, json};
use store::{Settings, Store};

use crate::admin::Admin;
use crate::args::{Args, Command, HELP};
use crate::publish::{Publication, PublishError, Published};
use crate::{files, history, logs, publish};

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Done.
    Done = 0,
    /// Not done.
    Failed = 1,
    /// Findings in files.
    Findings = 2,
    /// Another publisher was first.
    Lost = 3,
    /// Not known whether it is done.
    Unknown = 4,
}

/// Runs a command. Results go to standard output, the rest to standard error.
pub fn run(args: &Args) -> Exit {
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

fn print(text: &str) -> Exit {
    println!("{text}");
    Exit::Done
}

fn fail(text: impl std::fmt::Display) -> Exit {
    eprintln!("{text}");
    Exit::Failed
}

/// The store and the kernel that its calls run on.
fn store(args: &Args) -> Result<(Kernel, Store), Box<str>> {
    let address = args.platform.ok_or("--platform is missing")?;
    let kernel = Kernel::new().map_err(|error| format!("runtime: {error}"))?;
    let store = Store::new(&kernel, Settings::at(address, platform::store_dialect()));
    Ok((kernel, store))
}

fn check(args: &Args) -> Exit {
    match files::collect(&args.operands) {
        Ok(files) if args.json => {
            print(&json!({ "files": files.len(), "findings": [] }).to_string())
        }
        Ok(files) => print(&format!("{} files are good", files.len())),
        Err(findings) => {
            report_findings(args, &findings);
            Exit::Findings
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

fn publish_files(args: &Args) -> Exit {
    let files = match args.operands.is_empty() {
        true => Vec::new(),
        false => match files::collect(&args.operands) {
            Ok(files) => files,
            Err(findings) => {
                report_findings(args, &findings);
                return Exit::Findings;
            }
        },
    };
    let (kernel, store) = match store(args) {
        Ok(found) => found,
        Err(text) => return fail(text),
    };
    let publication = Publication {
        id: uuid::Uuid::now_v7().to_string().into(),
        who: args.who.clone(),
        files,
        remove: args.remove.clone(),
    };
    match kernel.run(publish::publish(&store, publication)) {
        Ok((published, changes)) => {
            hand_over(args, &published, &changes);
            report_published(args, &published)
        }
        Err(report) => {
            eprintln!("{report:?}");
            match report.current_context() {
                PublishError::Unknown => Exit::Unknown,
                PublishError::NotDone | PublishError::TooLarge => Exit::Failed,
            }
        }
    }
}

/// Hands the new revision to the daemons that are named, from where it
/// spreads. Those that it does not reach learn of it from others.
fn hand_over(args: &Args, published: &Published, changes: &Value) {
    let Published::Accepted { from, revision } = published else {
        return;
    };
    let body = json!({ "from": from, "revision": revision, "changes": changes });
    let admin = Admin::default();
    for daemon in &args.daemons {
        if let Err(error) = admin.post(*daemon, "/changes", &body) {
            eprintln!("not handed over: {error}");
        }
    }
}

fn report_published(args: &Args, published: &Published) -> Exit {
    let (exit, value, text) = match published {
        Published::Accepted { from, revision } => (
            Exit::Done,
            json!({ "result": "accepted", "revision": revision, "from": from }),
            format!("revision {revision} is in force, based on {from}"),
        ),
        Published::Unchanged { revision } => (
            Exit::Done,
            json!({ "result": "unchanged", "revision": revision }),
            format!("nothing differs from revision {revision}"),
        ),
        Published::Lost { winner } => {
            let winner: Value = serde_json::from_str(winner).unwrap_or_default();
            let line = history::Entry(winner.clone()).line();
            (
                Exit::Lost,
                json!({ "result": "lost", "winner": winner }),
                format!("another publisher was first: {}", line.trim()),
            )
        }
    };
    println!("{}", if args.json { value.to_string() } else { text });
    exit
}

fn show_history(args: &Args) -> Exit {
    let (kernel, store) = match store(args) {
        Ok(found) => found,
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
            Exit::Done
        }
        Err(report) => fail(format!("{report:?}")),
    }
}

fn show(args: &Args) -> Exit {
    let (kernel, store) = match store(args) {
        Ok(found) => found,
        Err(text) => return fail(text),
    };
    let head = match kernel.run(publish::read_head(&store)) {
        Ok(head) => head.revision,
        Err(report) => return fail(format!("{report:?}")),
    };
    let admin = Admin::default();
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
        return print(&json!({ "revision": head, "behind": behind }).to_string());
    }
    println!("revision {head} is in force");
    for daemon in behind {
        println!("not yet at {daemon}");
    }
    Exit::Done
}

fn status(args: &Args) -> Exit {
    let admin = Admin::default();
    let mut states = Vec::new();
    let mut exit = Exit::Done;
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
    let old = match state["revision_may_be_old"].as_bool() {
        Some(true) => " (may be old)",
        _ => "",
    };
    format!(
        "{} revision {}{old}, target {}: {} of {} in flight, {} queued, {:.1} ms",
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

fn drain(args: &Args) -> Exit {
    let admin = Admin::default();
    let mut exit = Exit::Done;
    for daemon in &args.daemons {
        match admin.post(*daemon, "/drain", &Value::Null) {
            Ok(_) => println!("{daemon} is leaving"),
            Err(error) => exit = fail(error),
        }
    }
    exit
}

fn explain(args: &Args) -> Exit {
    let id = args.operands[0].to_string_lossy().into_owned();
    if !args.logs.is_empty() {
        return explain_from_logs(args, &id);
    }
    let admin = Admin::default();
    let mut failures = Vec::new();
    for daemon in &args.daemons {
        match admin.get(*daemon, &format!("/explain?id={id}")) {
            Ok(found) if found["lines"].as_array().is_some_and(|lines| !lines.is_empty()) => {
                return print_explanation(args, &found);
            }
            Ok(_) => {}
            Err(error) => failures.push(error),
        }
    }
    for failure in failures {
        eprintln!("{failure}");
    }
    fail(format!("nothing is remembered of request {id}"))
}

fn explain_from_logs(args: &Args, id: &str) -> Exit {
    let lines = match logs::read(&args.logs, id) {
        Ok(lines) => logs::order(lines),
        Err(error) => return fail(format!("a log cannot be read: {error}")),
    };
    if lines.is_empty() {
        return fail(format!("no line is about request {id}"));
    }
    let lines: Vec<String> = lines.iter().map(logs::Line::text).collect();
    print_explanation(args, &json!({ "id": id, "lines": lines }))
}

fn print_explanation(args: &Args, found: &Value) -> Exit {
    if args.json {
        return print(&found.to_string());
    }
    for line in found["lines"].as_array().into_iter().flatten() {
        println!("{}", line.as_str().unwrap_or_default());
    }
    Exit::Done
}
