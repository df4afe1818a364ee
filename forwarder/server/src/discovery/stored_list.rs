//! The endpoint list as it was last received, for the next process (file `list` of the state folder): each entry as the
//! text that discovery sent, by its id. A change of one entry costs that entry.
//!
//! Owned by the watch; read by the next process at its start.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;

use serde_json::Value;

use crate::endpoint_page::{is_complete, raw_entries, revision};

const FILE: &str = "list";
const NEW_FILE: &str = "list.new";

/// The file is of no use to the next process.
#[derive(Debug, thiserror::Error)]
pub enum StoredListError {
    /// The file is no complete list.
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
    /// Of all entries with a separator each, in bytes.
    entries_bytes: usize,
}

impl StoredList {
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Applies a page of the list. An entry without an id cannot be told from others, and is left out.
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

    /// Writes the list into the folder, unless it is longer than `max_bytes`: then none is stored.
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

/// Checks that the folder's file is such a list. An empty file is none: a machine that failed may leave it.
///
/// # Errors
/// The file cannot be read, or is something else.
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

/// The list that an earlier process stored in the folder.
pub fn read(folder: &Path) -> Option<Value> {
    let stored = std::fs::read(folder.join(FILE)).ok()?;
    serde_json::from_slice(&stored).ok().filter(is_complete)
}

#[cfg(test)]
mod tests;
