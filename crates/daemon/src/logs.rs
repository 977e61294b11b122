//! Log lines: one JSON object each, on standard output.
//!
//! A thread of its own writes them, so that a reader that does not read delays
//! nothing. What does not fit into its queue is dropped and counted.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

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
/// Longest wait at the end of the process for the lines that are not written yet:
/// two times for which lines are gathered. A reader that does not read gets no more.
const FINISH_TIME: Duration = Duration::from_millis(200);
/// Time between two tries to end the queue when it is full.
const FINISH_POLL: Duration = Duration::from_millis(10);
/// Target of lines about requests, which are JSON already.
const REQUEST: &str = "request";

/// The log of a process.
#[derive(Debug)]
pub(crate) struct Log {
    sender: SyncSender<Message>,
    /// Closed by the thread that writes, once it has written the last line.
    is_finished: Receiver<()>,
}

/// What the thread that writes is told.
#[derive(Debug)]
enum Message {
    /// Write a line.
    Line(Vec<u8>),
    /// Write what came before and end.
    End,
}

impl Log {
    /// Starts the log that the settings ask for.
    pub(crate) fn start(settings: &Settings) -> Self {
        let (sender, messages) = sync_channel(MAX_WAITING);
        let (finish, is_finished) = sync_channel(0);
        let writer = thread::Builder::new().name("log".into()).spawn(move || {
            write_all(&messages);
            drop(finish);
        });
        match writer {
            Ok(_) => env_logger::Builder::new()
                .parse_filters(&settings.log)
                .target(env_logger::Target::Pipe(Box::new(Pipe { sender: sender.clone() })))
                .format(|to, record| to.write_all(line_of(record).as_bytes()))
                .init(),
            Err(error) => {
                eprintln!("no thread for log lines, so that none are written: {error}");
            }
        }
        Self { sender, is_finished }
    }

    /// Waits until the lines so far are written, for 200 ms at most.
    pub(crate) fn finish(self) {
        let until = Instant::now() + FINISH_TIME;
        while let Err(TrySendError::Full(_)) = self.sender.try_send(Message::End) {
            if Instant::now() >= until {
                return;
            }
            thread::sleep(FINISH_POLL);
        }
        // Nothing is ever sent; the wait ends when the writer does, or in time.
        let _ = self.is_finished.recv_timeout(until.saturating_duration_since(Instant::now()));
    }
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
    sender: SyncSender<Message>,
}

impl Write for Pipe {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.sender.try_send(Message::Line(line.to_vec())).is_err() {
            metrics::counter!("bronzeport_log_lines_dropped_total", "cause" => "slow-reader")
                .increment(1);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_all(messages: &Receiver<Message>) {
    let mut batch = Vec::new();
    while let Ok(Message::Line(first)) = messages.recv() {
        batch.extend(first);
        thread::sleep(GATHER);
        let mut is_last = false;
        for message in messages.try_iter() {
            match message {
                Message::Line(line) => batch.extend(line),
                Message::End => {
                    is_last = true;
                    break;
                }
            }
        }
        // A reader that has gone takes no lines; the daemon works on without.
        let _ = io::stdout().write_all(&batch);
        if is_last {
            return;
        }
        batch.clear();
    }
}
