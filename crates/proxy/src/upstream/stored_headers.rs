//! The headers of a request, stored until they are sent. Parsed headers are parts of the connection's read buffer and
//! keep all of it alive, so their values are copied. The table of many short headers is several times as large as the
//! headers themselves, so it is built anew for each attempt.

use bytes::{Bytes, BytesMut};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};

/// Capacity in headers up to which the parsed table is kept.
const MAX_TABLE_CAPACITY: usize = 24;

/// The headers of a request.
pub struct StoredHeaders(Form);

enum Form {
    Table(HeaderMap),
    /// Names and values, one after another, and their lengths.
    Text {
        text: Bytes,
        fields: Box<[FieldLengths]>,
    },
}

/// The lengths in bytes of a header's name and value.
struct FieldLengths {
    name: u32,
    value: u32,
}

impl Default for StoredHeaders {
    fn default() -> Self {
        StoredHeaders(Form::Table(HeaderMap::new()))
    }
}

impl From<HeaderMap> for StoredHeaders {
    fn from(mut headers: HeaderMap) -> Self {
        if headers.capacity() > MAX_TABLE_CAPACITY {
            return StoredHeaders(as_text(&headers));
        }
        let mut values = BytesMut::with_capacity(headers.values().map(HeaderValue::len).sum());
        for value in headers.values_mut() {
            values.extend_from_slice(value.as_bytes());
            // The bytes are those of a valid value.
            if let Ok(copy) = HeaderValue::from_maybe_shared(values.split().freeze()) {
                *value = copy;
            }
        }
        StoredHeaders(Form::Table(headers))
    }
}

impl StoredHeaders {
    /// The headers as a table, with room for `additional` more.
    pub fn to_map(&self, additional: usize) -> HeaderMap {
        match &self.0 {
            Form::Table(headers) => headers.clone(),
            Form::Text { text, fields } => {
                let mut map = HeaderMap::with_capacity(fields.len() + additional);
                map.extend(parse_text(text.clone(), fields));
                map
            }
        }
    }
}

fn as_text(headers: &HeaderMap) -> Form {
    let length = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    let mut text = BytesMut::with_capacity(length);
    let mut fields = Vec::with_capacity(headers.len());
    for (name, value) in headers {
        text.extend_from_slice(name.as_str().as_bytes());
        text.extend_from_slice(value.as_bytes());
        // Neither truncates: a head is far shorter than u32::MAX.
        fields.push(FieldLengths { name: name.as_str().len() as u32, value: value.len() as u32 });
    }
    Form::Text { text: text.freeze(), fields: fields.into() }
}

/// The headers that a text consists of. Names and values were valid when they were stored.
fn parse_text(mut text: Bytes, fields: &[FieldLengths]) -> impl Iterator<Item = (HeaderName, HeaderValue)> {
    fields.iter().filter_map(move |field| {
        let name = HeaderName::from_bytes(&text.split_to(field.name as usize));
        let value = HeaderValue::from_maybe_shared(text.split_to(field.value as usize));
        name.ok().zip(value.ok())
    })
}

#[cfg(test)]
mod tests;
