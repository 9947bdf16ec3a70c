//! The subscription to the endpoint list: its state, the timing of calls to discovery, and the validity of the list.

mod calls;
mod phase;
mod subscription;

pub(crate) use calls::{
    cancel_reason, is_revalidating, list_valid_until, refusal_extends_validity, retry_at,
};
pub(crate) use phase::Phase;
pub(crate) use subscription::{Subscription, UpdateDisposition};
