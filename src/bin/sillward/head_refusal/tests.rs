use super::*;
use std::time::Duration;
use tokio::time::timeout;

async fn is_due(refusal: &HeadRefusal) -> bool {
    timeout(Duration::ZERO, refusal.due()).await.is_ok()
}

// Guards against a refusal that is written into the response before it.
#[tokio::test(start_paused = true)]
async fn a_refusal_is_due_once_the_response_before_has_been_written() {
    let refusal = HeadRefusal::default();
    refusal.set_flushed(false);
    refusal.decide();
    assert!(!is_due(&refusal).await);
    refusal.set_flushed(true);
    assert!(is_due(&refusal).await);

    let refusal = HeadRefusal::default();
    refusal.set_flushed(false);
    refusal.set_flushed(true);
    assert!(!is_due(&refusal).await, "nothing is refused yet");
    refusal.decide();
    assert!(is_due(&refusal).await);
}
