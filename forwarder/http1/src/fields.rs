//! The first line and the fields of a head, and how long the body is.

use crate::Malformed;

/// How long a body is (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    /// So many bytes.
    Length(u64),
    /// In chunks.
    Chunked,
    /// As long as the connection is open.
    UntilClose,
}

/// The version in a first line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Version {
    Http10,
    Http11,
}

impl Version {
    pub(crate) fn read(word: &str) -> Result<Version, Malformed> {
        match word {
            "HTTP/1.1" => Ok(Version::Http11),
            "HTTP/1.0" => Ok(Version::Http10),
            _ => Err(Malformed("the version is not HTTP/1.1")),
        }
    }
}

/// The fields of a head, in their order.
#[derive(Debug)]
pub struct Fields<'a>(Vec<(&'a str, &'a str)>);

/// Digits of a stated length: any number of so many fits 64 bits.
const MAX_LENGTH_DIGITS: usize = 18;

impl<'a> Fields<'a> {
    /// The values of all fields of that name, which is compared without regard to case.
    pub(crate) fn all<'s>(&'s self, name: &'s str) -> impl Iterator<Item = &'a str> + 's {
        let fields = self
            .0
            .iter()
            .filter(move |(own, _)| own.eq_ignore_ascii_case(name));
        fields.map(|(_, value)| *value)
    }

    /// The value of a field, where there is one.
    ///
    /// # Errors
    /// The field is there twice.
    pub fn one(&self, name: &str) -> Result<Option<&'a str>, Malformed> {
        let mut values = self.all(name);
        let value = values.next();
        match values.next() {
            None => Ok(value),
            Some(_) => Err(Malformed("a field that may stand once is there twice")),
        }
    }

    /// The value of a cookie.
    pub fn cookie(&self, name: &str) -> Option<&'a str> {
        let pairs = self.all("cookie").flat_map(|value| value.split(';'));
        let mut cookies = pairs.filter_map(|pair| pair.trim().split_once('='));
        cookies
            .find(|(own, _)| *own == name)
            .map(|(_, value)| value)
    }

    /// Whether a field's list has that word.
    pub(crate) fn has_word(&self, name: &str, word: &str) -> bool {
        let mut words = self.all(name).flat_map(|value| value.split(','));
        words.any(|own| own.trim().eq_ignore_ascii_case(word))
    }

    /// Whether the connection is to be closed behind the message (RFC 9112, section 9.3).
    pub(crate) fn closes(&self, version: Version) -> bool {
        match version {
            Version::Http11 => self.has_word("connection", "close"),
            Version::Http10 => {
                self.has_word("connection", "close") || !self.has_word("connection", "keep-alive")
            }
        }
    }

    /// How long the body is, where the fields say so.
    pub(crate) fn framing(&self, version: Version) -> Result<Option<Body>, Malformed> {
        let length = self.one("content-length")?;
        if let Some(coding) = self.one("transfer-encoding")? {
            if length.is_some() {
                return Err(Malformed("both a length and a transfer coding"));
            }
            if version == Version::Http10 || !coding.eq_ignore_ascii_case("chunked") {
                return Err(Malformed("a transfer coding other than chunked"));
            }
            return Ok(Some(Body::Chunked));
        }
        let Some(length) = length else {
            return Ok(None);
        };
        let is_number = !length.is_empty()
            && length.len() <= MAX_LENGTH_DIGITS
            && length.bytes().all(|byte| byte.is_ascii_digit());
        if !is_number {
            return Err(Malformed("the length is not a number"));
        }
        let length = length.parse().expect("18 digits fit 64 bits");
        Ok(Some(Body::Length(length)))
    }
}

/// The first line of a whole head, and its fields. `unreadable` stands in for values that can't be read, where such
/// values are allowed.
pub(crate) fn split_head<'a>(
    head: &'a [u8],
    unreadable: Option<&'a str>,
) -> Result<(&'a str, Fields<'a>), Malformed> {
    let head = head
        .strip_suffix(b"\r\n\r\n")
        .ok_or(Malformed("the head has no end"))?;
    let (first_line, mut rest) = split_line(head);
    let first_line =
        std::str::from_utf8(first_line).map_err(|_| Malformed("the first line is not UTF-8"))?;
    if first_line.bytes().any(|byte| byte < b' ' || byte == 127) {
        return Err(Malformed("a control character in the first line"));
    }
    let mut fields = Vec::new();
    while let Some(lines) = rest {
        let (line, behind) = split_line(lines);
        fields.push(read_field(line, unreadable)?);
        rest = behind;
    }
    Ok((first_line, Fields(fields)))
}

fn read_field<'a>(
    line: &'a [u8],
    unreadable: Option<&'a str>,
) -> Result<(&'a str, &'a str), Malformed> {
    let colon = line.iter().position(|byte| *byte == b':');
    let colon = colon.ok_or(Malformed("a field without a colon"))?;
    let name = std::str::from_utf8(&line[..colon]).unwrap_or_default();
    if name.is_empty() || !name.bytes().all(is_token) {
        return Err(Malformed("a field's name is not a word"));
    }
    let value = read_value(&line[colon + 1..]).or(unreadable);
    Ok((
        name,
        value.ok_or(Malformed("a field's value cannot be read"))?,
    ))
}

fn read_value(bytes: &[u8]) -> Option<&str> {
    let value = std::str::from_utf8(bytes).ok()?.trim_matches([' ', '\t']);
    let is_control = |byte: u8| (byte < b' ' && byte != b'\t') || byte == 127;
    (!value.bytes().any(is_control)).then_some(value)
}

/// The first line of several, and what follows it.
fn split_line(text: &[u8]) -> (&[u8], Option<&[u8]>) {
    match text.windows(2).position(|window| window == b"\r\n") {
        Some(end) => (&text[..end], Some(&text[end + 2..])),
        None => (text, None),
    }
}

/// Whether a byte may be in a token (RFC 9110, section 5.6.2).
pub(crate) fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}
