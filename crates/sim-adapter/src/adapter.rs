//! The main loop: reads batches of messages, dispatches the messages to instances and writes the replies.

use std::any::Any;
use std::collections::BTreeMap;
use std::io::{BufRead, BufWriter, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};

use leadrelay_core::Event;

use crate::error::{Error, LineError};
use crate::fields::Fields;
use crate::instance::Instance;
use crate::lines::{NumberedLine, NumberedLines};
use crate::message::{EventMessage, InstanceMessage, Message};

/// Size of the output buffer in bytes.
const OUTPUT_BUFFER_SIZE: usize = 64 << 10;
/// Prefix of each line that holds an item of an endpoint list.
const LIST_ITEM_PREFIX: &str = "ITEM\t";

/// Reads batches and writes replies until the input ends.
///
/// # Errors
/// Returns an error if a line cannot be read or parsed, if replies cannot be written, or if the input ends inside a
/// batch.
pub fn run(input: impl BufRead, output: impl Write) -> Result<(), Error> {
    let mut adapter = Adapter {
        lines: NumberedLines::new(input),
        output: BufWriter::with_capacity(OUTPUT_BUFFER_SIZE, output),
        instances: BTreeMap::new(),
        batch_time: None,
        replies: String::new(),
    };
    while let Some(line) = adapter.lines.next()? {
        adapter.handle_line(&line)?;
    }
    match adapter.batch_time {
        Some(_) => Err(Error::UnfinishedBatch),
        None => Ok(()),
    }
}

/// State of the main loop.
struct Adapter<R, W: Write> {
    lines: NumberedLines<R>,
    output: BufWriter<W>,
    /// Running proxies by instance number.
    instances: BTreeMap<u64, Instance>,
    /// Time of the current batch in milliseconds; `None` between batches.
    batch_time: Option<f64>,
    /// Replies to the current batch, written to the output when the batch ends.
    replies: String,
}

impl<R: BufRead, W: Write> Adapter<R, W> {
    fn handle_line(&mut self, line: &NumberedLine) -> Result<(), Error> {
        let (name, rest) = line.text.split_once('\t').unwrap_or((line.text.trim_end(), ""));
        let at_line = |error: LineError| error.at_line(line.number);
        let fields = Fields::parse(rest).map_err(at_line)?;
        match Message::from_wire(name) {
            Some(Message::BatchStart) => {
                self.batch_time = Some(fields.number("ts").map_err(at_line)?);
                Ok(())
            }
            Some(Message::BatchEnd) => self.end_batch().map_err(at_line),
            Some(Message::Instance(message)) => self.handle_message(message, &fields, line.number),
            None => Ok(()),
        }
    }

    /// Ends the current batch and writes its replies.
    fn end_batch(&mut self) -> Result<(), LineError> {
        self.batch_time.take().ok_or(LineError::BatchEndWithoutStart)?;
        self.replies.push_str("EOR\n");
        self.output.write_all(self.replies.as_bytes())?;
        self.output.flush()?;
        self.replies.clear();
        Ok(())
    }

    fn handle_message(
        &mut self, message: InstanceMessage, fields: &Fields, line_number: usize,
    ) -> Result<(), Error> {
        let at_line = |error: LineError| error.at_line(line_number);
        let now = self.batch_time.ok_or_else(|| at_line(LineError::OutsideBatch(message.wire_name())))?;
        let instance_number = fields.integer("i").map_err(at_line)?;
        match message {
            InstanceMessage::Start => {
                let instance = Instance::start(fields).map_err(at_line)?;
                self.instances.insert(instance_number, instance);
                Ok(())
            }
            InstanceMessage::Crash => {
                self.instances.remove(&instance_number);
                Ok(())
            }
            InstanceMessage::Event(event_message) => {
                let items = self.read_list_items(event_message, fields, line_number)?;
                let Some(instance) = self.instances.get_mut(&instance_number) else { return Ok(()) };
                let event = instance.decode(event_message, fields, &items, line_number)?;
                if let Some(event) = event {
                    handle_event(instance, now, event, instance_number, &mut self.replies);
                }
                Ok(())
            }
        }
    }

    /// Reads the item lines that follow an endpoint list and strips their prefix. Returns no items for other messages.
    fn read_list_items(
        &mut self, message: EventMessage, fields: &Fields, line_number: usize,
    ) -> Result<Vec<NumberedLine>, Error> {
        if message != EventMessage::EndpointList {
            return Ok(Vec::new());
        }
        let at_line = |error: LineError| error.at_line(line_number);
        let count = fields.optional_integer("nodesList").map_err(at_line)?.unwrap_or(0);
        let mut items = Vec::new();
        for _ in 0..count {
            let item = self.lines.next()?.ok_or_else(|| at_line(LineError::TruncatedList))?;
            let text = item
                .text
                .strip_prefix(LIST_ITEM_PREFIX)
                .ok_or_else(|| LineError::ExpectedListItem.at_line(item.number))?;
            items.push(NumberedLine { number: item.number, text: text.to_owned() });
        }
        Ok(items)
    }
}

/// Lets an instance handle an event. If it panics, an `EXCEPTION` line replaces the replies to this event.
fn handle_event(instance: &mut Instance, now: f64, event: Event, instance_number: u64, replies: &mut String) {
    let length_before = replies.len();
    let result = catch_unwind(AssertUnwindSafe(|| instance.handle(now, event, instance_number, replies)));
    if let Err(payload) = result {
        replies.truncate(length_before);
        let message = panic_message(payload.as_ref()).replace(['\n', '\t', '\r'], " ");
        replies.push_str(&format!("EXCEPTION\ti={instance_number}\tmessage={message}\n"));
    }
}

fn panic_message(payload: &(dyn Any + Send)) -> &str {
    if let Some(text) = payload.downcast_ref::<String>() {
        return text;
    }
    payload.downcast_ref::<&str>().copied().unwrap_or("panic")
}
