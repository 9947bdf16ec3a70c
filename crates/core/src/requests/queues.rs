//! The queues of requests that wait to be sent.

use std::collections::VecDeque;

use super::RequestTable;
use crate::ids::{Millis, RequestId};
use crate::schedule::TICK;

/// The duration over which the queue length is averaged.
const AVERAGING_TIME: Millis = 500.0;
/// Number of queues of a request class: one for requests within their tenant's quota and one for those beyond it.
const QUEUES_PER_CLASS: usize = 2;

/// The position of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueueIndex(usize);

/// Waiting requests by class and by whether they are beyond their tenant's quota, oldest first.
///
/// A request leaves its queue when it is sent. If it stops waiting for another reason, its id stays in the queue and is
/// skipped and removed later.
pub(crate) struct RequestQueues {
    queues: Vec<VecDeque<RequestId>>,
    /// Number of waiting requests in all queues.
    waiting: usize,
    /// Running mean of `waiting`.
    mean_length: f64,
}

impl RequestQueues {
    pub fn new(classes: usize) -> Self {
        let queues = vec![VecDeque::new(); classes * QUEUES_PER_CLASS];
        RequestQueues { queues, waiting: 0, mean_length: 0.0 }
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Running mean of the number of waiting requests.
    pub fn mean_length(&self) -> f64 {
        self.mean_length
    }

    /// Updates the running mean; called once per tick.
    pub fn update_mean_length(&mut self) {
        self.mean_length += TICK / AVERAGING_TIME * (self.waiting as f64 - self.mean_length);
    }

    /// Number of queues.
    pub fn len(&self) -> usize {
        self.queues.len()
    }

    /// The positions of all queues.
    pub fn indices(&self) -> impl Iterator<Item = QueueIndex> + use<> {
        (0..self.queues.len()).map(QueueIndex)
    }

    /// Adds a request that waits from now on; `in_front` puts a request that has waited before at the front of its
    /// queue.
    pub fn push(&mut self, id: RequestId, class: usize, over_quota: bool, in_front: bool) {
        self.waiting += 1;
        let queue = &mut self.queues[class * QUEUES_PER_CLASS + usize::from(over_quota)];
        if in_front {
            queue.push_front(id);
        } else {
            queue.push_back(id);
        }
    }

    /// Decrements the number of waiting requests. The id of the request stays in its queue until it is removed.
    pub fn stop_waiting(&mut self) {
        self.waiting -= 1;
    }

    /// The waiting request at a position of a queue. Requests found there that no longer wait are removed.
    pub fn waiting_at(
        &mut self, queue: QueueIndex, position: usize, requests: &RequestTable,
    ) -> Option<RequestId> {
        let queue = &mut self.queues[queue.0];
        while queue.get(position).is_some_and(|&id| !requests.is_waiting(id)) {
            queue.remove(position);
        }
        queue.get(position).copied()
    }

    /// Removes the request at a position of a queue.
    pub fn remove(&mut self, queue: QueueIndex, position: usize) {
        self.queues[queue.0].remove(position);
    }

    /// All requests of a queue, some of which may no longer wait.
    pub fn iter(&self, queue: QueueIndex) -> impl DoubleEndedIterator<Item = RequestId> {
        self.queues[queue.0].iter().copied()
    }

    /// Removes all requests that no longer wait.
    pub fn retain_waiting(&mut self, requests: &RequestTable) {
        for queue in &mut self.queues {
            queue.retain(|&id| requests.is_waiting(id));
        }
    }

    /// Switches to another number of request classes. Waiting requests stay in their queues; a class with a new or
    /// reused number has no waiting requests.
    pub fn reconfigure(&mut self, classes: usize) {
        self.queues.resize_with(classes * QUEUES_PER_CLASS, VecDeque::new);
    }
}

impl QueueIndex {
    pub fn as_usize(self) -> usize {
        self.0
    }
}
