//! Values of the keys that a file leaves out.

use std::time::Duration;

use super::schema::{Class, Effect, FilterText, Limits, Logging, Scope, SlowStart, Timeouts};
use crate::config;
use crate::config::values::{Size, Span};

/// Deadline of the classes that there are where a file names none.
const DEADLINE: Span = Span(Duration::from_secs(30));
/// Their latency objective.
const LATENCY_OBJECTIVE: Span = Span(Duration::from_secs(2));
/// Memory of the process, in bytes.
const MEMORY: Size = Size(256 << 20);
/// Methods of the class `read`.
const READ_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// The proxy's name.
pub fn proxy_name() -> String {
    "leadrelay".into()
}

/// The header that names a request's tenant.
pub fn tenant_header() -> String {
    "X-Tenant-Id".into()
}

/// The beginning of the paths of a class: all paths.
pub fn path() -> String {
    "/".into()
}

/// The weight of a backend and the worth of a class.
pub fn one() -> f64 {
    1.0
}

/// The part of a class's worth that a late answer earns.
pub fn late_worth() -> f64 {
    0.5
}

/// The part of a class's worth that a request beyond its tenant's allowance has.
pub fn over_allowance_worth() -> f64 {
    0.1
}

/// The classes where a file names none.
pub fn classes() -> Vec<Class> {
    let read_methods = READ_METHODS.map(str::to_owned).to_vec();
    vec![class("read", read_methods, Effect::Safe), class("write", Vec::new(), Effect::Once)]
}

fn class(name: &str, methods: Vec<String>, effect: Effect) -> Class {
    Class {
        name: name.into(),
        path: path(),
        methods,
        effect,
        deadline: DEADLINE,
        aim: Some(LATENCY_OBJECTIVE),
        worth: one(),
        late_worth: late_worth(),
        scope: Scope::All,
        window: None,
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits { descriptors: 1024, memory: MEMORY, attempts: 3 }
    }
}

impl Default for Timeouts {
    fn default() -> Self {
        Timeouts { connect: Span(Duration::from_secs(1)), idle: Span(Duration::from_secs(15)) }
    }
}

impl Default for SlowStart {
    fn default() -> Self {
        SlowStart {
            capacity: 0.2,
            span: Span(Duration::from_secs(30)),
            multiple: 3.0,
            fall: Span(Duration::from_secs(1)),
        }
    }
}

impl Default for Logging {
    fn default() -> Self {
        let config::Logging { filter, format, access } = config::Logging::default();
        Logging { filter: FilterText(filter), format, access }
    }
}
