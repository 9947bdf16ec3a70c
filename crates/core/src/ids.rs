//! Identifiers and units of the public interface of the crate.

/// A point in time or a duration, in milliseconds. Points in time are read from a single monotonic clock.
pub type Millis = f64;

/// The identifier of a request, assigned by the caller and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The identifier of an endpoint. All proxies must use the same number for the same endpoint, for example a hash of its
/// name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u64);

/// A request class, as an index into [`Settings::classes`](crate::Settings::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClassId(pub usize);

/// A tenant, as an index into [`Settings::tenants`](crate::Settings::tenants).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TenantId(pub usize);

/// The identifier of a network zone, assigned by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneId(pub u32);

/// The identifier of a machine class, a class of machines of about the same speed, assigned by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineClassId(pub u32);

/// The identifier of a cell, a small group of endpoints that deduplicate each other's requests by idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellId(pub u64);

/// The identifier of a call to discovery, numbered in the order of [`Action::Subscribe`](crate::Action::Subscribe).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// The affinity key of a request: requests with the same key are served faster by an endpoint that has served the key
/// before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AffinityKey(pub u64);
