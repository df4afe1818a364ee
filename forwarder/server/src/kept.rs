//! The list of targets as it was last had, for the next process: each entry as the text that discovery sent,
//! by its id. A change of one entry costs that entry.

use std::collections::BTreeMap;
use std::path::Path;

use plankhill_forwarder_config::fields::Plain;
use serde_json::Value;

use crate::page::{is_whole, revision};

#[derive(Default)]
pub struct Kept {
    revision: Option<u64>,
    entries: BTreeMap<Box<str>, Box<str>>,
    /// Of all entries, in bytes.
    size: usize,
}

/// The file in the folder that lasts.
const FILE: &str = "list";

impl Kept {
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Takes a page of the list in. An entry without an id can't be told from others, and is left out.
    pub fn take(&mut self, page: &Value) {
        self.revision = revision(page).or(self.revision);
        if is_whole(page) {
            self.entries.clear();
            self.size = 0;
        }
        for entry in page
            .get("members")
            .and_then(Value::as_array)
            .into_iter()
            .flatten()
        {
            let Some(id) = entry.get("id").and_then(Value::as_str) else {
                continue;
            };
            let gone = entry.get("phase").and_then(Value::as_str) == Some("removed");
            let text = (!gone).then(|| entry.to_string().into_boxed_str());
            self.size += text.as_ref().map_or(0, |text| text.len() + 1);
            let before = match text {
                Some(text) => self.entries.insert(id.into(), text),
                None => self.entries.remove(id),
            };
            self.size -= before.map_or(0, |before| before.len() + 1);
        }
    }

    /// Writes it into the folder, unless it is longer than `most` bytes: then none is kept.
    pub fn write(&self, folder: &Path, most: u64) {
        let (path, new) = (folder.join(FILE), folder.join("list.new"));
        let fits = self.size as u64 <= most;
        if !fits
            || std::fs::write(&new, self.text())
                .and_then(|()| std::fs::rename(&new, &path))
                .is_err()
        {
            let _ = std::fs::remove_file(&new);
            let _ = std::fs::remove_file(&path);
        }
    }

    fn text(&self) -> String {
        let revision = self
            .revision
            .map_or("null".to_owned(), |revision| revision.to_string());
        let mut text = format!("{{\"revision\":{revision},\"complete\":true,\"members\":[");
        text.reserve(self.size + 2);
        for (at, entry) in self.entries.values().enumerate() {
            if at > 0 {
                text.push(',');
            }
            text.push_str(entry);
        }
        text.push_str("]}");
        text
    }
}

/// Whether what is kept in the folder is such a list. An empty file is none: a machine that failed may leave it.
pub fn check(folder: &Path) -> Plain<()> {
    let wrong = |what: String| format!("PROXY_STATE: {}: {what}", folder.join(FILE).display());
    match std::fs::read(folder.join(FILE)) {
        Ok(kept) if kept.is_empty() => Ok(()),
        Ok(kept) => match serde_json::from_slice::<Value>(&kept) {
            Ok(list) if is_whole(&list) && list.get("members").is_some_and(Value::is_array) => {
                Ok(())
            }
            _ => Err(wrong("is not a list of targets".into())),
        },
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(()),
        Err(e) => Err(wrong(format!("cannot be read: {e}"))),
    }
}

/// What an earlier process kept in the folder.
pub fn read(folder: &Path) -> Option<Value> {
    let kept = std::fs::read(folder.join(FILE)).ok()?;
    serde_json::from_slice(&kept).ok().filter(is_whole)
}

#[cfg(test)]
mod tests;
