//! The record of what was sent, answered and run, with the time since the start of traffic.

use std::{
    fs::File,
    io::{BufWriter, Write as _},
    path::Path,
    sync::{Mutex, PoisonError},
    time::Instant,
};

#[derive(Debug)]
pub struct Record {
    started: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Mutex::new(BufWriter::new(File::create(path)?));
        Ok(Self {
            started: Instant::now(),
            file,
        })
    }

    /// Returns the seconds from the start of the record to `at`.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }

    pub fn write(&self, text: &str) {
        let at = self.seconds(Instant::now());
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _full = writeln!(file, "{at:9.3} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.write(text);
        println!("{text}");
    }

    pub fn flush(&self) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _full = file.flush();
    }
}
