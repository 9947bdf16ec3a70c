//! What is known of discovery: which call is open, when calls are made and given up, and for how long the endpoint list
//! may be used.

mod calls;
mod phase;
mod subscription;

pub(crate) use calls::{is_revalidating, list_valid_until, overdue, refusal_extends_validity, retry_at};
pub(crate) use phase::Phase;
pub(crate) use subscription::{Admission, Subscription};
