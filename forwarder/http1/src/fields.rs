//! The first line and the header fields of a head, and the length of the body.

use crate::Malformed;

/// The length of a body (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    /// The given number of bytes.
    Length(u64),
    /// Delimited by the chunked transfer coding.
    Chunked,
    /// Delimited by the close of the connection.
    UntilClose,
}

/// The HTTP version in a first line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Version {
    Http10,
    Http11,
}

impl Version {
    pub(crate) fn read(text: &str) -> Result<Version, Malformed> {
        match text {
            "HTTP/1.1" => Ok(Version::Http11),
            "HTTP/1.0" => Ok(Version::Http10),
            _ => Err(Malformed("the version is not HTTP/1.1")),
        }
    }
}

/// The header fields of a head, in their order.
#[derive(Debug)]
pub struct Fields<'a>(Vec<(&'a str, &'a str)>);

/// Maximum number of digits of a Content-Length: any number of 18 digits fits 64 bits.
const MAX_LENGTH_DIGITS: usize = 18;

impl<'a> Fields<'a> {
    /// The values of all fields with the given name, compared case-insensitively.
    pub(crate) fn all<'s>(&'s self, name: &'s str) -> impl Iterator<Item = &'a str> + 's {
        let fields = self
            .0
            .iter()
            .filter(move |(own, _)| own.eq_ignore_ascii_case(name));
        fields.map(|(_, value)| *value)
    }

    /// The value of a field; `None` if the field is absent.
    ///
    /// # Errors
    /// The field occurs more than once.
    pub fn one(&self, name: &str) -> Result<Option<&'a str>, Malformed> {
        let mut values = self.all(name);
        let value = values.next();
        match values.next() {
            None => Ok(value),
            Some(_) => Err(Malformed("a field that may stand once is there twice")),
        }
    }

    /// The value of the cookie with the given name.
    pub fn cookie(&self, name: &str) -> Option<&'a str> {
        let pairs = self.all("cookie").flat_map(|value| value.split(';'));
        let mut cookies = pairs.filter_map(|pair| pair.trim().split_once('='));
        cookies
            .find(|(own, _)| *own == name)
            .map(|(_, value)| value)
    }

    /// Whether the comma-separated values of a field contain the token, compared case-insensitively.
    pub(crate) fn has_token(&self, name: &str, token: &str) -> bool {
        let mut tokens = self.all(name).flat_map(|value| value.split(','));
        tokens.any(|own| own.trim().eq_ignore_ascii_case(token))
    }

    /// Whether the connection is to be closed after the message (RFC 9112, section 9.3).
    pub(crate) fn closes(&self, version: Version) -> bool {
        match version {
            Version::Http11 => self.has_token("connection", "close"),
            Version::Http10 => {
                self.has_token("connection", "close") || !self.has_token("connection", "keep-alive")
            }
        }
    }

    /// The length of the body, if the fields determine it.
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

/// Splits a complete head into its first line and its fields. `unreadable`, if given, replaces field values that can't
/// be read; otherwise such a value is an error.
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
        let (line, remaining) = split_line(lines);
        fields.push(read_field(line, unreadable)?);
        rest = remaining;
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
    if name.is_empty() || !name.bytes().all(is_token_byte) {
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

/// The first line of `text`, and the lines after it if there are any.
fn split_line(text: &[u8]) -> (&[u8], Option<&[u8]>) {
    match text.windows(2).position(|window| window == b"\r\n") {
        Some(end) => (&text[..end], Some(&text[end + 2..])),
        None => (text, None),
    }
}

/// Whether a byte may occur in a token (RFC 9110, section 5.6.2).
pub(crate) fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}
