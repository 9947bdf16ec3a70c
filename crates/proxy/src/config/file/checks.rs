//! What the schema can't express: faults between keys, and of texts with a meaning.

use std::collections::HashSet;

use hyper::Method;
use hyper::header::HeaderName;

use super::schema::{Backend, Class, Effect, File, Peers};
use crate::config::fault::{Fault, Text};

/// Shortest deadline and latency objective, in milliseconds.
const MIN_DEADLINE: f64 = 1.0;

/// All faults of a file that fits the schema, each at its place in the text.
pub fn faults(file: &File, text: &Text) -> Vec<Fault> {
    let mut checks = Checks { text, faults: Vec::new() };
    checks.source(file);
    checks.names(file);
    for (index, class) in file.classes.iter().enumerate() {
        checks.class(index, class);
    }
    if let Some(peers) = &file.peers {
        checks.peers(peers);
    }
    checks.up_path(file.up_path.as_deref());
    checks.tenant_header(&file.tenant_header);
    checks.faults
}

/// The faults found so far.
struct Checks<'a> {
    text: &'a Text<'a>,
    faults: Vec<Fault>,
}

impl Checks<'_> {
    fn fault_at(&mut self, pointer: &str, message: impl Into<String>) {
        self.faults.push(self.text.at(pointer, message));
    }

    fn fault_at_key(&mut self, pointer: &str, message: impl Into<String>) {
        self.faults.push(self.text.at_key(pointer, message));
    }

    /// The endpoint list comes from one source.
    fn source(&mut self, file: &File) {
        match (file.backends.is_empty(), &file.discovery) {
            (true, None) => self.fault_at("", "no backends: give [[backends]] or [discovery]"),
            (false, Some(_)) => {
                self.fault_at_key("/discovery", "give 'backends' or 'discovery', not both");
            }
            (true, Some(_)) | (false, None) => {}
        }
    }

    /// Names are unique.
    fn names(&mut self, file: &File) {
        self.unique("backends", file.backends.iter().map(Backend::label));
        self.unique("classes", file.classes.iter().map(|class| class.name.clone()));
        self.unique("tenants", file.tenants.iter().map(|tenant| tenant.name.clone()));
    }

    fn unique(&mut self, list: &str, names: impl Iterator<Item = String>) {
        let mut seen = HashSet::new();
        for (index, name) in names.enumerate() {
            if !seen.insert(name.clone()) {
                let message = format!("'{name}' stands twice among the {list}");
                self.fault_at(&format!("/{list}/{index}/name"), message);
            }
        }
    }

    fn class(&mut self, index: usize, class: &Class) {
        let pointer = |key: &str| format!("/classes/{index}/{key}");
        if class.deadline.ms() < MIN_DEADLINE {
            self.fault_at(&pointer("deadline"), "a deadline has to be 1ms or more");
        }
        let within_deadline = MIN_DEADLINE..=class.deadline.ms();
        if class.latency_objective.is_some_and(|objective| !within_deadline.contains(&objective.ms())) {
            self.fault_at(&pointer("aim"), "an aim has to be 1ms or more and within the deadline");
        }
        if !class.path.starts_with('/') {
            self.fault_at(&pointer("path"), "a path begins with '/'");
        }
        match (class.effect, class.window) {
            (Effect::Keyed, None) => self.fault_at(&pointer("effect"), "a keyed class needs a 'window'"),
            (Effect::Safe | Effect::Once, Some(_)) => {
                self.fault_at_key(&pointer("window"), "only a keyed class has a 'window'");
            }
            (Effect::Keyed, Some(_)) | (Effect::Safe | Effect::Once, None) => {}
        }
        for (number, method) in class.methods.iter().enumerate() {
            if !is_method(method) {
                let message = format!("'{method}' is no method: 'GET', 'POST', ...");
                self.fault_at(&pointer(&format!("methods/{number}")), message);
            }
        }
    }

    fn peers(&mut self, peers: &Peers) {
        let count = peers.addresses.len();
        if peers.proxy_index as usize >= count {
            self.fault_at("/peers/me", format!("proxy {} of {count} (they count from 0)", peers.proxy_index));
        }
    }

    fn up_path(&mut self, path: Option<&str>) {
        if path.is_some_and(|path| !path.starts_with('/')) {
            self.fault_at("/up_path", "a path begins with '/'");
        }
    }

    fn tenant_header(&mut self, name: &str) {
        if HeaderName::from_bytes(name.as_bytes()).is_err() {
            self.fault_at("/tenant_header", "this can't be the name of a header");
        }
    }
}

/// Whether a text is a method in upper case.
fn is_method(text: &str) -> bool {
    let method = Method::from_bytes(text.as_bytes());
    method.is_ok_and(|method| method.as_str() == method.as_str().to_uppercase())
}
