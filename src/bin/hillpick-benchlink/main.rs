//! Adapter between a simulator and the decision module: runs many nodes in one process, one [`Balancer`] for
//! each instance. Batches of events come on standard input, and one reply of actions for each goes to
//! standard output.
#![forbid(unsafe_code)]

mod wire;

use hillpick::settings::{self, ReportColumn};
use hillpick::{Balancer, Event};
use std::collections::BTreeMap;
use std::io::{self, BufReader, Read, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use std::time::Duration;
use wire::{Batch, Input, RawReport, Reply, named_report, read_batch};

/// One simulated node.
struct Instance {
    balancer: Balancer,
    /// The columns of its load reports, in the order of the settings.
    columns: Vec<ReportColumn>,
}

impl Instance {
    /// Starts a node from the text of its settings.
    fn start(settings: &[u8], seed: u64) -> Result<Self, String> {
        let site = settings::parse(settings).map_err(|e| e.to_string())?;
        Ok(Instance { balancer: Balancer::new(site.settings, seed), columns: site.columns })
    }

    /// Gives an event to the decision module and returns its actions. An error is the message of its panic.
    fn handle(
        &mut self,
        now: Duration,
        mut event: Event,
        raw: Option<RawReport>,
    ) -> Result<Vec<hillpick::Action>, String> {
        let report = raw.map(|raw| named_report(raw, &self.columns));
        match &mut event {
            Event::AttemptEnded(end) => end.report = report,
            Event::ProbeEnded(end) => end.report = report,
            _ => {}
        }
        let mut actions = Vec::new();
        catch_panic(|| self.balancer.handle(now, event, &mut actions)).map(|()| actions)
    }
}

/// Runs the decision module; an error is the message of its panic.
fn catch_panic(run: impl FnOnce()) -> Result<(), String> {
    catch_unwind(AssertUnwindSafe(run)).map_err(|panic| {
        let text = panic.downcast_ref::<String>().map(String::as_str);
        text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("the decisions panicked").to_string()
    })
}

/// Handles all records of a batch and returns the reply's frame. Malformed input is an error, a panic of the
/// decision module a record of the reply.
fn handle_batch(batch: &Batch, instances: &mut BTreeMap<u16, Instance>) -> Result<Vec<u8>, String> {
    let mut reply = Reply::default();
    for (i, record) in batch.records().enumerate() {
        let (instance_id, input) = record?;
        match input {
            Input::Start { seed, settings } => {
                let instance = Instance::start(&settings, seed)
                    .map_err(|error| format!("batch {}: record {i}: {error}", batch.number))?;
                instances.insert(instance_id, instance);
            }
            Input::Stop => drop(instances.remove(&instance_id)),
            Input::Event(event, report) => {
                // Events for an instance that has stopped are ignored.
                let Some(instance) = instances.get_mut(&instance_id) else { continue };
                match instance.handle(batch.clock, event, report) {
                    Ok(actions) => actions.iter().for_each(|action| reply.push(instance_id, action)),
                    Err(text) => {
                        reply.push_fault(instance_id, &text);
                        instances.remove(&instance_id);
                    }
                }
            }
        }
    }
    Ok(reply.frame(batch.number))
}

/// Answers batches until the input ends.
fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let mut instances = BTreeMap::new();
    while let Some(batch) = read_batch(input)? {
        let frame = handle_batch(&batch, &mut instances)?;
        let written = output.write_all(&frame).and_then(|()| output.flush());
        written.map_err(|e| format!("cannot write: {e}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(&mut BufReader::with_capacity(1 << 16, io::stdin().lock()), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hillpick-benchlink: {error}");
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests {
    use super::catch_panic;

    #[test]
    fn a_panic_of_the_decision_module_is_returned_as_its_message() {
        assert_eq!(catch_panic(|| ()), Ok(()));
        assert_eq!(catch_panic(|| panic!("plain")), Err("plain".into()));
        assert_eq!(catch_panic(|| panic!("number {}", 7)), Err("number 7".into()));
    }
}
