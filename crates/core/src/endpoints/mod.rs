//! The endpoints on the endpoint list: a record of each, and their order by speed.

mod entry;
mod index;
mod names;
mod speed_tiers;
mod table;

pub(crate) use entry::{EndpointEntry, SlotAllocation};
pub(crate) use index::EndpointIndex;
pub(crate) use names::EndpointNames;
pub(crate) use speed_tiers::{SpeedTier, SpeedTiers, TierIndex};
pub(crate) use table::EndpointTable;
