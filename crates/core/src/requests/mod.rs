//! Open requests: their records, the queues in which they wait, and abandoned attempts.

mod abandoned;
mod priority;
mod queues;
mod request;
mod table;

pub(crate) use abandoned::AbandonedAttempts;
pub(crate) use priority::Priorities;
pub(crate) use queues::{QueueIndex, RequestQueues};
pub(crate) use request::{Attempt, RepeatWindow, Request, RequestSpec};
pub(crate) use table::RequestTable;
