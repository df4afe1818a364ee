//! Tests of the comparison of documents by content.

mod common;

use plankhill_configuration::{has_same_content, Document};
use serde_json::Value;

use common::{text, valid};

#[test]
fn key_order_white_space_and_number_format_are_ignored() {
    let same = [
        (r#"{"a":1,"b":[1,2]}"#, r#" { "b" : [ 1, 2 ] , "a" : 1 } "#),
        (r#"{"a":60}"#, r#"{"a":60.0}"#),
        (r#"{"a":1e2}"#, r#"{"a":100}"#),
        (r#"{"a":"\u0041"}"#, r#"{"a":"A"}"#),
        ("not json", "not json"),
    ];
    for (left, right) in same {
        assert!(
            has_same_content(left.as_bytes(), right.as_bytes()),
            "{left} {right}"
        );
    }
}

#[test]
fn list_order_values_and_keys_are_compared() {
    let different = [
        (r#"{"a":[1,2]}"#, r#"{"a":[2,1]}"#),
        (r#"{"a":1}"#, r#"{"a":2}"#),
        (r#"{"a":1}"#, r#"{"a":"1"}"#),
        (r#"{"a":1}"#, r#"{"a":1,"b":null}"#),
        (r#"{"a":1}"#, r#"{"b":1}"#),
        (r#"{"a":9007199254740993}"#, r#"{"a":9007199254740992}"#),
        ("not json", "not  json"),
        ("{}", "not json"),
    ];
    for (left, right) in different {
        assert!(
            !has_same_content(left.as_bytes(), right.as_bytes()),
            "{left} {right}"
        );
    }
}

#[test]
fn documents_are_equal_only_with_the_same_version() {
    let pretty = serde_json::to_vec_pretty(&valid()).expect("a value can be written");
    let document = Document::new(7, text(&valid()));
    assert!(document.has_same_content(&Document::new(7, pretty.clone())));
    assert!(!document.has_same_content(&Document::new(8, pretty)));
}

#[test]
fn a_document_equals_itself_serialized_again() {
    arbtest::arbtest(|source| {
        let fields: Vec<(String, i64, bool, Option<String>)> = source.arbitrary()?;
        let value: Value = fields
            .into_iter()
            .map(|(key, number, truth, word)| (key, serde_json::json!([number, truth, word])))
            .collect::<serde_json::Map<_, _>>()
            .into();
        let pretty = serde_json::to_vec_pretty(&value).expect("a value can be written");
        assert!(has_same_content(&text(&value), &pretty));
        Ok(())
    });
}
