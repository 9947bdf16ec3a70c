//! Values of the keys that a file leaves out.

use crate::config::values::{Size, Span};

/// Deadline of the classes that there are where a file names none.
pub const DEADLINE: Span = Span::from_secs(30);
/// Their latency objective.
pub const LATENCY_OBJECTIVE: Span = Span::from_secs(2);
/// Memory of the process, in bytes.
pub const MEMORY: Size = Size(256 << 20);
/// Methods of the class `read`.
pub const READ_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

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

/// The weight of a backend and the priority weight of a class.
pub fn one() -> f64 {
    1.0
}

/// The fraction of a class's priority weight that a late response earns.
pub fn late_fraction() -> f64 {
    0.5
}

/// The fraction of a class's priority weight that a request beyond its tenant's quota has.
pub fn over_quota_fraction() -> f64 {
    0.1
}
