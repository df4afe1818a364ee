//! Compares values with the bytes of a fixture.

use std::collections::BTreeSet;
use std::fmt::Debug;
use std::path::PathBuf;

use serde::de::DeserializeOwned;
use serde::Serialize;

/// A type whose encoding is pinned.
pub trait Pinned: Serialize + DeserializeOwned + PartialEq + Debug {
    /// The name in the fixture of the value's variant, or of the type if it is a struct. The name
    /// stays the same when the identifier in the code is renamed.
    fn variant(&self) -> &'static str;
}

/// Checks that `values` are encoded to the bytes of the fixture `type_name.txt`, one line each in
/// this order, and that the bytes are decoded to the values again.
pub fn assert_pinned<T: Pinned>(type_name: &str, values: &[T]) {
    let mut names = BTreeSet::new();
    let mut lines = Vec::new();
    for value in values {
        assert!(
            names.insert(value.variant()),
            "duplicate name {}",
            value.variant()
        );
        lines.push((
            value.variant().to_owned(),
            postcard::to_stdvec(value).unwrap(),
        ));
    }
    let pinned = fixture(type_name);
    assert_eq!(lines, pinned, "{type_name}");
    for (value, (name, bytes)) in values.iter().zip(&pinned) {
        let decoded: T = postcard::from_bytes(bytes).unwrap();
        assert_eq!(decoded, *value, "{type_name} {name}");
        assert_eq!(
            postcard::to_stdvec(&decoded).unwrap(),
            *bytes,
            "{type_name} {name}, encoded again"
        );
    }
}

/// Reads the names and bytes of a fixture.
pub fn fixture(name: &str) -> Vec<(String, Vec<u8>)> {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/wire_format")
        .join(format!("{name}.txt"));
    let text = std::fs::read_to_string(&path)
        .unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    text.lines()
        .map(|line| {
            let (name, hex) = line.split_once(' ').unwrap();
            (name.to_owned(), from_hex(hex))
        })
        .collect()
}

fn from_hex(hex: &str) -> Vec<u8> {
    assert_eq!(hex.len() % 2, 0, "odd number of hex digits: {hex}");
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).unwrap())
        .collect()
}
