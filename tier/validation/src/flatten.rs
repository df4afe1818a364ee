//! Turns the nested errors of `validator` into a flat list of faults.

use validator::{ValidationError, ValidationErrors, ValidationErrorsKind};

use crate::{Fault, Faults};

/// The field name under which `validator` reports struct-level errors.
const STRUCT_LEVEL_FIELD: &str = "__all__";

/// Lists every error of `errors` under the path of its key, sorted by that path and then by the
/// message.
pub fn faults_of(errors: &ValidationErrors) -> Faults {
    let mut found = Vec::new();
    collect(errors, "", &mut found);
    found.sort();
    Faults::from(found)
}

/// Adds the errors below the key `parent` to `found`.
fn collect(errors: &ValidationErrors, parent: &str, found: &mut Vec<Fault>) {
    for (name, kind) in errors.errors() {
        let key = join(parent, name);
        match kind {
            ValidationErrorsKind::Field(list) => {
                for error in list {
                    found.push(Fault::new(key.clone(), message_of(error)));
                }
            }
            ValidationErrorsKind::Struct(inner) => collect(inner, &key, found),
            ValidationErrorsKind::List(items) => {
                for (index, inner) in items {
                    collect(inner, &format!("{key}[{index}]"), found);
                }
            }
        }
    }
}

fn join(parent: &str, name: &str) -> String {
    if parent.is_empty() {
        name.to_owned()
    } else if name == STRUCT_LEVEL_FIELD {
        parent.to_owned()
    } else {
        format!("{parent}.{name}")
    }
}

fn message_of(error: &ValidationError) -> String {
    match &error.message {
        Some(message) => message.to_string(),
        None => format!("is not a valid value ({})", error.code),
    }
}
