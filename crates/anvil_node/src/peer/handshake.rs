//! Runs the handshake of a new connection between nodes on its socket.

use anvil_types::ident;
use anvil_wire::seal::{self, handshake, stream};
use anvil_wire::{codec, frame};
use derive_more::{Display, Error, From};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::link;

/// Why a connection could not be opened.
#[derive(Debug, Display, Error, From)]
pub enum HandshakeError {
    /// The socket failed.
    #[display("the connection failed: {_0}")]
    Socket(std::io::Error),
    /// The other side failed the handshake.
    #[display("the handshake was refused: {_0}")]
    Refused(seal::SealError),
}

/// Runs the handshake as initiator; fails unless the other side is the node `expected`.
pub async fn initiate(
    stream: &mut TcpStream,
    context: &link::LinkContext,
    expected: ident::NodeId,
) -> Result<stream::SealedStream, HandshakeError> {
    let own = context.hello.clone();
    let (initiator, hello) =
        handshake::InitiatorHandshake::begin(&context.ring, own, fresh_nonce())?;
    stream.write_all(&hello).await?;
    let challenge = read_message(stream).await?;
    let (sealed, proof) = initiator.finish(&challenge, Some(expected))?;
    stream.write_all(&proof).await?;
    Ok(sealed)
}

/// Runs the handshake as responder.
pub async fn respond(
    stream: &mut TcpStream,
    context: &link::LinkContext,
) -> Result<stream::SealedStream, HandshakeError> {
    let hello = read_message(stream).await?;
    let own: &frame::PeerHello = &context.hello;
    let (responder, challenge) =
        handshake::ResponderHandshake::begin(&context.ring, own, fresh_nonce(), &hello)?;
    stream.write_all(&challenge).await?;
    let proof = read_message(stream).await?;
    Ok(responder.finish(&proof)?)
}

async fn read_message(stream: &mut TcpStream) -> Result<Vec<u8>, HandshakeError> {
    let mut prefix = [0; codec::LENGTH_BYTES];
    stream.read_exact(&mut prefix).await?;
    let mut message = vec![0; handshake::check_length(prefix)?];
    stream.read_exact(&mut message).await?;
    Ok(message)
}

fn fresh_nonce() -> handshake::HandshakeNonce {
    let mut nonce = [0; handshake::NONCE_BYTES];
    for half in nonce.chunks_mut(16) {
        half.copy_from_slice(uuid::Uuid::new_v4().as_bytes());
    }
    handshake::HandshakeNonce(nonce)
}
