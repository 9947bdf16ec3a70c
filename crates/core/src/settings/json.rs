//! Parses the operators' settings into [`Settings`]. They are JSON whose keys the operators define.

use serde_json::Value;

use crate::ids::{Millis, ZoneId};
use crate::names::{Names, intern};
use crate::settings::{
    DeduplicationScope, DiscoveryMode, Idempotency, Limits, Prices, RequestClass, Settings, Tenant,
    WeightMeaning,
};

/// Timeouts of backend connections, which do not affect balancing decisions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionTimeouts {
    /// Longest time for establishing a connection.
    pub connect_timeout: Millis,
    /// Idle time after which backends close a connection at the latest.
    pub backend_idle_timeout: Millis,
}

/// The finite, non-negative number under `key`, or `default`.
fn number(value: &Value, key: &str, default: f64) -> f64 {
    value[key].as_f64().filter(|x| x.is_finite() && *x >= 0.0).unwrap_or(default)
}

/// The boolean under `key`, or `default`.
fn flag(value: &Value, key: &str, default: bool) -> bool {
    value[key].as_bool().unwrap_or(default)
}

/// The string under `key`, or an empty one.
fn text<'a>(value: &'a Value, key: &str) -> &'a str {
    value[key].as_str().unwrap_or("")
}

/// The elements of the array under `key`, or none.
fn list<'a>(value: &'a Value, key: &str) -> &'a [Value] {
    value[key].as_array().map_or(&[], Vec::as_slice)
}

/// The strings in the array under `key`, or none.
fn strings(value: &Value, key: &str) -> Vec<String> {
    list(value, key).iter().filter_map(Value::as_str).map(str::to_owned).collect()
}

fn parse_class(value: &Value) -> RequestClass {
    let deadline = number(value, "deadline", 1000.0);
    RequestClass {
        latency_objective: number(value, "promise", deadline).min(deadline),
        deadline,
        objective_stretch: number(value, "aimStretch", 0.0),
        priority_weight: number(value, "worth", 1.0),
        late_fraction: number(value, "lateShare", 0.0),
        // A request that is not known to be repeatable must never be executed twice.
        idempotency: match text(value, "effect") {
            "idempotent" => Idempotency::Always,
            "deduplicated" => match text(value, "dedupScope") {
                "all" => with_key(value, DeduplicationScope::All),
                "zone" => with_key(value, DeduplicationScope::Zone),
                "cell" => with_key(value, DeduplicationScope::Cell),
                _ => Idempotency::Never,
            },
            _ => Idempotency::Never,
        },
    }
}

fn with_key(value: &Value, scope: DeduplicationScope) -> Idempotency {
    Idempotency::WithKey { scope, window: number(value, "window", 0.0) }
}

/// Parses the connection timeouts from the same JSON object as [`parse`].
pub fn parse_connection_timeouts(all: &Value) -> ConnectionTimeouts {
    let ceilings = &all["ceilings"];
    ConnectionTimeouts {
        connect_timeout: number(ceilings, "dialTimeout", 250.0),
        backend_idle_timeout: number(ceilings, "idleClose", 15_000.0),
    }
}

/// A missing or invalid value in the settings. A running proxy applies nothing from settings that contain an error.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// The settings contain no request class.
    #[error("'classes' is missing or empty")]
    NoClasses,
    /// The class at this position, counted from 0, has no name.
    #[error("class {0} has no name")]
    UnnamedClass(usize),
    /// Two classes have this name.
    #[error("class '{0}' is defined twice")]
    DuplicateClass(String),
    /// A number of a class is missing or is not positive.
    #[error("class '{class}': {key} is not a positive number")]
    NotPositive {
        /// The name of the class.
        class: String,
        /// The key of the number.
        key: &'static str,
    },
    /// The deduplication scope of the class with this name is unknown.
    #[error("class '{0}': dedupScope is not one of all, zone, cell")]
    UnknownScope(String),
    /// The effect of a class is not one of idempotent, deduplicated and at_most_once.
    #[error("class '{class}': effect '{effect}' is not one of idempotent, deduplicated, at_most_once")]
    UnknownEffect {
        /// The name of the class.
        class: String,
        /// The value in the settings.
        effect: String,
    },
    /// The maximum number of attempts is missing or is not a positive integer.
    #[error("ceilings.maxAttempts is not a positive number")]
    NoAttempts,
}

/// Returns all missing or invalid values in the settings.
pub fn validate(all: &Value) -> Vec<SettingsError> {
    let mut errors = Vec::new();
    let classes = list(all, "classes");
    if classes.is_empty() {
        errors.push(SettingsError::NoClasses);
    }
    for (position, class) in classes.iter().enumerate() {
        let name = text(class, "name");
        if name.is_empty() {
            errors.push(SettingsError::UnnamedClass(position));
        } else if classes[..position].iter().any(|earlier| text(earlier, "name") == name) {
            errors.push(SettingsError::DuplicateClass(name.to_owned()));
        }
        validate_class(name, class, &mut errors);
    }
    if all["ceilings"]["maxAttempts"].as_u64().is_none_or(|attempts| attempts == 0) {
        errors.push(SettingsError::NoAttempts);
    }
    errors
}

fn validate_class(name: &str, class: &Value, errors: &mut Vec<SettingsError>) {
    for key in ["deadline", "promise", "worth"] {
        validate_positive(name, class, key, errors);
    }
    match text(class, "effect") {
        "idempotent" | "at_most_once" => {}
        "deduplicated" => {
            if !matches!(text(class, "dedupScope"), "all" | "zone" | "cell") {
                errors.push(SettingsError::UnknownScope(name.to_owned()));
            }
            validate_positive(name, class, "window", errors);
        }
        effect => {
            errors.push(SettingsError::UnknownEffect { class: name.to_owned(), effect: effect.to_owned() })
        }
    }
}

fn validate_positive(name: &str, class: &Value, key: &'static str, errors: &mut Vec<SettingsError>) {
    let is_positive = class[key].as_f64().is_some_and(|number| number.is_finite() && number > 0.0);
    if !is_positive {
        errors.push(SettingsError::NotPositive { class: name.to_owned(), key });
    }
}

/// Parses the settings and the names in them. Missing values get a conservative default.
pub fn parse(all: &Value) -> (Settings, Names) {
    let mut names = Names {
        classes: list(all, "classes").iter().map(|c| text(c, "name").to_owned()).collect(),
        tenants: list(all, "accounts").iter().map(|t| text(t, "name").to_owned()).collect(),
        zones: strings(all, "zones"),
        machine_classes: strings(all, "flavors"),
    };
    let (ceilings, rules, prices) = (&all["ceilings"], &all["rules"], &all["prices"]);
    let zone = all["zone"].as_str().map(|z| ZoneId(intern(&mut names.zones, z) as u32));
    let settings = Settings {
        proxy_index: number(all, "myNumber", 0.0) as u32,
        proxies: number(all, "nInstances", 1.0).clamp(1.0, 65_536.0) as u32,
        zone,
        classes: list(all, "classes").iter().map(parse_class).collect(),
        tenants: list(all, "accounts")
            .iter()
            .map(|t| Tenant { quota_per_second: number(t, "allowancePerS", f64::MAX) })
            .collect(),
        over_quota_fraction: number(all, "overShareWorth", 1.0),
        weight_per_work: text(all, "worthBy") == "work",
        discovery: match text(all, "discovery") {
            "on_request" => DiscoveryMode::OnRequest,
            _ => DiscoveryMode::Pushed,
        },
        weight_meaning: match text(all, "weightSource") {
            "nominal" | "rough" => WeightMeaning::Capacity,
            "live" => WeightMeaning::CapacityUnderLoad,
            _ => WeightMeaning::Unknown,
        },
        key_affinity: flag(&all["extra"], "warmKeys", false),
        clients_mark_retries: flag(&all["callers"], "marksRetry", false),
        gossip_enabled: flag(ceilings, "mayTell", false),
        prices: Prices { cross_zone: number(prices, "crossZone", 0.0) },
        notification_bounds: None,
        limits: Limits {
            drain_grace: number(rules, "drainGrace", 0.0),
            notified_without_watch: number(rules, "askWithin", Millis::INFINITY),
            initial_capacity: number(rules, "startCapacity", 0.0),
            slow_start_window: number(rules, "cold", 30_000.0),
            overload_multiple: number(rules, "fallMultiple", 1.0),
            overload_window: number(rules, "fall", 1000.0),
            max_open_requests: usize::MAX,
            max_attempts: number(ceilings, "maxAttempts", 1.0).max(1.0) as u32,
        },
    };
    (settings, names)
}
