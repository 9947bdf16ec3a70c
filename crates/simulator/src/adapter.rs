//! Decisions of another build, through its adapter: any commit can be held against any other.
//!
//! One process hosts all instances of a day, as on the operators' simulator; each event is a batch of its own.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::{BufRead as _, BufReader, Write as _};
use std::path::Path;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::rc::Rc;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use leadrelay_core::{
    Action, CallId, EndpointId, EndpointState, Event, ListScope, Outcome, RejectionReason, RequestId,
};
use serde_json::json;

use crate::policy::{Policy, TrueState};
use crate::scenario::RequestIdempotency;
use crate::workload::Workload;

/// An adapter that runs.
pub struct Adapter {
    child: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
    line: String,
}

impl Adapter {
    /// Starts it.
    ///
    /// # Errors
    /// If there is no such program.
    pub fn start(program: &Path) -> std::io::Result<Rc<RefCell<Self>>> {
        let mut child = Command::new(program).stdin(Stdio::piped()).stdout(Stdio::piped()).spawn()?;
        let missing = || std::io::Error::other("no pipe to the adapter");
        let input = child.stdin.take().ok_or_else(missing)?;
        let output = BufReader::new(child.stdout.take().ok_or_else(missing)?);
        Ok(Rc::new(RefCell::new(Adapter { child, input, output, line: String::new() })))
    }

    /// Gives a batch and reads its reply.
    fn batch(&mut self, now: f64, lines: &str, out: &mut Vec<Action>) -> std::io::Result<()> {
        write!(self.input, "FRAME\tts={now}\n{lines}GO\n")?;
        self.input.flush()?;
        loop {
            self.line.clear();
            if self.output.read_line(&mut self.line)? == 0 {
                return Err(std::io::Error::other("the adapter has ended"));
            }
            match self.line.trim_end() {
                "EOR" => return Ok(()),
                line => out.extend(action(line)),
            }
        }
    }
}

impl Drop for Adapter {
    fn drop(&mut self) {
        let _ = self.child.kill(); // it may have ended by itself
        let _ = self.child.wait();
    }
}

/// An action as the wire words it; what has no meaning here is left out.
fn action(line: &str) -> Option<Action> {
    let (name, rest) = line.split_once('\t')?;
    let fields: HashMap<&str, &str> = rest.split('\t').filter_map(|f| f.split_once('=')).collect();
    let number = |key: &str| fields.get(key).and_then(|v| v.parse::<f64>().ok());
    let request = || fields.get("rid").and_then(|v| v.strip_prefix("r-")?.parse().ok()).map(RequestId);
    match name {
        "SUBMIT_TO" => {
            let endpoint =
                fields.get("backend").and_then(|v| v.strip_prefix("s-")?.parse().ok()).map(EndpointId)?;
            let timeout = number("maxWait").filter(|ms| *ms > 0.0);
            Some(Action::Send { request: request()?, endpoint, timeout, start_by: None })
        }
        "TURN_AWAY" => Some(Action::Reject {
            request: request()?,
            retry_after: number("retryAfter"),
            reason: RejectionReason::TooLate,
        }),
        "REPORT_FAILURE" => Some(Action::Fail(request()?)),
        "WAKE_ME" => {
            Some(Action::Timer { token: fields.get("keyBack")?.parse().ok()?, at: number("dueAt")? })
        }
        "SAY" => BASE64.decode(fields.get("msg")?).ok().map(Action::Broadcast),
        "SUBSCRIBE" => Some(Action::Subscribe { call: CallId(0), after: None }),
        other => {
            eprintln!("the adapter says {other}: {rest}");
            None
        }
    }
}

/// One instance of an adapter.
pub struct AdapterPolicy {
    adapter: Rc<RefCell<Adapter>>,
    number: usize,
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
    kinds: Vec<String>,
    /// What introduces it with its first event.
    hello: Option<String>,
}

impl AdapterPolicy {
    /// Proxy `p` of a day, by an adapter that hosts it.
    pub fn new(adapter: Rc<RefCell<Adapter>>, day: &Workload, p: usize, seed: u64) -> Self {
        let s = &day.scenario;
        let class = |c: &crate::scenario::ClassSpec| {
            let effect = match c.effect {
                RequestIdempotency::Safe => "idempotent",
                RequestIdempotency::Unsafe => "at_most_once",
                RequestIdempotency::Keyed => "deduplicated",
            };
            json!({"name": c.name, "effect": effect, "dedupScope": "cell", "window": 10_000.0, "promise": c.aim_ms,
                   "deadline": c.deadline_ms, "worth": c.worth, "lateShare": 0.0})
        };
        let tenants = s.tenants.iter().zip(&day.allowances);
        let accounts: Vec<_> = tenants.map(|(t, a)| json!({"name": t.name, "allowancePerS": a})).collect();
        let kinds: Vec<String> = s.kinds.iter().map(|k| k.name.clone()).collect();
        let params = json!({
            "myNumber": p, "nInstances": day.proxies.len(), "zone": s.zones[day.proxies[p].0], "zones": s.zones,
            "flavors": kinds, "accounts": accounts, "overShareWorth": s.over_share_worth, "worthBy": "request",
            "classes": s.classes.iter().map(class).collect::<Vec<_>>(), "discovery": "on_request",
            "weightSource": "rough", "extra": {"warmKeys": true}, "prices": {"crossZone": s.prices.cross_zone},
            "ceilings": {"mayTell": s.network.peer_loss < 1.0, "maxAttempts": 5},
            "rules": {"startCapacity": s.cold.start, "cold": s.cold.span_s * 1000.0, "fallMultiple": s.cold.multiple,
                      "fall": s.cold.fall_s * 1000.0},
        });
        let hello = format!("UP\ti={p}\trandomSeed={}\tparams={params}\n", seed >> 11);
        AdapterPolicy {
            adapter,
            number: p,
            classes: s.classes.iter().map(|c| c.name.clone()).collect(),
            tenants: s.tenants.iter().map(|t| t.name.clone()).collect(),
            zones: s.zones.clone(),
            kinds,
            hello: Some(hello),
        }
    }

    /// An event as the wire words it; `None` for those that it has no words for.
    fn words(&self, event: Event) -> Option<String> {
        let i = self.number;
        let mut text = String::new();
        match event {
            Event::List { scope, entries } => {
                let scope = match scope {
                    ListScope::Delta => "delta",
                    ListScope::Full => "full",
                    ListScope::Cached => "cached",
                    ListScope::Failed => "failed",
                };
                let _ =
                    writeln!(text, "TOPOLOGY\ti={i}\tscope={scope}\tstamp=1\tnodesList={}", entries.len());
                for e in entries {
                    let state = match e.state {
                        EndpointState::Up => "up",
                        EndpointState::Draining => "draining",
                        EndpointState::Removed => "removed",
                    };
                    let zone = e.zone.map_or("", |z| self.zones[z.0 as usize].as_str());
                    let kind = e.machine_class.map_or("", |k| self.kinds[k.0 as usize].as_str());
                    let cell = e.cell.map_or(0, |c| c.0);
                    let _ = write!(
                        text,
                        "ITEM\tbackend=s-{}\tfailureDomain={zone}\tshape={kind}\tcell={cell}\tstate={state}\trating={}",
                        e.id.0, e.weight
                    );
                    let _ = e.started_at.map(|since| write!(text, "\tsince={since}"));
                    text.push('\n');
                }
            }
            Event::Request { id, class, tenant, key, timeout, .. } => {
                let class = &self.classes[class.0];
                let _ =
                    write!(text, "ARRIVAL\ti={i}\trid=r-{}\ttierClass={class}\ttimeBudget={timeout}", id.0);
                let _ = tenant.map(|t| write!(text, "\tuserGroup={}", self.tenants[t.0]));
                let _ = key.map(|k| write!(text, "\tnameKey={}", k.0));
                text.push('\n');
            }
            Event::Ended { request, attempt, latency, outcome, finished } => {
                let reason = match outcome {
                    Outcome::Served => "completed",
                    Outcome::Error => "errored",
                    Outcome::Rejected => "saturated",
                    Outcome::TimedOut => "overdue",
                    Outcome::ConnectFailed => "refused_conn",
                    Outcome::Reset => "severed",
                    Outcome::Cancelled => "recalled",
                    Outcome::Withdrawn => "superseded",
                };
                let closed = u8::from(finished);
                let _ = writeln!(
                    text,
                    "OUTCOME\ti={i}\trid=r-{}\tlatency={latency}\tsendNo={attempt}\tclosed={closed}\treason={reason}",
                    request.0
                );
            }
            Event::ClientClosed(id) => drop(writeln!(text, "HANGUP\ti={i}\trid=r-{}", id.0)),
            Event::Timer(token) => drop(writeln!(text, "DEADLINE_HIT\ti={i}\tkeyBack={token}")),
            Event::Gossip { from, bytes } => {
                let _ = writeln!(text, "NOTE_FROM\ti={i}\twho={from}\tmsg={}", BASE64.encode(bytes));
            }
            _ => return None,
        }
        Some(text)
    }
}

impl Policy for AdapterPolicy {
    fn handle(&mut self, now: f64, event: Event, _: (&TrueState, &TrueState), out: &mut Vec<Action>) {
        let Some(text) = self.words(event) else { return };
        let text = self.hello.take().unwrap_or_default() + &text;
        if let Err(e) = self.adapter.borrow_mut().batch(now, &text, out) {
            // Without its decisions the day can't go on, and its result would be worth nothing.
            eprintln!("leadrelay-simulator: {e}");
            std::process::exit(1);
        }
    }
}
