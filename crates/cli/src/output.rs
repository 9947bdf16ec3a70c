//! Printing to standard output.

use std::io::Write as _;

/// Prints text to standard output. Write errors are ignored, because a reader such as `head` may close the pipe
/// early.
pub fn print(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}
