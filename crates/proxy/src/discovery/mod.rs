//! Discovery: the calls that watch the endpoint list, and the form in which the list is received.
//!
//! When a call is made or cancelled, and what an update is worth, is decided by the balancer's subscription. [`Calls`]
//! carries that out, and `call` reports what is seen of one call; neither keeps any state of the list. `framing` splits
//! a response into messages, `endpoint_list` parses one.

mod call;
mod calls;
mod endpoint_list;
mod framing;

pub use call::{CallError, CallReport};
pub use calls::{Calls, DiscoveryReceiver, DiscoveryReport};
pub use endpoint_list::{EndpointList, read_cached};

#[cfg(test)]
mod tests;
