//! The timeouts that clients announced recently.
//!
//! The client of a request that was written slowly may give up earlier than the announced timeout says. Such a timeout
//! is therefore limited to what clients of the same class and tenant have announced with first attempts that they wrote
//! at once, provided that there are enough recent announcements.

use rustc_hash::FxHashMap;

use crate::ids::{ClassId, Millis, TenantId};

/// Number of announcements kept for a group; all of them have to be recent for a limit.
const SAMPLES: usize = 3;
/// The age after which an announcement is ignored.
const MAX_AGE: Millis = 5000.0;

/// Clients that are assumed to use the same timeout: those of one tenant, for requests of one class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ClientGroup {
    pub class: ClassId,
    pub tenant: Option<TenantId>,
}

/// A timeout that a client announced, and when.
#[derive(Clone, Copy)]
struct AnnouncedTimeout {
    timeout: Millis,
    announced_at: Millis,
}

/// The latest announcements of a group, newest first.
type AnnouncedTimeouts = [Option<AnnouncedTimeout>; SAMPLES];

/// The latest announcements of each group. A group without announcements for longer than `MAX_AGE` is removed.
#[derive(Default)]
pub(crate) struct ClientTimeouts {
    current: FxHashMap<ClientGroup, AnnouncedTimeouts>,
    /// Groups without announcements since the maps were rotated.
    previous: FxHashMap<ClientGroup, AnnouncedTimeouts>,
    rotated_at: Millis,
}

impl ClientTimeouts {
    /// Records a timeout that a client of this group announced.
    pub fn record(&mut self, group: ClientGroup, timeout: Millis, now: Millis) {
        self.rotate(now);
        let previous = &mut self.previous;
        let announcements =
            self.current.entry(group).or_insert_with(|| previous.remove(&group).unwrap_or_default());
        announcements.rotate_right(1);
        announcements[0] = Some(AnnouncedTimeout { timeout, announced_at: now });
    }

    /// The longest of the latest announcements of a group, taken as the longest time that its clients wait; `None` if
    /// fewer than `SAMPLES` of them are recent.
    pub fn agreed_maximum(&self, group: ClientGroup, now: Millis) -> Option<Millis> {
        let announcements = self.current.get(&group).or_else(|| self.previous.get(&group))?;
        let is_recent = |announcement: &AnnouncedTimeout| now - announcement.announced_at <= MAX_AGE;
        announcements
            .iter()
            .map(|announcement| announcement.filter(is_recent).map(|announcement| announcement.timeout))
            .reduce(|left, right| Some(left?.max(right?)))
            .flatten()
    }

    /// Removes all announcements, because the ids of classes and tenants may have changed.
    pub fn clear(&mut self) {
        self.current.clear();
        self.previous.clear();
    }

    /// Removes the groups without recent announcements, at intervals of `MAX_AGE`.
    fn rotate(&mut self, now: Millis) {
        if now - self.rotated_at > MAX_AGE {
            self.previous = std::mem::take(&mut self.current);
            self.rotated_at = now;
        }
    }
}
