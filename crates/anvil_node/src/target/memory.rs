//! The memory for answers that are being received.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time;

/// Bytes of one answer that need no reservation, so that large answers never hold up small ones.
const UNRESERVED_BYTES: usize = 64 * 1024;

/// Bytes that all answers may reserve together: two of the largest size, which reserve the next power
/// of two. A buffer that grows holds its content twice for a moment.
const RESERVABLE_BYTES: usize = 32 * 1024 * 1024;

/// Bytes of one permit.
const PERMIT_BYTES: usize = 1_024;

/// Longest wait for a reservation. Answers that wait for each other would otherwise wait until their
/// deadlines.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The memory for answers of the local target, shared by all runs.
///
/// A target in trouble may send bytes without end in all of its slots. Each answer is bounded, but
/// all of them together exceed the memory of an instance.
#[derive(Clone, Debug)]
pub struct AnswerMemory {
    free: Arc<Semaphore>,
}

impl Default for AnswerMemory {
    fn default() -> Self {
        let free = Arc::new(Semaphore::new(RESERVABLE_BYTES / PERMIT_BYTES));
        Self { free }
    }
}

impl AnswerMemory {
    /// A reservation for one answer, which grows with it and ends when dropped.
    pub fn begin(&self) -> AnswerReservation {
        AnswerReservation {
            free: self.free.clone(),
            held: None,
        }
    }
}

/// The part of an [`AnswerMemory`] that one answer holds.
#[derive(Debug)]
pub struct AnswerReservation {
    free: Arc<Semaphore>,
    held: Option<OwnedSemaphorePermit>,
}

impl AnswerReservation {
    /// Grows to `bytes` in total, and returns whether it could.
    ///
    /// It grows in powers of two, so that a long answer waits only a few times.
    pub async fn grow_to(&mut self, bytes: usize) -> bool {
        if bytes <= UNRESERVED_BYTES {
            return true;
        }
        let held = self
            .held
            .as_ref()
            .map_or(0, OwnedSemaphorePermit::num_permits);
        let wanted = bytes.next_power_of_two() / PERMIT_BYTES;
        if wanted <= held {
            return true;
        }
        let Ok(missing) = u32::try_from(wanted - held) else {
            return false;
        };
        let acquiring = self.free.clone().acquire_many_owned(missing);
        let Ok(Ok(permit)) = time::timeout(RESERVE_TIMEOUT, acquiring).await else {
            return false;
        };
        match &mut self.held {
            Some(held) => held.merge(permit),
            None => self.held = Some(permit),
        }
        true
    }
}
