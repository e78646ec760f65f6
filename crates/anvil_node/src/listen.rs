//! Accepts TCP connections; all listeners of this process use it.

use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

/// Pause after a failed accept, for example if no file descriptors are left.
///
/// Without the pause, such a process would spin and take processor time from the requests whose
/// completion frees descriptors; twenty attempts per second cost a negligible amount.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The next connection. Cancel safe: dropping the future loses no connection.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            return stream;
        }
        tokio::time::sleep(ACCEPT_PAUSE).await;
    }
}
