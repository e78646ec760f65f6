//! The one way in which this process takes connections.

use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

/// Pause after a failed accept, such as for want of file descriptors.
///
/// Without it a process that has none left spins at full speed and takes the processor from the
/// requests whose ends would free some; twenty looks a second cost nothing that shows.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The next connection; may be given up at any moment without losing one.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            return stream;
        }
        tokio::time::sleep(ACCEPT_PAUSE).await;
    }
}
