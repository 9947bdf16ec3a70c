//! Checks that the schema can't express: relations between keys, and the syntax of paths, methods and header names.

use std::collections::HashSet;

use hyper::Method;
use hyper::header::HeaderName;

use super::schema::{Backend, Class, Effect, File, Peers};
use crate::config::fault::{Fault, SourceText};

/// Shortest deadline and latency objective, in milliseconds.
const MIN_DEADLINE_MS: f64 = 1.0;

/// Checks a file that matches the schema and returns all faults, each with its position in the text.
pub fn faults(file: &File, text: &SourceText) -> Vec<Fault> {
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

/// The text of the file and the faults found so far.
struct Checks<'a> {
    text: &'a SourceText<'a>,
    faults: Vec<Fault>,
}

impl Checks<'_> {
    fn fault_at(&mut self, pointer: &str, message: impl Into<String>) {
        self.faults.push(self.text.at(pointer, message));
    }

    fn fault_at_key(&mut self, pointer: &str, message: impl Into<String>) {
        self.faults.push(self.text.at_key(pointer, message));
    }

    /// Requires exactly one source of the endpoint list: fixed backends or discovery.
    fn source(&mut self, file: &File) {
        match (file.backends.is_empty(), &file.discovery) {
            (true, None) => self.fault_at("", "no backends: give [[backends]] or [discovery]"),
            (false, Some(_)) => {
                self.fault_at_key("/discovery", "give 'backends' or 'discovery', not both");
            }
            (true, Some(_)) | (false, None) => {}
        }
    }

    /// Requires unique names among the backends, the classes and the tenants.
    fn names(&mut self, file: &File) {
        self.unique("backends", file.backends.iter().map(Backend::label));
        self.unique("classes", file.classes.iter().map(|class| class.name.clone()));
        self.unique("tenants", file.tenants.iter().map(|tenant| tenant.name.clone()));
    }

    fn unique(&mut self, list: &str, names: impl Iterator<Item = String>) {
        let mut seen = HashSet::new();
        for (index, name) in names.enumerate() {
            if !seen.insert(name.clone()) {
                let message = format!("'{name}' is used twice in '{list}'");
                self.fault_at(&format!("/{list}/{index}/name"), message);
            }
        }
    }

    fn class(&mut self, index: usize, class: &Class) {
        let pointer = |key: &str| format!("/classes/{index}/{key}");
        if class.deadline.ms() < MIN_DEADLINE_MS {
            self.fault_at(&pointer("deadline"), "a deadline has to be 1ms or more");
        }
        let within_deadline = MIN_DEADLINE_MS..=class.deadline.ms();
        if class.latency_objective.is_some_and(|objective| !within_deadline.contains(&objective.ms())) {
            self.fault_at(&pointer("aim"), "an aim has to be 1ms or more and within the deadline");
        }
        if !class.path.starts_with('/') {
            self.fault_at(&pointer("path"), "a path has to begin with '/'");
        }
        match (class.effect, class.window) {
            (Effect::Keyed, None) => self.fault_at(&pointer("effect"), "a keyed class needs a 'window'"),
            (Effect::Safe | Effect::Once, Some(_)) => {
                self.fault_at_key(&pointer("window"), "only a keyed class has a 'window'");
            }
            (Effect::Keyed, Some(_)) | (Effect::Safe | Effect::Once, None) => {}
        }
        for (method_index, method) in class.methods.iter().enumerate() {
            if !is_method(method) {
                let message =
                    format!("'{method}' is not an HTTP method in upper case, such as 'GET' or 'POST'");
                self.fault_at(&pointer(&format!("methods/{method_index}")), message);
            }
        }
    }

    fn peers(&mut self, peers: &Peers) {
        let count = peers.addresses.len();
        if peers.proxy_index as usize >= count {
            self.fault_at(
                "/peers/me",
                format!(
                    "'me' is {}, and has to be less than the number of addresses, {count}",
                    peers.proxy_index
                ),
            );
        }
    }

    fn up_path(&mut self, path: Option<&str>) {
        if path.is_some_and(|path| !path.starts_with('/')) {
            self.fault_at("/up_path", "a path has to begin with '/'");
        }
    }

    fn tenant_header(&mut self, name: &str) {
        if HeaderName::from_bytes(name.as_bytes()).is_err() {
            self.fault_at("/tenant_header", "'tenant_header' is not a valid header name");
        }
    }
}

/// Whether a text is a valid HTTP method in upper case.
fn is_method(text: &str) -> bool {
    let method = Method::from_bytes(text.as_bytes());
    method.is_ok_and(|method| method.as_str() == method.as_str().to_uppercase())
}
