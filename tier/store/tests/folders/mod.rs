//! Test helpers for folders.

use std::fs;
use std::path::Path;

/// Copies all files and folders below `from` to `to`, which must exist.
pub fn copy_folder(from: &Path, to: &Path) {
    for entry in fs::read_dir(from).expect("a folder") {
        let path = entry.expect("an entry").path();
        let target = to.join(path.file_name().expect("a name"));
        if path.is_dir() {
            fs::create_dir_all(&target).expect("a folder");
            copy_folder(&path, &target);
        } else {
            fs::copy(&path, &target).expect("a file");
        }
    }
}
