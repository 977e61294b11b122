//! Log lines: one JSON object each, on standard output.
//!
//! A thread of its own writes them, so that a reader that does not read delays
//! nothing. What does not fit into its queue is dropped and counted.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, SystemTime};

use log::{Level, Record};
use route::Node;
use serde::Serialize;
use serde_json::json;

use crate::journal::{Event, millis_of};
use crate::settings::Settings;

/// Lines that wait to be written, at most.
const MAX_WAITING: usize = 1024;
/// Time for which lines are gathered before they are written together.
const GATHER: Duration = Duration::from_millis(100);
/// Target of lines about requests, which are JSON already.
const REQUEST: &str = "request";

/// Starts the log that the settings ask for.
pub fn start(settings: &Settings) {
    let (sender, lines) = sync_channel(MAX_WAITING);
    let writer = thread::Builder::new().name("log".into()).spawn(move || write_all(&lines));
    if let Err(error) = writer {
        eprintln!("no thread for log lines, so that none are written: {error}");
        return;
    }
    env_logger::Builder::new()
        .parse_filters(&settings.log)
        .target(env_logger::Target::Pipe(Box::new(Pipe { sender })))
        .format(|to, record| to.write_all(line_of(record).as_bytes()))
        .init();
}

/// Writes a line about a request.
pub(crate) fn write_request_line(node: Node, id: &str, at_ms: u64, event: &Event) {
    #[derive(Serialize)]
    struct Line<'a> {
        time_ms: u64,
        node: String,
        id: &'a str,
        #[serde(flatten)]
        event: &'a Event,
    }
    let line = Line { time_ms: at_ms, node: format!("{node:016x}"), id, event };
    match serde_json::to_string(&line) {
        Ok(line) => log::info!(target: REQUEST, "{line}"),
        Err(error) => log::warn!("a line about {id} cannot be written: {error}"),
    }
}

fn line_of(record: &Record<'_>) -> String {
    if record.target() == REQUEST {
        return format!("{}\n", record.args());
    }
    let level = match record.level() {
        Level::Error => "error",
        Level::Warn => "warn",
        Level::Info => "info",
        Level::Debug | Level::Trace => "debug",
    };
    let line = json!({
        "time_ms": millis_of(SystemTime::now()),
        "level": level,
        "from": record.target(),
        "text": record.args().to_string(),
    });
    format!("{line}\n")
}

/// Hands whole lines to the thread that writes them.
struct Pipe {
    sender: SyncSender<Vec<u8>>,
}

impl Write for Pipe {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.sender.try_send(line.to_vec()).is_err() {
            metrics::counter!("bronzeport_log_lines_dropped_total", "cause" => "slow-reader")
                .increment(1);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_all(lines: &Receiver<Vec<u8>>) {
    let mut batch = Vec::new();
    while let Ok(line) = lines.recv() {
        batch.extend(line);
        thread::sleep(GATHER);
        batch.extend(lines.try_iter().flatten());
        // A reader that has gone takes no lines; the daemon works on without.
        let _ = io::stdout().write_all(&batch);
        batch.clear();
    }
}
