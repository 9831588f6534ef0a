//! What was sent, answered and run, for `record.txt`.

use std::{
    fmt::Arguments,
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

/// Record of a case.
#[derive(Debug, Clone)]
pub struct Record {
    begun: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    /// Begins a record in a folder.
    pub fn begin(folder: &Path) -> Result<Record, String> {
        let file = File::create(folder.join("record.txt")).map_err(|error| error.to_string())?;
        Ok(Record {
            begun: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(file))),
        })
    }

    /// Seconds since the record was begun.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.begun).as_secs_f64()
    }

    /// Writes one line with its time.
    pub fn write(&self, text: Arguments<'_>) {
        let time = self.seconds(Instant::now());
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // The exit code tells the outcome without the record, too.
        let _ = writeln!(file, "{time:9.4} {text}").and_then(|()| file.flush());
    }
}
