//! Faults of a configuration file, each with its place in the text.

use std::collections::HashMap;
use std::fmt;
use std::ops::Range;

use serde_json::{Map, Value};
use toml::de::{DeTable, DeValue};

/// One fault. Lines and columns count from 1; both are 0 where a fault has no place in the text.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// Its line.
    pub line: usize,
    /// Its column, in characters.
    pub column: usize,
    /// What is wrong, in one line.
    pub message: String,
}

/// All faults of a file. Displayed as one `file:line:column: message` a line.
#[derive(Clone, Debug, PartialEq)]
pub struct Faults {
    /// The file as its user named it.
    pub file: String,
    /// Its faults, in the order of their places; never empty.
    pub faults: Vec<Fault>,
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            let end = if index + 1 < self.faults.len() { "\n" } else { "" };
            match fault.line {
                0 => write!(f, "{}: {}{end}", self.file, fault.message)?,
                line => write!(f, "{}:{line}:{}: {}{end}", self.file, fault.column, fault.message)?,
            }
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

impl Faults {
    /// A file with one fault that has no place in its text.
    pub fn whole(file: &str, message: impl Into<String>) -> Self {
        let fault = Fault { line: 0, column: 0, message: message.into() };
        Faults { file: file.to_owned(), faults: vec![fault] }
    }
}

/// A file's text with the places of its values.
pub(super) struct Text<'a> {
    text: &'a str,
    /// The bytes of each key, by its JSON pointer.
    keys: HashMap<String, Range<usize>>,
    /// The bytes of each value, by its JSON pointer.
    values: HashMap<String, Range<usize>>,
}

impl<'a> Text<'a> {
    /// Parses a TOML text as far as it can be parsed; the rest is reported as faults.
    pub fn read(text: &'a str) -> (Self, Value, Vec<Fault>) {
        let (table, errors) = DeTable::parse_recoverable(text);
        let mut parsed = Text { text, keys: HashMap::new(), values: HashMap::new() };
        let value = parsed.table("", table.get_ref());
        let faults =
            errors.iter().map(|error| parsed.fault(error.span().unwrap_or(0..0), error.message())).collect();
        (parsed, value, faults)
    }

    fn table(&mut self, pointer: &str, table: &DeTable) -> Value {
        let mut all = Map::new();
        for (key, value) in table {
            let name: &str = key.get_ref();
            let below = format!("{pointer}/{}", name.replace('~', "~0").replace('/', "~1"));
            self.keys.insert(below.clone(), key.span());
            self.values.insert(below.clone(), value.span());
            all.insert(name.to_owned(), self.value(&below, value.get_ref()));
        }
        Value::Object(all)
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

    /// A fault at these bytes of the text.
    pub fn fault(&self, span: Range<usize>, message: impl Into<String>) -> Fault {
        let mut start = span.start.min(self.text.len());
        while !self.text.is_char_boundary(start) {
            start -= 1;
        }
        let before = &self.text[..start];
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or_default().chars().count() + 1;
        // A parser's message may have several lines.
        let message = message.into().lines().map(str::trim).collect::<Vec<_>>().join(", ");
        Fault { line, column, message }
    }

    /// A fault of the value at a JSON pointer, or of the closest one around it that is in the text.
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

    /// A fault of the key at a JSON pointer.
    pub fn at_key(&self, pointer: &str, message: impl Into<String>) -> Fault {
        match self.keys.get(pointer) {
            Some(span) => self.fault(span.clone(), message),
            None => self.at(pointer, message),
        }
    }
}
