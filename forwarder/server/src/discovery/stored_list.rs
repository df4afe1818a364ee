//! The last received endpoint list, stored for the next process (file `list` in the state folder):
//! the JSON text of each entry by its id. A change of one entry encodes only that entry.
//!
//! Owned by the watch; read by the next process at its start.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;

use serde_json::Value;

use crate::endpoint_page::{is_complete, raw_entries, revision};

const FILE: &str = "list";
const NEW_FILE: &str = "list.new";

/// Why the stored list cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum StoredListError {
    /// The file is not a complete list.
    #[error("PROXY_STATE: {path}: is not a list of targets")]
    Malformed {
        /// The file.
        path: String,
    },
    /// The file cannot be read.
    #[error("PROXY_STATE: {path}: cannot be read: {error}")]
    Unreadable {
        /// The file.
        path: String,
        /// The system's error.
        error: io::Error,
    },
}

#[derive(Default)]
pub struct StoredList {
    revision: Option<u64>,
    entries: BTreeMap<Box<str>, Box<str>>,
    /// Size of all entries in bytes, including one separator each.
    entries_bytes: usize,
}

impl StoredList {
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Applies a page of the list. An entry without an id cannot be identified, and is ignored.
    pub fn apply(&mut self, page: &Value) {
        self.revision = revision(page).or(self.revision);
        if is_complete(page) {
            self.entries.clear();
            self.entries_bytes = 0;
        }
        for entry in raw_entries(page) {
            let Some(id) = entry.get("id").and_then(Value::as_str) else {
                continue;
            };
            let is_removed = entry.get("phase").and_then(Value::as_str) == Some("removed");
            if is_removed {
                self.remove(id);
            } else {
                self.insert(id, entry.to_string().into_boxed_str());
            }
        }
    }

    fn insert(&mut self, id: &str, text: Box<str>) {
        self.entries_bytes += text.len() + 1;
        if let Some(before) = self.entries.insert(id.into(), text) {
            self.entries_bytes -= before.len() + 1;
        }
    }

    fn remove(&mut self, id: &str) {
        if let Some(before) = self.entries.remove(id) {
            self.entries_bytes -= before.len() + 1;
        }
    }

    /// Writes the list to the folder. If it is longer than `max_bytes` or cannot be written, the
    /// stored list is removed.
    pub fn write(&self, folder: &Path, max_bytes: u64) {
        let path = folder.join(FILE);
        let new = folder.join(NEW_FILE);
        let written = self.entries_bytes as u64 <= max_bytes
            && std::fs::write(&new, self.text())
                .and_then(|()| std::fs::rename(&new, &path))
                .is_ok();
        if !written {
            let _ = std::fs::remove_file(&new);
            let _ = std::fs::remove_file(&path);
        }
    }

    fn text(&self) -> String {
        let revision = self
            .revision
            .map_or("null".to_owned(), |revision| revision.to_string());
        let mut text = format!("{{\"revision\":{revision},\"complete\":true,\"members\":[");
        text.reserve(self.entries_bytes + 2);
        for (position, entry) in self.entries.values().enumerate() {
            if position > 0 {
                text.push(',');
            }
            text.push_str(entry);
        }
        text.push_str("]}");
        text
    }
}

/// Checks that the folder's file, if any, is a complete list. An empty file counts as none: it may
/// be left after a machine failure.
///
/// # Errors
/// The file cannot be read, or is not a complete list.
pub fn check(folder: &Path) -> Result<(), StoredListError> {
    let file = folder.join(FILE);
    let path = || file.display().to_string();
    let stored = match std::fs::read(&file) {
        Ok(stored) => stored,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(()),
        Err(error) => {
            return Err(StoredListError::Unreadable {
                path: path(),
                error,
            })
        }
    };
    if stored.is_empty() {
        return Ok(());
    }
    match serde_json::from_slice::<Value>(&stored) {
        Ok(list) if is_complete(&list) && list.get("members").is_some_and(Value::is_array) => {
            Ok(())
        }
        _ => Err(StoredListError::Malformed { path: path() }),
    }
}

/// Reads the list that an earlier process stored in the folder; `None` without a complete one.
pub fn read(folder: &Path) -> Option<Value> {
    let stored = std::fs::read(folder.join(FILE)).ok()?;
    serde_json::from_slice(&stored).ok().filter(is_complete)
}

#[cfg(test)]
mod tests;
