//! Reader for input lines with line numbers.

use std::io::{self, BufRead};

use crate::error::{Error, LineError};

/// One line of the input.
pub struct NumberedLine {
    /// The line number, counted from 1.
    pub number: usize,
    /// The text of the line, without the line break.
    pub text: String,
}

/// Reads the input line by line.
pub struct NumberedLines<R> {
    lines: io::Lines<R>,
    /// Number of the last line read, counted from 1; 0 before the first line.
    number: usize,
}

impl<R: BufRead> NumberedLines<R> {
    /// Creates a reader positioned before the first line.
    pub fn new(input: R) -> Self {
        NumberedLines { lines: input.lines(), number: 0 }
    }

    /// Reads the next line. Returns `None` at the end of the input.
    pub fn next(&mut self) -> Result<Option<NumberedLine>, Error> {
        let Some(line) = self.lines.next() else { return Ok(None) };
        self.number += 1;
        let text = line.map_err(|error| LineError::from(error).at_line(self.number))?;
        Ok(Some(NumberedLine { number: self.number, text }))
    }
}
