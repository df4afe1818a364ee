//! `plankhill convert`: converts a configuration of the old format to the new one.

use std::fs::{self, File};
use std::io::{self, ErrorKind, Write};
use std::path::Path;

use plankhill_forwarder_config::convert::{convert as converted, Converted};

use crate::error::CliError;

/// Writes the new configuration to `to`, unless `dry_run`, and prints the keys that are set and those that could not be
/// converted.
///
/// # Errors
/// The file is not a configuration of the old format, or `to` exists or can't be written.
pub fn convert(
    out: &mut impl Write,
    file: &Path,
    to: &Path,
    retry_after: Option<bool>,
    dry_run: bool,
) -> Result<(), CliError> {
    let usage_error = |reason: String| CliError::Usage(format!("{}: {reason}", file.display()));
    let text = fs::read_to_string(file).map_err(|e| usage_error(format!("cannot be read: {e}")))?;
    let Converted {
        config,
        changed,
        not_converted,
    } = converted(&text, retry_after).map_err(usage_error)?;
    if !dry_run {
        let text = format!(
            "{}\n",
            serde_json::to_string_pretty(&config).expect("a JSON value has a text")
        );
        write_new(to, text.as_bytes())?;
    }
    for line in &changed {
        writeln!(out, "set   {line}")?;
    }
    for line in &not_converted {
        writeln!(out, "left  {line}")?;
    }
    if dry_run {
        writeln!(out, "nothing written")?;
    } else {
        writeln!(out, "written to {}", to.display())?;
    }
    Ok(())
}

/// Writes a new file atomically. An existing file with that name, the input or another, is not changed.
fn write_new(to: &Path, bytes: &[u8]) -> Result<(), CliError> {
    let name = to
        .file_name()
        .ok_or_else(|| CliError::Usage(format!("{}: is not a file name", to.display())))?;
    let mut part = name.to_owned();
    part.push(format!(".{}.part", std::process::id()));
    let part = to.with_file_name(part);
    // Unlike a rename, a hard link does not replace an existing file.
    let written = write_synced(&part, bytes).and_then(|()| fs::hard_link(&part, to));
    let _ = fs::remove_file(&part);
    written.map_err(|error| match error.kind() {
        ErrorKind::AlreadyExists => CliError::Usage(format!("{}: exists already", to.display())),
        _ => CliError::Failure(format!("{}: cannot be written: {error}", to.display())),
    })
}

fn write_synced(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = File::create_new(path)?;
    file.write_all(bytes)?;
    file.sync_all()
}
