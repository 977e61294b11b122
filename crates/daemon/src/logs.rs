//! Writes the log to standard output, one JSON object per line.
//!
//! A separate thread writes the lines, so that a slow reader of standard output does not delay
//! the daemon. Lines that do not fit into the thread's queue are dropped and counted.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use log::{Level, Record};
use route::Node;
use serde::Serialize;
use serde_json::json;

use crate::journal::{Event, unix_millis};
use crate::settings::Settings;

/// Maximum number of queued lines.
const MAX_QUEUED_LINES: usize = 1024;
/// Time for which lines are collected before they are written as one batch.
const BATCH_DELAY: Duration = Duration::from_millis(100);
/// Maximum time that the end of the process is delayed to write the queued lines: twice the
/// batch delay. Lines that a blocked reader has not taken by then are lost.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Time between two attempts to add the end message to a full queue.
const QUEUE_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Log target of lines about requests, whose text is already a JSON object.
const REQUEST_LOG_TARGET: &str = "request";

/// The log of a process.
#[derive(Debug)]
pub(crate) struct Log {
    sender: SyncSender<Message>,
    /// Disconnected when the writer thread has written the last line.
    writer_done: Receiver<()>,
}

/// Messages to the writer thread.
#[derive(Debug)]
enum Message {
    /// Write a line.
    Line(Vec<u8>),
    /// Write all earlier lines and exit.
    End,
}

impl Log {
    /// Starts the writer thread and installs the logger with the level filter of the settings.
    pub(crate) fn start(settings: &Settings) -> Self {
        let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
        let (done_sender, writer_done) = sync_channel(0);
        let writer = thread::Builder::new().name("log".into()).spawn(move || {
            write_lines(&receiver);
            drop(done_sender);
        });
        match writer {
            Ok(_) => env_logger::Builder::new()
                .parse_filters(&settings.log)
                .target(env_logger::Target::Pipe(Box::new(QueueWriter { sender: sender.clone() })))
                .format(|to, record| to.write_all(format_line(record).as_bytes()))
                .init(),
            Err(error) => {
                eprintln!("cannot start the log thread, no log lines are written: {error}");
            }
        }
        Self { sender, writer_done }
    }

    /// Waits until all lines are written, for at most 200 ms.
    pub(crate) fn finish(self) {
        let until = Instant::now() + FLUSH_TIMEOUT;
        while let Err(TrySendError::Full(_)) = self.sender.try_send(Message::End) {
            if Instant::now() >= until {
                return;
            }
            thread::sleep(QUEUE_RETRY_INTERVAL);
        }
        // No value is ever sent: the wait ends when the writer thread disconnects the channel
        // or at the time limit.
        let _ = self.writer_done.recv_timeout(until.saturating_duration_since(Instant::now()));
    }
}

/// Logs an event of a request.
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
        Ok(line) => log::info!(target: REQUEST_LOG_TARGET, "{line}"),
        Err(error) => log::warn!("cannot serialize a log line about request {id}: {error}"),
    }
}

fn format_line(record: &Record<'_>) -> String {
    if record.target() == REQUEST_LOG_TARGET {
        return format!("{}\n", record.args());
    }
    let level = match record.level() {
        Level::Error => "error",
        Level::Warn => "warn",
        Level::Info => "info",
        Level::Debug | Level::Trace => "debug",
    };
    let line = json!({
        "time_ms": unix_millis(SystemTime::now()),
        "level": level,
        "from": record.target(),
        "text": record.args().to_string(),
    });
    format!("{line}\n")
}

/// Adds lines to the queue of the writer thread. Each write is expected to be a whole line.
struct QueueWriter {
    sender: SyncSender<Message>,
}

impl Write for QueueWriter {
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

fn write_lines(receiver: &Receiver<Message>) {
    let mut batch = Vec::new();
    while let Ok(Message::Line(first)) = receiver.recv() {
        batch.extend(first);
        thread::sleep(BATCH_DELAY);
        let mut is_last = false;
        for message in receiver.try_iter() {
            match message {
                Message::Line(line) => batch.extend(line),
                Message::End => {
                    is_last = true;
                    break;
                }
            }
        }
        // If the reader of standard output has closed it, the daemon continues without a log.
        let _ = io::stdout().write_all(&batch);
        if is_last {
            return;
        }
        batch.clear();
    }
}
