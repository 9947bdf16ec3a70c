//! Gossip between proxies: each reports its load on endpoints, its outliers and whether it is draining.

mod message;
mod state;
mod unheard_load;

pub(crate) use message::Message;
pub(crate) use state::{GossipState, PeerReport, REPORT_EXPIRY};
pub(crate) use unheard_load::{FleetView, UnheardLoad};
