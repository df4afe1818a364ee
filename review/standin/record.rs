//! The record of a run: one line for each thing that was sent, answered or run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(folder: &Path) -> Result<Record, String> {
        let file = File::create(folder.join("record.txt")).map_err(|error| error.to_string())?;
        Ok(Record {
            started: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(file))),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{at:9.3} {text}");
            let _ = file.flush();
        }
    }
}
