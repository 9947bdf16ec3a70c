//! Standard output.

use std::io::Write as _;

/// Prints text. Its reader may close the pipe early, as `head` does, which is no error.
pub fn print(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}
