//! The record of what was sent, answered and run, with seconds since the start.

use std::{
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn now_s(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn add(&self, line: impl AsRef<str>) {
        let mut lines = self.lines.lock().unwrap();
        let line = format!("{:9.3} {}", self.now_s(), line.as_ref());
        lines.push(line);
    }

    pub fn write(&self, path: &Path) {
        let text = self.lines.lock().unwrap().join("\n") + "\n";
        if let Err(err) = std::fs::write(path, text) {
            eprintln!("the record can't be written: {err}");
        }
    }
}
