//! Splits the body of a watch into JSON objects and heartbeats, which are empty lines. An object may be written on one
//! line or indented over several.

/// Longest object, in bytes.
const MAX_OBJECT: usize = 4 << 20;

/// One message of a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// The text of one JSON object, complete by its brackets.
    Object(Vec<u8>),
    /// An empty line between objects.
    Heartbeat,
}

/// Why bytes can't be a part of a watch.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum FrameError {
    /// An object is longer than any list.
    #[error("an object of more than {MAX_OBJECT} bytes")]
    TooLong,
    /// There is text between the objects.
    #[error("unexpected text between objects")]
    Unexpected,
    /// A heartbeat came before the object was complete.
    #[error("an object is incomplete")]
    Incomplete,
}

/// Splits the bytes of a watch into frames.
#[derive(Debug, Default)]
pub struct Framer {
    object: Vec<u8>,
    /// Open brackets.
    depth: usize,
    in_string: bool,
    escaped: bool,
    /// Whether the current line has anything but whitespace.
    is_line_used: bool,
}

impl Framer {
    /// Takes bytes and appends the frames that they complete.
    ///
    /// # Errors
    /// If they can't be a part of a watch; nothing after them can be read.
    pub fn push(&mut self, bytes: &[u8], frames: &mut Vec<Frame>) -> Result<(), FrameError> {
        bytes.iter().try_for_each(|&byte| self.take(byte, frames))
    }

    /// Whether an object has started and is not complete.
    pub fn is_partial(&self) -> bool {
        !self.object.is_empty()
    }

    fn take(&mut self, byte: u8, frames: &mut Vec<Frame>) -> Result<(), FrameError> {
        if self.is_partial() {
            return self.take_in_object(byte, frames);
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

    fn take_in_object(&mut self, byte: u8, frames: &mut Vec<Frame>) -> Result<(), FrameError> {
        if self.object.len() == MAX_OBJECT {
            return Err(FrameError::TooLong);
        }
        self.object.push(byte);
        if byte == b'\n' {
            // No indented object has an empty line; a broken one is followed by the next heartbeat.
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
