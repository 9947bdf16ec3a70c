//! Default values of the configuration keys.

use crate::config::values::{DurationText, Size};

/// Deadline of the classes that are used if a file defines none.
pub const DEADLINE: DurationText = DurationText::from_secs(30);
/// Latency objective of the classes that are used if a file defines none.
pub const LATENCY_OBJECTIVE: DurationText = DurationText::from_secs(2);
/// Memory limit of the process, in bytes.
pub const MEMORY: Size = Size(256 << 20);
/// Methods of the default class `read`.
pub const READ_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// Name of the proxy.
pub fn proxy_name() -> String {
    "leadrelay".into()
}

/// Name of the request header that carries the tenant's name.
pub fn tenant_header() -> String {
    "X-Tenant-Id".into()
}

/// Path prefix of a class; `/` matches every path.
pub fn path() -> String {
    "/".into()
}

/// Weight of a backend, and priority weight of a class.
pub fn one() -> f64 {
    1.0
}

/// Fraction of a class's priority weight that a response after the latency objective still earns.
pub fn late_fraction() -> f64 {
    0.5
}

/// Priority weight of a request beyond its tenant's quota, as a fraction of the class's priority weight.
pub fn over_quota_fraction() -> f64 {
    0.1
}
