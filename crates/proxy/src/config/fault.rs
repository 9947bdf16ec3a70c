//! Faults (errors in a configuration file), each with its position in the text.

use std::collections::HashMap;
use std::fmt;
use std::ops::Range;

use serde_json::{Map, Value};
use toml::de::{DeTable, DeValue};

/// An error in a configuration file. Lines and columns count from 1; both are 0 if the fault has no position in the
/// text.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// The line.
    pub line: usize,
    /// The column, in characters.
    pub column: usize,
    /// A description of the error, on one line.
    pub message: String,
}

/// All faults of a file. Displayed as `file:line:column: message`, one fault per line.
#[derive(Clone, Debug, PartialEq)]
pub struct Faults {
    /// The file's path as the user gave it.
    pub file: String,
    /// The faults, in the order of their positions; never empty.
    pub faults: Vec<Fault>,
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            let separator = if index + 1 < self.faults.len() { "\n" } else { "" };
            match fault.line {
                0 => write!(f, "{}: {}{separator}", self.file, fault.message)?,
                line => write!(f, "{}:{line}:{}: {}{separator}", self.file, fault.column, fault.message)?,
            }
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

impl Faults {
    /// One fault that concerns the file as a whole and has no position.
    pub fn without_position(file: &str, message: impl Into<String>) -> Self {
        let fault = Fault { line: 0, column: 0, message: message.into() };
        Faults { file: file.to_owned(), faults: vec![fault] }
    }
}

/// The text of a TOML file with the positions of its keys and values.
pub(super) struct SourceText<'a> {
    text: &'a str,
    /// The byte range of each key, by JSON pointer.
    keys: HashMap<String, Range<usize>>,
    /// The byte range of each value, by JSON pointer.
    values: HashMap<String, Range<usize>>,
}

impl<'a> SourceText<'a> {
    /// Parses a TOML text as far as possible. Syntax errors are returned as faults. An integer beyond 64 bits
    /// and a number that is not finite become null.
    pub fn parse(text: &'a str) -> (Self, Value, Vec<Fault>) {
        let (table, errors) = DeTable::parse_recoverable(text);
        let mut parsed = SourceText { text, keys: HashMap::new(), values: HashMap::new() };
        let value = parsed.table("", table.get_ref());
        let faults =
            errors.iter().map(|error| parsed.fault(error.span().unwrap_or(0..0), error.message())).collect();
        (parsed, value, faults)
    }

    fn table(&mut self, pointer: &str, table: &DeTable) -> Value {
        let mut entries = Map::new();
        for (key, value) in table {
            let name: &str = key.get_ref();
            let child_pointer = format!("{pointer}/{}", name.replace('~', "~0").replace('/', "~1"));
            self.keys.insert(child_pointer.clone(), key.span());
            self.values.insert(child_pointer.clone(), value.span());
            entries.insert(name.to_owned(), self.value(&child_pointer, value.get_ref()));
        }
        Value::Object(entries)
    }

    fn value(&mut self, pointer: &str, value: &DeValue) -> Value {
        match value {
            DeValue::String(text) => Value::String(text.to_string()),
            DeValue::Boolean(value) => Value::Bool(*value),
            DeValue::Integer(number) => {
                i64::from_str_radix(number.as_str(), number.radix()).map_or(Value::Null, Value::from)
            }
            DeValue::Float(number) => number.as_str().parse::<f64>().map_or(Value::Null, Value::from),
            DeValue::Datetime(time) => Value::String(time.to_string()),
            DeValue::Table(table) => self.table(pointer, table),
            DeValue::Array(array) => {
                let mut items = Vec::new();
                for (index, item) in array.iter().enumerate() {
                    let item_pointer = format!("{pointer}/{index}");
                    self.values.insert(item_pointer.clone(), item.span());
                    items.push(self.value(&item_pointer, item.get_ref()));
                }
                Value::Array(items)
            }
        }
    }

    /// A fault at a byte range of the text.
    pub fn fault(&self, span: Range<usize>, message: impl Into<String>) -> Fault {
        let mut start = span.start.min(self.text.len());
        while !self.text.is_char_boundary(start) {
            start -= 1;
        }
        let before = &self.text[..start];
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or_default().chars().count() + 1;
        // The message of the TOML parser may have several lines.
        let message = message.into().lines().map(str::trim).collect::<Vec<_>>().join(", ");
        Fault { line, column, message }
    }

    /// A fault at the value that a JSON pointer names, or at its closest enclosing value if the text doesn't contain
    /// it.
    pub fn at(&self, pointer: &str, message: impl Into<String>) -> Fault {
        let mut pointer = pointer;
        loop {
            if let Some(span) = self.values.get(pointer) {
                return self.fault(span.clone(), message);
            }
            match pointer.rfind('/') {
                Some(end) => pointer = &pointer[..end],
                None => return self.fault(0..0, message),
            }
        }
    }

    /// A fault at the key that a JSON pointer names.
    pub fn at_key(&self, pointer: &str, message: impl Into<String>) -> Fault {
        match self.keys.get(pointer) {
            Some(span) => self.fault(span.clone(), message),
            None => self.at(pointer, message),
        }
    }
}
