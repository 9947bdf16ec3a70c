//! What proxies report to each other: their load on endpoints, outliers, and that they drain.

mod message;
mod state;
mod unheard_load;

pub(crate) use message::Message;
pub(crate) use state::{GossipState, PeerReport, REPORT_EXPIRY};
pub(crate) use unheard_load::{FleetView, UnheardLoad};
