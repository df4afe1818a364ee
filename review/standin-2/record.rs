//! What was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            started: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} s  {text}\n", self.seconds());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
