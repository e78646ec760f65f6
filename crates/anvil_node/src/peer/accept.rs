//! Accepts connections from other nodes.

use std::sync::Arc;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use super::{handshake, link};
use crate::{counters, engine, listen};

/// Accepts connections from other nodes until the drain signal.
pub async fn serve(listener: TcpListener, context: link::LinkContext, limit: usize) {
    let permits = Arc::new(Semaphore::new(limit));
    let mut drain = context.drain.clone();
    loop {
        let stream = tokio::select! {
            stream = listen::accept(&listener) => stream,
            _ = drain.closing.wait_for(|closing| *closing) => return,
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            context.counters.count(counters::EdgeCause::PeerOverLimit);
            continue;
        };
        let context = context.clone();
        tokio::spawn(async move {
            let _permit = permit;
            connection(stream, context).await;
        });
    }
}

async fn connection(mut stream: TcpStream, context: link::LinkContext) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let handshake = handshake::respond(&mut stream, &context);
    let result = tokio::time::timeout(link::OPEN_TIMEOUT, handshake).await;
    let Ok(Ok(sealed)) = result else {
        context
            .counters
            .count(counters::EdgeCause::PeerHandshakeRefused);
        return;
    };
    context.counters.count(counters::EdgeCause::PeerAccepted);
    let (opened, parts) = link::new_link(sealed.peer.node, context.next_link_id());
    let input = engine::EngineInput::LinkOpened(opened);
    if context.engine.send_async(input).await.is_err() {
        return;
    }
    let opened = link::OpenedStream { stream, sealed };
    link::serve(context, opened, parts).await;
}
