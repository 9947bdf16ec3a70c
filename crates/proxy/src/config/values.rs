//! Values that a configuration file writes as text: addresses, durations, sizes, log filters.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::time::Duration;

use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::{Deserialize, Serialize};

/// Longest duration: a leap year.
const MAX_DURATION: Duration = Duration::from_secs(366 * 24 * 3600);

/// A format of text that the schema names.
pub struct TextFormat {
    pub name: &'static str,
    pub example: &'static str,
    pub is_valid: fn(&str) -> bool,
}

/// All formats that the schema names.
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

/// Whether a text has levels, or `target=level` pairs, separated by commas.
fn is_filter(text: &str) -> bool {
    let is_level = |text: &str| text.trim().parse::<tracing::level_filters::LevelFilter>().is_ok();
    text.split(',').all(|part| match part.split_once('=') {
        Some((target, level)) => !target.trim().is_empty() && is_level(level),
        None => is_level(part),
    })
}

/// A duration as people write it: `250ms`, `1s 500ms`, `2m`.
fn parse_duration(text: &str) -> Option<Duration> {
    humantime::parse_duration(text).ok().filter(|duration| *duration <= MAX_DURATION)
}

macro_rules! text_value {
    ($(#[$doc:meta])* $name:ident($of:ty), $format:literal, $parse:expr, $show:expr) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq)]
        pub struct $name(pub $of);

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
                let text = Cow::<str>::deserialize(from)?;
                let parse: fn(&str) -> Option<$of> = $parse;
                parse(&text).map($name).ok_or_else(|| {
                    serde::de::Error::custom(format!("'{text}' is no {}", $format))
                })
            }
        }

        impl Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
                let show: fn(&$of) -> String = $show;
                to.serialize_str(&show(&self.0))
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
    /// Where to listen or to connect to: IP and port, `[::1]:8080` for IPv6. Names are not looked up.
    Address(SocketAddr),
    "address",
    |text| text.parse().ok(),
    |address| address.to_string()
);
text_value!(
    /// A duration of a year at most.
    Span(Duration),
    "duration",
    parse_duration,
    |span| humantime::format_duration(*span).to_string()
);
text_value!(
    /// A number of bytes.
    Size(u64),
    "size",
    |text| text.parse::<bytesize::ByteSize>().ok().map(|size| size.0),
    |size| bytesize::ByteSize(*size).to_string()
);

impl Span {
    /// A duration of so many seconds.
    pub const fn from_secs(seconds: u64) -> Self {
        Span(Duration::from_secs(seconds))
    }

    /// In milliseconds.
    pub fn ms(self) -> f64 {
        self.0.as_secs_f64() * 1000.0
    }
}

/// Levels by log target, as text.
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
