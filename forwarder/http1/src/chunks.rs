//! Chunked bodies (RFC 9112, section 7.1), decoded in place as they arrive.

use crate::Malformed;

/// Maximum length in bytes of a chunk-size line with its extensions, and of all trailers together.
const MAX_LINE_LEN: usize = 4096;
const TOO_LONG: Malformed = Malformed("a chunk's size or the trailers are too long");

/// Decoder of a chunked body.
#[derive(Default)]
pub struct ChunkedDecoder {
    next: Part,
}

/// The part of the body that the decoder expects next.
#[derive(Default, Clone, Copy)]
enum Part {
    /// The line with a chunk's size.
    #[default]
    Size,
    /// The given number of bytes of a chunk.
    Data(usize),
    /// The line end after a chunk.
    DataEnd,
    /// A trailer, or the empty line after all trailers; the number is the length of the trailers before, in bytes.
    Trailer(usize),
    /// Nothing: the body is complete.
    End,
}

impl ChunkedDecoder {
    /// Decodes `bytes[*read..end]` and writes the data at `*write`, which never exceeds `*read`. Returns true once the
    /// last chunk and the trailers have been read.
    ///
    /// # Errors
    /// The body is not chunked, or one of its lines is too long.
    pub fn decode(
        &mut self,
        bytes: &mut [u8],
        read: &mut usize,
        write: &mut usize,
        end: usize,
    ) -> Result<bool, Malformed> {
        loop {
            let rest = &bytes[*read..end];
            match self.next {
                Part::End => return Ok(true),
                Part::Data(left) => {
                    let length = left.min(rest.len());
                    bytes.copy_within(*read..*read + length, *write);
                    *read += length;
                    *write += length;
                    if length < left {
                        self.next = Part::Data(left - length);
                        return Ok(false);
                    }
                    self.next = Part::DataEnd;
                }
                Part::DataEnd => {
                    let Some(line_end) = rest.get(..2) else {
                        return Ok(false);
                    };
                    if line_end != b"\r\n" {
                        return Err(Malformed("a chunk is longer than its size"));
                    }
                    *read += 2;
                    self.next = Part::Size;
                }
                Part::Size => {
                    let Some(line) = first_line(rest)? else {
                        return Ok(false);
                    };
                    self.next = match read_size(line)? {
                        0 => Part::Trailer(0),
                        size => Part::Data(size),
                    };
                    *read += line.len() + 2;
                }
                Part::Trailer(before) => {
                    let Some(line) = first_line(rest)? else {
                        return Ok(false);
                    };
                    self.next = match line.len() {
                        0 => Part::End,
                        length if before + length > MAX_LINE_LEN => return Err(TOO_LONG),
                        length => Part::Trailer(before + length),
                    };
                    *read += line.len() + 2;
                }
            }
        }
    }
}

/// The first line without its line end; `None` until the line has arrived completely.
fn first_line(bytes: &[u8]) -> Result<Option<&[u8]>, Malformed> {
    match bytes.windows(2).position(|window| window == b"\r\n") {
        Some(length) => Ok(Some(&bytes[..length])),
        None if bytes.len() > MAX_LINE_LEN => Err(TOO_LONG),
        None => Ok(None),
    }
}

fn read_size(line: &[u8]) -> Result<usize, Malformed> {
    const NOT_A_NUMBER: Malformed = Malformed("a chunk's size is not a number");
    let digits = line
        .split(|byte| *byte == b';')
        .next()
        .unwrap_or_default()
        .trim_ascii_end();
    if !(1..=8).contains(&digits.len()) || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(NOT_A_NUMBER);
    }
    let digits = std::str::from_utf8(digits).map_err(|_| NOT_A_NUMBER)?;
    usize::from_str_radix(digits, 16).map_err(|_| NOT_A_NUMBER)
}
