//! Documents are compressed when encoded, and decoded byte for byte.

use std::sync::Arc;

use plankhill_protocol::document::Document;

fn document(text: &[u8]) -> Document {
    Document::from(Arc::<[u8]>::from(text))
}

fn encoded(document: &Document) -> Vec<u8> {
    postcard::to_stdvec(document).unwrap()
}

fn decoded(encoded: &[u8]) -> Result<Document, postcard::Error> {
    postcard::from_bytes(encoded)
}

/// A document with many similar routes.
fn routes(count: usize) -> Vec<u8> {
    let route = |number| {
        format!("{{\"name\":\"r-{number}\",\"host\":\"h{number}.example\",\"timeout_ms\":5000}},")
    };
    (0..count).map(route).collect::<String>().into_bytes()
}

#[test]
fn any_bytes_are_decoded_as_they_were_encoded() {
    arbtest::arbtest(|random| {
        let (bytes, repeats): (Vec<u8>, u8) = random.arbitrary()?;
        let text = bytes.repeat(usize::from(repeats));
        let original = document(&text);
        assert_eq!(decoded(&encoded(&original)).unwrap(), original);
        Ok(())
    });
}

#[test]
fn repetitive_documents_are_compressed() {
    let text = routes(500);
    assert!(encoded(&document(&text)).len() < text.len() / 3);
}

#[test]
fn short_documents_are_not_compressed() {
    let text = b"{\"version\":1}";
    assert_eq!(
        encoded(&document(text)),
        postcard::to_stdvec(&text.to_vec()).unwrap()
    );
}

#[test]
fn a_stored_uncompressed_document_is_decoded() {
    let text = routes(500);
    let uncompressed = postcard::to_stdvec(&text).unwrap();
    assert_eq!(decoded(&uncompressed).unwrap(), document(&text));
}

#[test]
fn a_short_document_that_begins_with_the_compressed_tag_is_decoded() {
    let text = [1, 0, 0];
    assert_eq!(
        decoded(&encoded(&document(&text))).unwrap(),
        document(&text)
    );
}

#[test]
fn damaged_bytes_are_an_error_without_a_large_allocation() {
    arbtest::arbtest(|random| {
        let mut bytes: Vec<u8> = random.arbitrary()?;
        bytes.insert(0, 1);
        // The bytes may be valid by chance; the test requires only that decoding terminates without
        // a panic.
        let _ = decoded(&postcard::to_stdvec(&bytes).unwrap());
        Ok(())
    });
    let claims_four_gigabytes = [1_u8, 0xff, 0xff, 0xff, 0xff, 0];
    assert!(decoded(&postcard::to_stdvec(&claims_four_gigabytes.to_vec()).unwrap()).is_err());
    assert!(decoded(&postcard::to_stdvec(&vec![1_u8, 0, 0]).unwrap()).is_err());
}
