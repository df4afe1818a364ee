//! Bytes encoded as a block have the same form as bytes encoded one by one.

use std::sync::Arc;

use plankhill_protocol::tables::ConfigurationText;

#[test]
fn the_form_is_that_of_a_sequence() {
    arbtest::arbtest(|random| {
        let (version, bytes): (u64, Vec<u8>) = random.arbitrary()?;
        let text = ConfigurationText { version, document: Arc::from(bytes.as_slice()) };
        let encoded = postcard::to_stdvec(&text).unwrap();
        assert_eq!(encoded, postcard::to_stdvec(&(version, &bytes)).unwrap());
        assert_eq!(postcard::from_bytes::<ConfigurationText>(&encoded).unwrap(), text);
        Ok(())
    });
}
