//! Where a head ends, and whether bytes may begin a request.

/// Looks for the end of a head. Bytes that were looked at before are not looked at again.
#[derive(Default)]
pub struct HeadSearch {
    searched: usize,
}

const HEAD_END: &[u8] = b"\r\n\r\n";

impl HeadSearch {
    /// The length of the head with its empty line, once all of it is there. `bytes` begin with what they were in the
    /// last call.
    pub fn end(&mut self, bytes: &[u8]) -> Option<usize> {
        // The end may have begun in what was looked at before.
        let start = self.searched.saturating_sub(HEAD_END.len() - 1);
        let found = bytes[start..]
            .windows(HEAD_END.len())
            .position(|window| window == HEAD_END);
        self.searched = bytes.len();
        Some(start + found? + HEAD_END.len())
    }
}

/// How many bytes of empty lines are ahead of a message (RFC 9112, section 2.2: to be ignored ahead of a request).
pub fn empty_lines(bytes: &[u8]) -> usize {
    2 * bytes
        .chunks_exact(2)
        .take_while(|pair| *pair == b"\r\n")
        .count()
}

/// The longest method that a request may begin with, in bytes.
const MAX_METHOD_LEN: usize = 16;

/// Whether these bytes can be the beginning of a request, or nothing at all.
pub fn may_begin(bytes: &[u8]) -> bool {
    let mut words = bytes.splitn(2, |byte| *byte == b' ');
    let method = words.next().unwrap_or_default();
    if method.len() > MAX_METHOD_LEN || !method.iter().all(u8::is_ascii_uppercase) {
        return false;
    }
    match words.next().and_then(|target| target.first()) {
        Some(first) => matches!(first, b'/' | b'*' | b'h'),
        None => true,
    }
}
