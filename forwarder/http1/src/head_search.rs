//! Search for the end of a head, and checks of the first bytes of a request.

/// Incremental search for the end of a head: each call resumes where the last one ended.
#[derive(Default)]
pub struct HeadSearch {
    searched: usize,
}

const HEAD_END: &[u8] = b"\r\n\r\n";

impl HeadSearch {
    /// The length of the head including its empty line; `None` until the head is complete. `bytes` must begin with the
    /// bytes of the last call.
    pub fn end(&mut self, bytes: &[u8]) -> Option<usize> {
        // The end of the head may have started in the bytes of the last call.
        let start = self.searched.saturating_sub(HEAD_END.len() - 1);
        let found = bytes[start..]
            .windows(HEAD_END.len())
            .position(|window| window == HEAD_END);
        self.searched = bytes.len();
        Some(start + found? + HEAD_END.len())
    }
}

/// Length in bytes of the empty lines before a message, which are to be ignored before a request (RFC 9112, section 2.2).
pub fn leading_empty_line_bytes(bytes: &[u8]) -> usize {
    2 * bytes
        .chunks_exact(2)
        .take_while(|pair| *pair == b"\r\n")
        .count()
}

/// Maximum length of a request's method, in bytes.
const MAX_METHOD_LEN: usize = 16;

/// Whether the bytes can be the beginning of a request; also true if there are none.
pub fn may_be_request(bytes: &[u8]) -> bool {
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
