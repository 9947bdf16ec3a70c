//! The timeouts that clients announced lately.
//!
//! A request that was written slowly may announce a longer timeout than its client keeps. What the clients of its class
//! and tenant announce with first tries that they write at once bounds it, if they agree.

use rustc_hash::FxHashMap;

use crate::ids::{ClassId, Millis, TenantId};

/// The latest announcements of a group, which have to agree.
const SAMPLES: usize = 3;
/// An announcement counts for this long.
const MAX_AGE: Millis = 5000.0;

/// Clients that are taken to wait alike: those of one tenant, for requests of one class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ClientGroup {
    pub class: ClassId,
    pub tenant: Option<TenantId>,
}

/// A timeout that a client announced.
#[derive(Clone, Copy)]
struct AnnouncedTimeout {
    timeout: Millis,
    at: Millis,
}

/// The latest announcements of a group, newest first.
type AnnouncedTimeouts = [Option<AnnouncedTimeout>; SAMPLES];

/// The latest announcements of each group. A group that announces nothing for long is forgotten.
#[derive(Default)]
pub(crate) struct ClientTimeouts {
    current: FxHashMap<ClientGroup, AnnouncedTimeouts>,
    /// Groups that have announced nothing since the maps were rotated.
    previous: FxHashMap<ClientGroup, AnnouncedTimeouts>,
    rotated_at: Millis,
}

impl ClientTimeouts {
    /// A client of this group announced a timeout.
    pub fn record(&mut self, group: ClientGroup, timeout: Millis, now: Millis) {
        self.rotate(now);
        let previous = &mut self.previous;
        let announcements =
            self.current.entry(group).or_insert_with(|| previous.remove(&group).unwrap_or_default());
        announcements.rotate_right(1);
        announcements[0] = Some(AnnouncedTimeout { timeout, at: now });
    }

    /// The longest of the latest announcements of a group, by which its clients agree that they wait no longer; `None`
    /// if too few have announced anything lately.
    pub fn agreed_maximum(&self, group: ClientGroup, now: Millis) -> Option<Millis> {
        let announcements = self.current.get(&group).or_else(|| self.previous.get(&group))?;
        let recent = |announcement: &AnnouncedTimeout| now - announcement.at <= MAX_AGE;
        announcements
            .iter()
            .map(|announcement| announcement.filter(recent).map(|announcement| announcement.timeout))
            .reduce(|left, right| Some(left?.max(right?)))
            .flatten()
    }

    /// Forgets all announcements, as groups may have other numbers from now on.
    pub fn clear(&mut self) {
        self.current.clear();
        self.previous.clear();
    }

    /// Forgets the groups that have announced nothing for as long as an announcement counts.
    fn rotate(&mut self, now: Millis) {
        if now - self.rotated_at > MAX_AGE {
            self.previous = std::mem::take(&mut self.current);
            self.rotated_at = now;
        }
    }
}
