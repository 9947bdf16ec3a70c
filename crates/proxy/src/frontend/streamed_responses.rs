//! Counts the streamed responses that are being passed on to clients.

use std::cell::Cell;
use std::rc::Rc;

/// The number of streamed responses that are being passed on.
#[derive(Default)]
pub(super) struct StreamedResponses(Rc<Cell<usize>>);

impl StreamedResponses {
    /// Counts a response for as long as the returned value exists.
    pub(super) fn start(&self) -> StreamedResponse {
        self.0.set(self.0.get() + 1);
        StreamedResponse(self.0.clone())
    }

    /// Whether any response is being passed on.
    pub(super) fn any(&self) -> bool {
        self.0.get() > 0
    }
}

/// A streamed response that is being passed on.
pub(super) struct StreamedResponse(Rc<Cell<usize>>);

impl Drop for StreamedResponse {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
