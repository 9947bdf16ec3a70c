//! Values that are written as text in a configuration file: addresses, durations, sizes and log filters.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::time::Duration;

use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::{Deserialize, Serialize};

/// Longest duration that a file may give: a leap year.
const MAX_DURATION: Duration = Duration::from_secs(366 * 24 * 3600);

/// A text format that the schema refers to by name.
pub struct TextFormat {
    /// The name, as in the schema's keyword `format`.
    pub name: &'static str,
    /// A valid text, which error messages show.
    pub example: &'static str,
    /// Checks whether a text has this format.
    pub is_valid: fn(&str) -> bool,
}

/// All text formats that the schema refers to.
pub const FORMATS: [TextFormat; 4] = [
    TextFormat {
        name: "address",
        example: "127.0.0.1:8080",
        is_valid: |text| text.parse::<SocketAddr>().is_ok(),
    },
    TextFormat { name: "duration", example: "250ms", is_valid: |text| parse_duration(text).is_some() },
    TextFormat {
        name: "size",
        example: "64MiB",
        is_valid: |text| text.parse::<bytesize::ByteSize>().is_ok(),
    },
    TextFormat { name: "filter", example: "info,leadrelay::access=off", is_valid: is_filter },
];

/// Whether a text is a list of levels and `target=level` pairs, separated by commas.
fn is_filter(text: &str) -> bool {
    let is_level = |text: &str| text.trim().parse::<tracing::level_filters::LevelFilter>().is_ok();
    text.split(',').all(|part| match part.split_once('=') {
        Some((target, level)) => !target.trim().is_empty() && is_level(level),
        None => is_level(part),
    })
}

/// Parses a duration such as `250ms`, `1s 500ms` or `2m`; `None` if it is malformed or longer than `MAX_DURATION`.
fn parse_duration(text: &str) -> Option<Duration> {
    humantime::parse_duration(text).ok().filter(|duration| *duration <= MAX_DURATION)
}

/// Defines a type that wraps a value and is written as text: its parsing, its display, and its format in the schema.
macro_rules! text_value {
    ($(#[$doc:meta])* $name:ident($inner:ty), $format:literal, $parse:expr, $show:expr) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq)]
        pub struct $name(pub $inner);

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = Cow::<str>::deserialize(deserializer)?;
                let parse: fn(&str) -> Option<$inner> = $parse;
                parse(&text).map($name).ok_or_else(|| {
                    serde::de::Error::custom(format!("'{text}' is not a valid {}", $format))
                })
            }
        }

        impl Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                let show: fn(&$inner) -> String = $show;
                serializer.serialize_str(&show(&self.0))
            }
        }

        impl JsonSchema for $name {
            fn inline_schema() -> bool {
                true
            }

            fn schema_name() -> Cow<'static, str> {
                stringify!($name).into()
            }

            fn json_schema(_: &mut SchemaGenerator) -> Schema {
                json_schema!({ "type": "string", "format": $format })
            }
        }
    };
}

text_value!(
    /// An IP address and a port, such as `127.0.0.1:8080` or `[::1]:8080`. Host names are not supported.
    Address(SocketAddr),
    "address",
    |text| text.parse().ok(),
    |address| address.to_string()
);
text_value!(
    /// A duration, at most `MAX_DURATION`.
    DurationText(Duration),
    "duration",
    parse_duration,
    |duration| humantime::format_duration(*duration).to_string()
);
text_value!(
    /// A number of bytes.
    Size(u64),
    "size",
    |text| text.parse::<bytesize::ByteSize>().ok().map(|size| size.0),
    |size| bytesize::ByteSize(*size).to_string()
);

impl DurationText {
    /// A duration in seconds.
    pub const fn from_secs(seconds: u64) -> Self {
        DurationText(Duration::from_secs(seconds))
    }

    /// The duration in milliseconds.
    pub fn ms(self) -> f64 {
        self.0.as_secs_f64() * 1000.0
    }
}

/// A log filter: levels and `target=level` pairs, separated by commas.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(transparent)]
pub struct FilterText(pub String);

impl JsonSchema for FilterText {
    fn inline_schema() -> bool {
        true
    }

    fn schema_name() -> Cow<'static, str> {
        "FilterText".into()
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({ "type": "string", "format": "filter" })
    }
}
