//! A body in chunks, decoded in place as it comes in.

use crate::Malformed;

/// Longest line of a chunk's size with its extensions, and all trailers together.
const LONGEST_LINE: usize = 4096;

#[derive(Default)]
pub struct Chunks {
    at: Part,
}

#[derive(Default, Clone, Copy)]
enum Part {
    #[default]
    Size,
    Data(usize),
    DataEnd,
    Trailer(usize),
    Over,
}

impl Chunks {
    /// Decodes `bytes[*read..end]` and appends the data at `*write`, which never overtakes `*read`.
    /// True once the last chunk and the trailers have been read.
    pub fn decode(
        &mut self,
        bytes: &mut [u8],
        read: &mut usize,
        write: &mut usize,
        end: usize,
    ) -> Result<bool, Malformed> {
        loop {
            let rest = &bytes[*read..end];
            match self.at {
                Part::Over => return Ok(true),
                Part::Data(left) => {
                    let now = left.min(rest.len());
                    bytes.copy_within(*read..*read + now, *write);
                    (*read, *write) = (*read + now, *write + now);
                    self.at = if now == left {
                        Part::DataEnd
                    } else {
                        Part::Data(left - now)
                    };
                    if now < left {
                        return Ok(false);
                    }
                }
                Part::DataEnd => {
                    if rest.len() < 2 {
                        return Ok(false);
                    }
                    if &rest[..2] != b"\r\n" {
                        return Err(Malformed("a chunk is longer than its size"));
                    }
                    (*read, self.at) = (*read + 2, Part::Size);
                }
                Part::Size | Part::Trailer(_) => {
                    let Some(length) = rest.windows(2).position(|w| w == b"\r\n") else {
                        return if rest.len() > LONGEST_LINE {
                            Err(TOO_LONG)
                        } else {
                            Ok(false)
                        };
                    };
                    let next = match self.at {
                        Part::Trailer(_) if length == 0 => Part::Over,
                        Part::Trailer(seen) if seen + length > LONGEST_LINE => {
                            return Err(TOO_LONG)
                        }
                        Part::Trailer(seen) => Part::Trailer(seen + length),
                        _ => match size(&rest[..length])? {
                            0 => Part::Trailer(0),
                            size => Part::Data(size),
                        },
                    };
                    (*read, self.at) = (*read + length + 2, next);
                }
            }
        }
    }
}

const TOO_LONG: Malformed = Malformed("a chunk's size or the trailers are too long");

fn size(line: &[u8]) -> Result<usize, Malformed> {
    let digits = line
        .split(|b| *b == b';')
        .next()
        .unwrap_or_default()
        .trim_ascii_end();
    let valid = (1..=8).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| valid);
    text.and_then(|t| usize::from_str_radix(t, 16).ok())
        .ok_or(Malformed("a chunk's size is not a number"))
}
