//! Typed indices, and vectors that only their own index type can index.

use std::fmt;
use std::marker::PhantomData;
use std::ops;

/// An index type, which identifies the items of one kind.
pub trait Index: Copy {
    /// Creates an index from a number.
    fn new(number: usize) -> Self;

    /// Returns the number.
    fn get(self) -> usize;
}

macro_rules! index_types {
    ($($(#[$doc:meta])* $name:ident;)+) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub usize);

        impl Index for $name {
            fn new(number: usize) -> Self {
                $name(number)
            }

            fn get(self) -> usize {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )+};
}

index_types! {
    /// Index of a proxy.
    ProxyIndex;
    /// Index of a backend, in the order in which backends first started.
    BackendIndex;
    /// Index of a zone.
    ZoneIndex;
    /// Index of a class of requests.
    ClassIndex;
    /// Index of a tenant.
    TenantIndex;
    /// Index of a machine class.
    MachineClassIndex;
    /// Index of a request of the workload, in the order of arrival.
    RequestIndex;
    /// Index of an attempt that a client makes at a proxy.
    ClientAttemptIndex;
    /// Index of an attempt that a proxy makes at a backend.
    AttemptIndex;
    /// Index of a fault of the workload.
    FaultIndex;
    /// Index of a connection of a proxy to discovery, in the order of calls.
    ConnectionIndex;
}

/// A vector that is indexed by `I`.
#[derive(Clone, Debug, PartialEq)]
pub struct IndexedVec<I, T> {
    items: Vec<T>,
    index: PhantomData<I>,
}

impl<I: Index, T> IndexedVec<I, T> {
    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether the vector is empty.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Appends an item and returns its index.
    pub fn push(&mut self, item: T) -> I {
        self.items.push(item);
        I::new(self.items.len() - 1)
    }

    /// Returns the item at an index, or `None` if the index is out of bounds.
    pub fn get(&self, index: I) -> Option<&T> {
        self.items.get(index.get())
    }

    /// Iterates over the items in order.
    pub fn iter(&self) -> std::slice::Iter<'_, T> {
        self.items.iter()
    }

    /// Iterates over mutable references to the items in order.
    pub fn iter_mut(&mut self) -> std::slice::IterMut<'_, T> {
        self.items.iter_mut()
    }

    /// Iterates over the items with their indices.
    pub fn enumerate(&self) -> impl Iterator<Item = (I, &T)> {
        self.items.iter().enumerate().map(|(number, item)| (I::new(number), item))
    }

    /// Iterates over all indices in order.
    pub fn indices(&self) -> impl Iterator<Item = I> + use<I, T> {
        (0..self.items.len()).map(I::new)
    }
}

impl<I, T> Default for IndexedVec<I, T> {
    fn default() -> Self {
        IndexedVec { items: Vec::new(), index: PhantomData }
    }
}

impl<I, T> From<Vec<T>> for IndexedVec<I, T> {
    fn from(items: Vec<T>) -> Self {
        IndexedVec { items, index: PhantomData }
    }
}

impl<I, T> FromIterator<T> for IndexedVec<I, T> {
    fn from_iter<Items: IntoIterator<Item = T>>(items: Items) -> Self {
        Vec::from_iter(items).into()
    }
}

impl<I: Index, T> ops::Index<I> for IndexedVec<I, T> {
    type Output = T;

    fn index(&self, index: I) -> &T {
        &self.items[index.get()]
    }
}

impl<I: Index, T> ops::IndexMut<I> for IndexedVec<I, T> {
    fn index_mut(&mut self, index: I) -> &mut T {
        &mut self.items[index.get()]
    }
}
