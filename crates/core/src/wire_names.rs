//! The 16-bit names by which messages between proxies tell servers.
use crate::interface::*;
use crate::number::mix;
use crate::records::Server;
use rustc_hash::FxHashMap;

/// Hashes of an id that are tried for a name. Of 1,024 servers about 16 share their first hash with another one, and
/// hardly any their second too.
const ROUNDS: u64 = 16;

/// Which server each name stands for.
///
/// Two of some hundreds of servers are likely to have equal hashes of 16 bits. A name that several listed servers
/// hash to is given to none of them; each of them goes on to the next hash of its id. The names follow from the ids
/// on the list alone, in whatever order it came, so all proxies that have the same list use the same names. While
/// lists differ, a name that is shared by the longer list is unknown there, and what is told under it is passed over
/// instead of being taken for another server's.
#[derive(Default)]
pub(crate) struct WireNames {
    /// `None` for a name that several servers hash to.
    owners: FxHashMap<u16, Option<usize>>,
    /// Whether servers have joined or left the list since the names were given.
    pub outdated: bool,
}

impl WireNames {
    /// The place of the server with that name.
    pub fn owner(&self, name: u16) -> Option<usize> {
        self.owners.get(&name).copied().flatten()
    }

    /// Gives all servers their names anew. One that has left the list keeps its first hash if no listed one has it:
    /// requests may still be out there.
    pub fn assign(&mut self, places: &FxHashMap<EndpointId, usize>, servers: &mut [Server]) {
        self.outdated = false;
        self.owners.clear();
        places.values().for_each(|&k| servers[k].wire_name = None);
        let is_listed = |k: &usize| servers[*k].info.state != EndpointState::Removed;
        let (mut unnamed, gone): (Vec<usize>, Vec<usize>) = places.values().copied().partition(is_listed);
        for round in 0..ROUNDS {
            unnamed = self.propose(round, unnamed, servers);
        }
        for k in gone {
            let name = hash(servers[k].info.id, 0);
            if !self.owners.contains_key(&name) {
                self.give(name, k, servers);
            }
        }
    }

    /// Gives each of these servers its hash of this round unless another server has it; returns those without a name.
    fn propose(&mut self, round: u64, unnamed: Vec<usize>, servers: &mut [Server]) -> Vec<usize> {
        let mut proposals: FxHashMap<u16, Vec<usize>> = FxHashMap::default();
        for k in unnamed {
            proposals.entry(hash(servers[k].info.id, round)).or_default().push(k);
        }
        let mut rejected = Vec::new();
        for (name, proposers) in proposals {
            match proposers[..] {
                [k] if !self.owners.contains_key(&name) => self.give(name, k, servers),
                _ => {
                    self.owners.entry(name).or_insert(None);
                    rejected.extend(proposers);
                }
            }
        }
        rejected
    }

    fn give(&mut self, name: u16, k: usize, servers: &mut [Server]) {
        self.owners.insert(name, Some(k));
        servers[k].wire_name = Some(name);
    }

    /// Forgets the name of a server that nothing refers to any more.
    pub fn release(&mut self, server: &mut Server) {
        if let Some(name) = server.wire_name.take() {
            self.owners.remove(&name);
        }
    }
}

/// One of the hashes of an id, by its number.
fn hash(id: EndpointId, round: u64) -> u16 {
    mix(id.0 ^ mix(round)) as u16
}
