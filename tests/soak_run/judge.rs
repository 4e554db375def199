//! Holds what clients and backends saw against the rules.

use super::backends::Receipt;
use super::clients::{Class, Ending, RequestRecord};
use super::{Report, Run};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// An answer may be this late; after that it counts as lost.
const MAX_LATENESS: Duration = Duration::from_millis(500);
/// A process may be held up for so long, by a signal of the run or by the machine.
const HOLD_UP: Duration = Duration::from_millis(150);
/// An attempt that begins this long after its client has left is a break.
const MAX_ATTEMPT_AFTER_LEAVING: Duration = Duration::from_millis(100);
/// A process that is told to end owes no answer to a request that came later than this.
const LAST_OWED: Duration = Duration::from_millis(700);

/// The report on a run that has ended.
pub fn judge(run: &Run) -> Report {
    let requests = run.requests.lock().expect("the records");
    let receipts = run.receipts.lock().expect("the receipts");
    let processes = run.processes.lock().expect("the processes");
    let mut violations = Vec::new();
    let mut statuses = std::collections::BTreeMap::<String, usize>::new();
    for request in requests.iter() {
        let received = receipts.get(&request.id).map(Vec::as_slice).unwrap_or_default();
        let is_excused = processes.iter().any(|process| {
            process.killed
                && process.terminated.is_some_and(|at| request.sent > at + LAST_OWED)
                && request.sent < process.ended
        });
        let broken = [
            lost(run, request, received).filter(|_| !is_excused),
            duplicate(request, received),
            refused_after_running(request, received),
            sent_on_after_leaving(request, received),
        ];
        violations
            .extend(broken.into_iter().flatten().map(|what| format!("{what}: {request:?}, {received:?}")));
        *statuses.entry(kind(request.ending)).or_default() += 1;
    }
    let peak = processes.iter().map(|process| process.peak_memory).max().unwrap_or_default();
    if peak >= run.plan.memory_mb << 20 {
        violations.push(format!("memory: {} kB of {} MB", peak >> 10, run.plan.memory_mb));
    }
    violations.extend(processes.iter().filter(|p| p.crashed).map(|process| format!("crash: {process:?}")));
    let figures = format!(
        "{:?}; {} processes, peak {} kB; {statuses:?}; {} broken",
        run.plan,
        processes.len(),
        peak >> 10,
        violations.len()
    );
    Report { violations, figures }
}

fn kind(ending: Ending) -> String {
    match ending {
        Ending::Answered { status, .. } => status.to_string(),
        other => format!("{other:?}"),
    }
}

/// A request whose answer never came, came too late or was another one's, or whose connection was closed though
/// it had been sent on.
fn lost(run: &Run, request: &RequestRecord, received: &[Receipt]) -> Option<&'static str> {
    let limit = run.plan.budget() + MAX_LATENESS + HOLD_UP;
    let late = request.ended.saturating_duration_since(request.sent) > limit;
    match request.ending {
        Ending::Left => None,
        Ending::Silence if request.whole => Some("lost, no answer"),
        Ending::Answered { own: false, .. } => Some("lost, another request's answer"),
        Ending::Answered { .. } | Ending::Truncated if late && request.whole => Some("lost, too late"),
        Ending::Closed if request.whole && received.iter().any(|receipt| receipt.ran) => Some("lost, closed"),
        _ => None,
    }
}

/// A request that ran more often than its class allows.
fn duplicate(request: &RequestRecord, received: &[Receipt]) -> Option<&'static str> {
    let ran = received.iter().filter(|receipt| receipt.ran);
    let is_broken = match request.class {
        Class::Read => false,
        Class::Submit => ran.map(|receipt| receipt.zone).collect::<BTreeSet<_>>().len() > 1,
        Class::Correct => ran.count() > 1,
    };
    is_broken.then_some("duplicate")
}

/// A request that was refused as harmless to repeat though it may have run.
fn refused_after_running(request: &RequestRecord, received: &[Receipt]) -> Option<&'static str> {
    let refused = matches!(request.ending, Ending::Answered { status: 429 | 503, .. });
    let ran = received.iter().any(|receipt| receipt.ran);
    (refused && ran && request.class != Class::Read).then_some("refused after it ran")
}

fn sent_on_after_leaving(request: &RequestRecord, received: &[Receipt]) -> Option<&'static str> {
    let limit: Instant = request.ended + MAX_ATTEMPT_AFTER_LEAVING + HOLD_UP;
    let sent_on = request.ending == Ending::Left && received.iter().any(|receipt| receipt.begun > limit);
    sent_on.then_some("sent on after its client left")
}
