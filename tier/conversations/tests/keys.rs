//! Keys of rows.

use arbtest::arbtest;
use plankhill_conversations::keys::{account_key, hint_key, split_key};

#[test]
fn keys_of_several_names_split_into_the_same_names() {
    arbtest(|source| {
        let (one, two, three): (&str, &str, &str) = (
            source.arbitrary()?,
            source.arbitrary()?,
            source.arbitrary()?,
        );
        let key = account_key(&one.into(), &two.into());
        assert_eq!(split_key(&key), Some(vec![one, two]));
        let key = hint_key(&one.into(), &two.into(), &three.into());
        assert_eq!(split_key(&key), Some(vec![one, two, three]));
        let bytes: &[u8] = source.arbitrary()?;
        // Splitting arbitrary bytes must not panic.
        let _ = split_key(bytes);
        Ok(())
    });
}
