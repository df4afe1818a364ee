//! Turns the nested errors of `validator` into a flat list of faults.

use validator::{ValidationError, ValidationErrors, ValidationErrorsKind};

use crate::Faults;

/// The name `validator` gives to faults of a struct as a whole.
const WHOLE_STRUCT: &str = "__all__";

/// Lists every error of `errors` under the path of its key, sorted by that path.
pub fn faults_of(errors: &ValidationErrors) -> Faults {
    let mut found = Vec::new();
    collect(errors, "", &mut found);
    found.sort();
    let mut faults = Faults::new();
    for (key, message) in found {
        faults.add(key, message);
    }
    faults
}

fn collect(errors: &ValidationErrors, parent: &str, found: &mut Vec<(String, String)>) {
    for (name, kind) in errors.errors() {
        let key = join(parent, name);
        match kind {
            ValidationErrorsKind::Field(list) => {
                found.extend(list.iter().map(|error| (key.clone(), message_of(error))));
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
    match (parent.is_empty(), name == WHOLE_STRUCT) {
        (true, _) => name.to_owned(),
        (false, true) => parent.to_owned(),
        (false, false) => format!("{parent}.{name}"),
    }
}

fn message_of(error: &ValidationError) -> String {
    match &error.message {
        Some(message) => message.to_string(),
        None => format!("is not a valid value ({})", error.code),
    }
}
