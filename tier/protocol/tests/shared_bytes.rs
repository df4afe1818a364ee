//! Bytes encoded as a block have the same encoding as bytes encoded one by one.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Shared {
    number: u64,
    #[serde(with = "plankhill_protocol::shared_bytes")]
    bytes: Arc<[u8]>,
}

#[test]
fn shared_bytes_are_encoded_like_a_sequence() {
    arbtest::arbtest(|random| {
        let (number, bytes): (u64, Vec<u8>) = random.arbitrary()?;
        let shared = Shared {
            number,
            bytes: Arc::from(bytes.as_slice()),
        };
        let encoded = postcard::to_stdvec(&shared).unwrap();
        assert_eq!(encoded, postcard::to_stdvec(&(number, &bytes)).unwrap());
        assert_eq!(postcard::from_bytes::<Shared>(&encoded).unwrap(), shared);
        Ok(())
    });
}
