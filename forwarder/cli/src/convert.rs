//! An operator's configuration of the old shape, written anew for the new one.

use std::fs::{self, File};
use std::io::{ErrorKind, Write};
use std::path::Path;

use plankhill_forwarder_config::convert::{convert as converted, Converted};

use crate::Fault;

/// Tells what is set and what could not be carried over; writes the counterpart to `to`, unless `dry_run`.
pub fn convert(
    out: &mut impl Write,
    file: &Path,
    to: &Path,
    retry_after: Option<bool>,
    dry_run: bool,
) -> Result<(), Fault> {
    let named = |what: String| Fault::Given(format!("{}: {what}", file.display()));
    let text = fs::read_to_string(file).map_err(|e| named(format!("cannot be read: {e}")))?;
    let Converted { config, set, left } = converted(&text, retry_after).map_err(named)?;
    if !dry_run {
        let text = format!(
            "{}\n",
            serde_json::to_string_pretty(&config).expect("is JSON")
        );
        write_new(to, text.as_bytes())?;
    }
    for line in &set {
        writeln!(out, "set   {line}")?;
    }
    for line in &left {
        writeln!(out, "left  {line}")?;
    }
    match dry_run {
        true => writeln!(out, "nothing written")?,
        false => writeln!(out, "written to {}", to.display())?,
    }
    Ok(())
}

/// The file stands there whole or not at all; what has the name already, the input or another, is not touched.
fn write_new(to: &Path, bytes: &[u8]) -> Result<(), Fault> {
    let fails = |e: std::io::Error| match e.kind() {
        ErrorKind::AlreadyExists => Fault::Given(format!("{}: exists already", to.display())),
        _ => Fault::Outside(format!("{}: cannot be written: {e}", to.display())),
    };
    let name = to
        .file_name()
        .ok_or_else(|| Fault::Given(format!("{}: is no file's name", to.display())))?;
    let mut part = name.to_owned();
    part.push(format!(".{}.part", std::process::id()));
    let part = to.with_file_name(part);
    let written = File::create_new(&part).and_then(|mut file| {
        file.write_all(bytes)?;
        file.sync_all()
    });
    // A link, unlike a rename, replaces nothing.
    let done = written.and_then(|()| fs::hard_link(&part, to));
    let _ = fs::remove_file(&part);
    done.map_err(fails)
}
