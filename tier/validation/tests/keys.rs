//! Paths of keys in faults, and the text form of a list of faults.

use plankhill_validation::{faults_of, Fault, Faults};
use validator::Validate;

#[derive(Validate)]
struct Outer {
    #[validate(length(min = 1))]
    name: String,
    #[validate(nested)]
    inner: Inner,
    #[validate(nested)]
    list: Vec<Inner>,
}

#[derive(Validate)]
struct Inner {
    #[validate(range(min = 1, message = "must not be 0"))]
    number: u32,
}

#[test]
fn nested_keys_are_joined_by_dots_and_indexes_are_in_brackets() {
    let outer = Outer {
        name: String::new(),
        inner: Inner { number: 0 },
        list: vec![Inner { number: 1 }, Inner { number: 0 }],
    };
    let faults = faults_of(&outer.validate().expect_err("three values are wrong"));
    let keys: Vec<&str> = faults.iter().map(|fault| fault.key.as_str()).collect();
    assert_eq!(keys, ["inner.number", "list[1].number", "name"]);
}

#[test]
fn faults_are_joined_with_semicolons() {
    let mut faults = Faults::from(Fault::new("a", "is wrong"));
    faults.add("b[2].c", "must not be 0");
    assert_eq!(faults.to_string(), "a: is wrong; b[2].c: must not be 0");
    assert_eq!(faults.len(), 2);
    assert!(faults.into_result().is_err());
    assert!(Faults::new().into_result().is_ok());
}
