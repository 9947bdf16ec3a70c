//! Among which proxies a server's slots are shared out, and which of them are this proxy's: both are kept until
//! members, their zones, who leaves, or the server's slots change.
use crate::interface::*;
use rustc_hash::FxHashMap;

/// The proxies that share servers, by the servers' zone.
#[derive(Default)]
pub(crate) struct Sharers {
    /// Counts the changes: what was worked out at an older one is void.
    pub version: u64,
    near: FxHashMap<Option<ZoneId>, Vec<u32>>,
}

impl Sharers {
    /// Something has changed about who shares.
    pub fn change(&mut self) {
        self.version += 1;
        self.near.clear();
    }

    /// Those that share the servers of a zone, in the order of their numbers; worked out if it isn't known yet.
    pub fn of(&mut self, zone: Option<ZoneId>, work_out: impl FnOnce() -> Vec<u32>) -> &[u32] {
        self.near.entry(zone).or_insert_with(work_out)
    }
}

/// Slots of a server that are this proxy's own, among the first ones.
#[derive(Default)]
pub(crate) struct OwnSlots {
    known_at: (u64, Option<ZoneId>), // the version of the sharers and the server's zone for which it holds
    known: u32,                      // how many slots it was worked out for
    own: Vec<u32>,
}

impl OwnSlots {
    /// How many of the first `slots` are own; of those not known yet `is_own` decides.
    pub fn count(&mut self, at: (u64, Option<ZoneId>), slots: u32, is_own: impl FnMut(&u32) -> bool) -> u32 {
        if self.known_at != at {
            (self.known_at, self.known) = (at, 0);
            self.own.clear();
        }
        if self.known < slots {
            self.own.extend((self.known..slots).filter(is_own));
            self.known = slots;
        }
        self.own.partition_point(|&slot| slot < slots) as u32
    }
}
