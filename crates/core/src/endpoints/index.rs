//! The index type of the endpoint table.

/// The position of an endpoint's record in the table. It does not change while anything refers to the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct EndpointIndex(u32);

impl EndpointIndex {
    pub fn new(position: usize) -> Self {
        EndpointIndex(u32::try_from(position).expect("an endpoint table holds fewer than 2^32 records"))
    }

    pub fn as_usize(self) -> usize {
        self.0 as usize
    }
}
