//! Requests that wait to be sent.

use std::collections::VecDeque;

use super::RequestTable;
use crate::ids::{Millis, RequestId};
use crate::schedule::TICK;

/// Duration over which the queue length is averaged.
const AVERAGING_TIME: Millis = 500.0;
/// Queues of a request class: within their tenant's quota, and beyond it.
const QUEUES_PER_CLASS: usize = 2;

/// The position of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueueIndex(usize);

/// Waiting requests by class and by whether they are beyond their tenant's quota, oldest first.
///
/// A request leaves its queue when it is sent. One that has stopped to wait for another reason stays in it and is
/// passed over.
pub(crate) struct RequestQueues {
    queues: Vec<VecDeque<RequestId>>,
    waiting: usize,
    mean_length: f64,
}

impl RequestQueues {
    pub fn new(classes: usize) -> Self {
        let queues = vec![VecDeque::new(); classes * QUEUES_PER_CLASS];
        RequestQueues { queues, waiting: 0, mean_length: 0.0 }
    }

    /// How many requests wait.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Running mean of how many wait.
    pub fn mean_length(&self) -> f64 {
        self.mean_length
    }

    /// Follows the mean length; called once a tick.
    pub fn update_mean_length(&mut self) {
        self.mean_length += TICK / AVERAGING_TIME * (self.waiting as f64 - self.mean_length);
    }

    /// How many queues there are.
    pub fn len(&self) -> usize {
        self.queues.len()
    }

    /// All queues.
    pub fn indices(&self) -> impl Iterator<Item = QueueIndex> + use<> {
        (0..self.queues.len()).map(QueueIndex)
    }

    /// Adds a request that waits from now on, in front if it has waited before.
    pub fn push(&mut self, id: RequestId, class: usize, over_quota: bool, in_front: bool) {
        self.waiting += 1;
        let queue = &mut self.queues[class * QUEUES_PER_CLASS + usize::from(over_quota)];
        if in_front {
            queue.push_front(id);
        } else {
            queue.push_back(id);
        }
    }

    /// A request waits no longer.
    pub fn stop_waiting(&mut self) {
        self.waiting -= 1;
    }

    /// The request at a position of a queue; those that no longer wait are taken out on the way.
    pub fn waiting_at(
        &mut self, queue: QueueIndex, position: usize, requests: &RequestTable,
    ) -> Option<RequestId> {
        let queue = &mut self.queues[queue.0];
        while queue.get(position).is_some_and(|&id| !requests.is_waiting(id)) {
            queue.remove(position);
        }
        queue.get(position).copied()
    }

    /// Takes out the request at a position.
    pub fn remove(&mut self, queue: QueueIndex, position: usize) {
        self.queues[queue.0].remove(position);
    }

    /// All requests of a queue, some of which may no longer wait.
    pub fn iter(&self, queue: QueueIndex) -> impl DoubleEndedIterator<Item = RequestId> {
        self.queues[queue.0].iter().copied()
    }

    /// Takes out all requests that no longer wait.
    pub fn retain_waiting(&mut self, requests: &RequestTable) {
        for queue in &mut self.queues {
            queue.retain(|&id| requests.is_waiting(id));
        }
    }

    /// Takes another number of classes. Requests that wait stay where they are; a class that is new or has taken a
    /// number that was free has none waiting.
    pub fn reconfigure(&mut self, classes: usize) {
        self.queues.resize_with(classes * QUEUES_PER_CLASS, VecDeque::new);
    }
}

impl QueueIndex {
    pub fn as_usize(self) -> usize {
        self.0
    }
}
