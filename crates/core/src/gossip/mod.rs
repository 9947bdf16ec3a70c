//! What proxies report to each other: their load on endpoints, outliers, and that they drain.

mod message;
mod state;

pub(crate) use message::Message;
pub(crate) use state::{GossipState, PeerReport, REPORT_EXPIRY};
