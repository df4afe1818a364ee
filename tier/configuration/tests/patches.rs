//! Tests of patches between documents.

mod common;

use arbtest::arbitrary::{self, Unstructured};
use plankhill_configuration::{
    has_same_content, Document, FieldChange, FieldPatch, ListSegment, Patch, PatchError,
    MAX_DOCUMENT_BYTES,
};
use serde_json::{json, Map, Value};

use common::{route, text, valid, with};

fn document(version: u64, value: &Value) -> Document {
    Document::new(version, text(value))
}

/// Creates a patch, encodes, decodes and applies it, and checks the result.
fn assert_patched(old: &Value, new: &Value) -> Patch {
    let (old, new) = (document(1, old), document(2, new));
    let patch = Patch::between(&old, &new).expect("both are objects");
    let wire = postcard::to_stdvec(&patch).expect("a patch can be sent");
    let received: Patch = postcard::from_bytes(&wire).expect("and received");
    assert_eq!(received, patch);
    let result = received.apply(&old).expect("the old document is its base");
    assert_eq!(result.version, 2);
    assert!(
        has_same_content(&result.bytes, &new.bytes),
        "{:?}",
        String::from_utf8_lossy(&result.bytes)
    );
    patch
}

#[test]
fn a_patch_without_changes_carries_only_the_version() {
    let patch = assert_patched(&valid(), &with("/version", json!(9)));
    assert!(patch.text_bytes() < 60, "{patch:?}");
}

#[test]
fn a_patch_of_one_changed_route_carries_only_that_route() {
    let routes = (0..2000)
        .map(|index| route("r", &format!("/{index}/"), "idempotent"))
        .collect();
    let old = with("/routes", routes);
    let mut new = old.clone();
    new["version"] = json!(8);
    new["routes"][1234]["timeout_ms"] = json!(77);
    let patch = assert_patched(&old, &new);
    assert!(patch.text_bytes() < 600, "{} bytes", patch.text_bytes());
    assert!(patch
        .fields
        .iter()
        .map(segment_count)
        .all(|count| count <= 3));
}

fn segment_count(field: &FieldPatch) -> usize {
    match &field.change {
        FieldChange::List(segments) => segments.len(),
        _ => 0,
    }
}

#[test]
fn routes_may_be_added_removed_moved_and_repeated() {
    let list =
        |names: &[&str]| -> Value { names.iter().map(|name| json!({"name": name})).collect() };
    let old = with("/routes", list(&["a", "b", "c", "b", "d"]));
    for names in [
        &["b", "c", "d"][..],
        &["d", "c", "b", "a"],
        &["a", "x", "b", "c", "b", "y", "d", "z"],
        &["b", "b", "b"],
        &[],
    ] {
        assert_patched(&old, &with("/routes", list(names)));
    }
}

#[test]
fn keys_may_be_added_removed_and_change_their_type() {
    let old = json!({"version": 1, "kept": {"a": 1}, "gone": 2, "list": [1, 2], "value": 3});
    let new =
        json!({"version": 2, "kept": {"a": 1}, "came": [7], "list": {"no": "list"}, "value": [3]});
    assert_patched(&old, &new);
    assert_patched(&new, &old);
}

#[test]
fn unknown_keys_are_patched() {
    let old = json!({"version": 1, "a \"quoted\"\n key": [1], "é": null});
    let new = json!({"version": 2, "a \"quoted\"\n key": [1, 1.5e300], "é": [null]});
    assert_patched(&old, &new);
}

#[test]
fn any_two_documents_are_patched_and_patches_can_be_chained() {
    arbtest::arbtest(|source| {
        let values = [
            any_document(source)?,
            any_document(source)?,
            any_document(source)?,
        ];
        assert_patched(&values[0], &values[1]);
        let documents: Vec<Document> = (1..)
            .zip(&values)
            .map(|(version, value)| document(version, value))
            .collect();
        let first = Patch::between(&documents[0], &documents[1]).expect("objects");
        let second = Patch::between(&documents[1], &documents[2]).expect("objects");
        let middle = first.apply(&documents[0]).expect("its base");
        let last = second
            .apply(&middle)
            .expect("its base, with another encoding");
        assert!(last.has_same_content(&documents[2]));
        Ok(())
    });
}

fn any_document(source: &mut Unstructured<'_>) -> arbitrary::Result<Value> {
    let mut fields = Map::new();
    for _ in 0..source.int_in_range(0..=4)? {
        let key = source.choose(&["version", "routes", "services", "limits", "\"", ""])?;
        fields.insert((*key).to_owned(), any_value(source, 2)?);
    }
    Ok(Value::Object(fields))
}

fn any_value(source: &mut Unstructured<'_>, depth: u32) -> arbitrary::Result<Value> {
    let kinds = if depth == 0 { 3 } else { 5 };
    Ok(match source.choose_index(kinds)? {
        0 => json!(source.int_in_range(0..=3)?),
        1 => json!(source.choose(&["", "a", "\\", "\u{1f600}"])?),
        2 => json!(source.choose(&[Some(1.5), None])?),
        3 => {
            let length = source.int_in_range(0..=6)?;
            (0..length)
                .map(|_| any_value(source, depth - 1))
                .collect::<arbitrary::Result<Vec<_>>>()?
                .into()
        }
        _ => json!({"name": any_value(source, depth - 1)?}),
    })
}

#[test]
fn a_patch_is_rejected_on_another_version() {
    let patch = Patch::between(&document(1, &valid()), &document(2, &valid())).expect("objects");
    let result = patch.apply(&document(3, &valid()));
    assert_eq!(
        result,
        Err(PatchError::OtherBase {
            expected: 1,
            found: 3
        })
    );
}

#[test]
fn a_patch_of_a_document_that_is_not_an_object_is_rejected() {
    for bytes in ["", "[]", "null", "{", "{\"a\":}"] {
        let broken = Document::new(1, bytes.as_bytes());
        assert!(Patch::between(&broken, &document(2, &valid())).is_err());
        assert!(Patch::between(&document(2, &valid()), &broken).is_err());
    }
}

fn patch_of(change: FieldChange) -> Patch {
    Patch {
        base_version: 1,
        version: 2,
        fields: vec![FieldPatch {
            key: "list".into(),
            change,
        }],
    }
}

#[test]
fn a_patch_that_retains_missing_elements_is_rejected() {
    let old = document(1, &json!({"list": [1, 2]}));
    for (first, count) in [(0, 3), (3, 1), (u32::MAX, u32::MAX)] {
        let patch = patch_of(FieldChange::List(vec![ListSegment::Keep { first, count }]));
        assert_eq!(
            patch.apply(&old),
            Err(PatchError::MissingElements("list".into()))
        );
    }
    let without = document(1, &json!({}));
    assert_eq!(
        patch_of(FieldChange::Keep).apply(&without),
        Err(PatchError::MissingKey("list".into()))
    );
    let no_list = document(1, &json!({"list": 3}));
    assert!(matches!(
        patch_of(FieldChange::List(vec![])).apply(&no_list),
        Err(PatchError::Document(_))
    ));
}

#[test]
fn a_patch_with_a_result_over_the_size_limit_is_rejected() {
    let old = document(1, &json!({"list": ["x".repeat(1 << 16)]}));
    let times = MAX_DOCUMENT_BYTES / (1 << 16) + 1;
    let segments = vec![ListSegment::Keep { first: 0, count: 1 }; times];
    assert_eq!(
        patch_of(FieldChange::List(segments)).apply(&old),
        Err(PatchError::TooLarge)
    );
}
