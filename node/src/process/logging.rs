//! Log of the daemon: numbered events, as text for people or as JSON for machines.
//!
//! A line of text is `TIME LEVEL CRnnnn name field=value ...`; a line of JSON has the same parts as
//! keys. Times are UTC. The log goes to standard error, or to files in the folder that the settings
//! name; those are cut at a size, and old ones are removed.

use cornelrail_lib::process::{
    event::{Event, Severity},
    settings::{Log, LogFormat, LogLevel},
};
use flexi_logger::{
    Age, Cleanup, Criterion, DeferredNow, FileSpec, FlexiLoggerError, LogSpecification, Logger,
    LoggerHandle, Naming, WriteMode, writers::LogWriter,
};
use log::{LevelFilter, Record};
use miette::Diagnostic;
use serde::Serialize;
use std::{
    fmt,
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc,
    },
    thread,
};
use thiserror::Error;

/// Target of the records of numbered events.
const EVENT_TARGET: &str = "cornelrail::event";
/// Format of the time at the head of a line.
const TIME_FORMAT: &str = "%Y-%m-%dT%H:%M:%S%.3fZ";
/// Size at which a log file is cut, in bytes.
const FILE_SIZE: u64 = 16 << 20;
/// Lines that wait for the reader of the log.
const LINES_HELD: usize = 1_024;
/// Usual length of a line, in bytes.
const LINE_BYTES: usize = 160;
/// Stack of the thread that writes lines, in bytes: it only copies.
const WRITER_STACK: usize = 64 << 10;
/// Log files that are kept besides the current one.
const FILES_KEPT: usize = 8;

/// Why the log cannot be started.
#[derive(Debug, Error, Diagnostic)]
pub enum LogError {
    /// The logger turned its set-up down.
    #[error("the log cannot be started: {0}")]
    #[diagnostic(
        code(cornelrail::log::start),
        help("check that `log.folder` exists and can be written")
    )]
    Start(#[from] FlexiLoggerError),
}

/// Writes events to the log; the edge between the pure library and the logger.
pub trait EventLog {
    /// Writes one line with the event's number, its name and the fields that follow.
    fn log(self, fields: fmt::Arguments<'_>);
}

impl EventLog for Event {
    fn log(self, fields: fmt::Arguments<'_>) {
        let level = match self.severity() {
            Severity::Error => log::Level::Error,
            Severity::Warn => log::Level::Warn,
            Severity::Info => log::Level::Info,
            Severity::Debug => log::Level::Debug,
        };
        log::log!(target: EVENT_TARGET, level, "{} {} {fields}", self.code(), self.name());
    }
}

/// Starts the log; it ends when the handle is dropped.
pub fn start(settings: &Log) -> Result<LoggerHandle, LogError> {
    let format = match settings.format {
        LogFormat::Text => text_line,
        LogFormat::Json => json_line,
    };
    let logger = Logger::with(specification(settings.level))
        .format(format)
        .use_utc();
    let logger = match &settings.folder {
        None => logger.log_to_stderr(),
        Some(folder) => logger
            .log_to_file(
                FileSpec::default()
                    .directory(folder)
                    .basename("cornelraild"),
            )
            .append()
            .rotate(
                Criterion::AgeOrSize(Age::Day, FILE_SIZE),
                Naming::Timestamps,
                Cleanup::KeepLogFiles(FILES_KEPT),
            )
            .write_mode(WriteMode::Async),
    };
    Ok(logger.start()?)
}

/// Starts a log on standard output that never blocks; it ends when the handle is dropped.
pub fn start_bounded(level: LogLevel) -> Result<LoggerHandle, LogError> {
    let writer = BoundedWriter::start().map_err(FlexiLoggerError::OutputIo)?;
    let logger = Logger::with(specification(level))
        .use_utc()
        .log_to_writer(Box::new(writer));
    Ok(logger.start()?)
}

/// Writes lines from a thread of its own. Lines that find no room are dropped and counted.
struct BoundedWriter {
    lines: mpsc::SyncSender<Vec<u8>>,
    dropped: AtomicU64,
}

impl BoundedWriter {
    fn start() -> io::Result<Self> {
        let (lines, rx) = mpsc::sync_channel::<Vec<u8>>(LINES_HELD);
        let thread = thread::Builder::new()
            .name("log".to_owned())
            .stack_size(WRITER_STACK);
        thread.spawn(move || {
            let mut out = io::stdout();
            while let Ok(mut bytes) = rx.recv() {
                while let Ok(more) = rx.try_recv() {
                    bytes.extend(more);
                }
                // Without a reader there is nobody to tell.
                let _ = out.write_all(&bytes).and_then(|()| out.flush());
            }
        })?;
        Ok(BoundedWriter {
            lines,
            dropped: AtomicU64::new(0),
        })
    }

    fn pass(&self, line: Vec<u8>) -> bool {
        self.lines.try_send(line).is_ok()
    }
}

impl LogWriter for BoundedWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(LINE_BYTES);
        text_line(&mut line, now, record)?;
        line.push(b'\n');
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let event = Event::LinesDropped;
            let time = now.format(TIME_FORMAT);
            let head = format!("{time} WARN  {} {} ", event.code(), event.name());
            let told = self.pass(format!("{head}count={dropped}\n").into_bytes());
            if !told {
                self.dropped.fetch_add(dropped, Ordering::Relaxed);
            }
        }
        if !self.pass(line) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

/// Lets our own records pass from `level` on, and warnings of libraries.
fn specification(level: LogLevel) -> LogSpecification {
    let own = match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    };
    LogSpecification::builder()
        .default(LevelFilter::Warn.min(own))
        .module("cornelrail", own)
        .build()
}

/// Writes one line for people.
pub fn text_line(
    out: &mut dyn io::Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> io::Result<()> {
    write!(out, "{} {:5} ", now.format(TIME_FORMAT), record.level())?;
    if record.target() != EVENT_TARGET {
        write!(out, "{}: ", record.target())?;
    }
    let text = record.args().to_string();
    write!(out, "{}", one_line(text.trim_end()))
}

/// Escapes control characters: a value from outside forges no line and drives no terminal.
fn one_line(text: &str) -> String {
    let mut line = String::with_capacity(text.len());
    for c in text.chars() {
        match c.is_control() {
            true => line.extend(c.escape_default()),
            false => line.push(c),
        }
    }
    line
}

#[derive(Debug, Serialize)]
struct JsonLine<'a> {
    time: String,
    level: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    event: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    name: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    module: Option<&'a str>,
    text: &'a str,
}

/// Writes one line for machines.
pub fn json_line(
    out: &mut dyn io::Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> io::Result<()> {
    let text = record.args().to_string();
    let mut line = JsonLine {
        time: now.format(TIME_FORMAT).to_string(),
        level: record.level().as_str(),
        event: None,
        name: None,
        module: Some(record.target()),
        text: text.trim_end(),
    };
    if record.target() == EVENT_TARGET {
        let mut parts = text.trim_end().splitn(3, ' ');
        line.event = parts.next();
        line.name = parts.next();
        line.module = None;
        line.text = parts.next().unwrap_or_default();
    }
    serde_json::to_writer(out, &line).map_err(io::Error::from)
}
