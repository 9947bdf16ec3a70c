//! Identifiers and units that cross the boundary of the crate.

/// A point in time or a duration, in milliseconds. Points in time are read from one clock that never runs backwards.
pub type Millis = f64;

/// A request, as numbered by the caller; a number is never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// An endpoint. Every proxy must use the same number for the same endpoint (a hash of its name, say).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u64);

/// An index into [`Settings::classes`](crate::Settings::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClassId(pub usize);

/// An index into [`Settings::tenants`](crate::Settings::tenants).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TenantId(pub usize);

/// A zone of the network, as numbered by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneId(pub u32);

/// A class of machines of about the same speed, as numbered by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineClassId(pub u32);

/// A small group of endpoints that deduplicate each other's requests by idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellId(pub u64);

/// One call to discovery, numbered in the order of [`Action::Subscribe`](crate::Action::Subscribe).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What a request is about: requests with one key gain from meeting the same endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AffinityKey(pub u64);
