//! The record of a case: what was sent, answered and run, with the time since the start.

use std::{
    fmt::Display,
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Writes lines to `record.txt`.
#[derive(Debug, Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Starts a new record.
    pub fn create(path: &Path) -> std::io::Result<Record> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Record {
            file,
            start: Instant::now(),
        })
    }

    /// Writes one line.
    pub fn note(&self, text: impl Display) {
        let ms = self.start.elapsed().as_millis();
        let mut file = self.file.lock().expect("no writer panics");
        writeln!(file, "{:3}.{:03} {text}", ms / 1000, ms % 1000).expect("the record is written");
    }

    /// Writes one line, also to the standard output.
    pub fn say(&self, text: impl Display) {
        println!("{text}");
        self.note(text);
    }
}
