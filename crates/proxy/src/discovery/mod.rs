//! The client of the discovery service: the calls that watch the endpoint list, and the format in which the list is
//! received.
//!
//! The balancer's subscription decides when to make or cancel a call and whether to apply an update. [`DiscoveryCalls`]
//! opens and cancels the calls, and `call` reports the events on one call; neither keeps any state of the list.
//! `framing` splits a response into messages, and `endpoint_list` parses a message.

mod call;
mod calls;
mod endpoint_list;
mod framing;

pub use call::{CallError, CallReport};
pub use calls::{DiscoveryCalls, DiscoveryReceiver, DiscoveryReport};
pub use endpoint_list::{EndpointList, parse_cached_list};

#[cfg(test)]
mod tests;
