//! What was sent, answered and run, with the seconds since the start.

use std::{
    fs::File,
    io::{self, Write},
    path::Path,
    sync::Mutex,
    time::Instant,
};

/// Record of one run.
#[derive(Debug)]
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Starts a record in a folder.
    pub fn create(folder: &Path) -> io::Result<Self> {
        Ok(Record {
            start: Instant::now(),
            file: Mutex::new(File::create(folder.join("record.txt"))?),
        })
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Writes one line.
    pub fn note(&self, text: &str) {
        let now = self.now();
        if let Ok(mut file) = self.file.lock() {
            // A record that cannot be written shows in the missing verdict.
            let _ = writeln!(file, "{now:8.3} {text}");
        }
    }
}
