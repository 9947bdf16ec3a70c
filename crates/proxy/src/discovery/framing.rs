//! Splits the response body of a watch into JSON objects and heartbeats. A heartbeat is an empty line; an object may be
//! written on one line or indented over several.

/// Maximum length of an object, in bytes.
const MAX_OBJECT: usize = 4 << 20;

/// One message of a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// The text of one JSON object, up to the bracket that closes it. The text itself is not validated.
    Object(Vec<u8>),
    /// An empty line between objects.
    Heartbeat,
}

/// Why the bytes received are not valid in a watch.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum FrameError {
    /// An object exceeds `MAX_OBJECT`, which is longer than any list.
    #[error("an object of more than {MAX_OBJECT} bytes")]
    TooLong,
    /// There is text other than whitespace between objects.
    #[error("unexpected text between objects")]
    Unexpected,
    /// A heartbeat was received before the object was complete.
    #[error("heartbeat inside an incomplete object")]
    Incomplete,
}

/// Splits the bytes of a watch into frames.
#[derive(Debug, Default)]
pub struct Framer {
    /// The bytes received so far of the current object; empty between objects.
    object: Vec<u8>,
    /// The number of open brackets in the current object.
    depth: usize,
    in_string: bool,
    /// Whether the next byte is escaped by a backslash.
    escaped: bool,
    /// Whether the current line has anything but whitespace.
    is_line_used: bool,
}

impl Framer {
    /// Processes received bytes and appends the frames that they complete.
    ///
    /// # Errors
    /// If the bytes are not valid in a watch. The rest of the watch can't be read after that.
    pub fn push(&mut self, bytes: &[u8], frames: &mut Vec<Frame>) -> Result<(), FrameError> {
        bytes.iter().try_for_each(|&byte| self.push_byte(byte, frames))
    }

    /// Whether an object has started but is not complete yet.
    pub fn is_partial(&self) -> bool {
        !self.object.is_empty()
    }

    fn push_byte(&mut self, byte: u8, frames: &mut Vec<Frame>) -> Result<(), FrameError> {
        if self.is_partial() {
            return self.push_object_byte(byte, frames);
        }
        match byte {
            b'{' => {
                self.depth = 1;
                self.is_line_used = true;
                self.object.push(byte);
            }
            b'\n' => {
                if !std::mem::take(&mut self.is_line_used) {
                    frames.push(Frame::Heartbeat);
                }
            }
            b' ' | b'\t' | b'\r' => {}
            _ => return Err(FrameError::Unexpected),
        }
        Ok(())
    }

    fn push_object_byte(&mut self, byte: u8, frames: &mut Vec<Frame>) -> Result<(), FrameError> {
        if self.object.len() == MAX_OBJECT {
            return Err(FrameError::TooLong);
        }
        self.object.push(byte);
        if byte == b'\n' {
            // Objects contain no empty lines, even if indented. An empty line is therefore the heartbeat that follows a
            // truncated object.
            if !std::mem::take(&mut self.is_line_used) {
                return Err(FrameError::Incomplete);
            }
        } else if !byte.is_ascii_whitespace() {
            self.is_line_used = true;
        }
        self.track_depth(byte);
        if self.depth == 0 {
            frames.push(Frame::Object(std::mem::take(&mut self.object)));
        }
        Ok(())
    }

    fn track_depth(&mut self, byte: u8) {
        match byte {
            _ if std::mem::take(&mut self.escaped) => {}
            b'\\' if self.in_string => self.escaped = true,
            b'"' => self.in_string = !self.in_string,
            _ if self.in_string => {}
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth -= 1,
            _ => {}
        }
    }
}
