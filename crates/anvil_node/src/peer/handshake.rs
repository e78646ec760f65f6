//! The handshake of a new connection to another node, on its socket.

use anvil_types::ident;
use anvil_wire::seal::{self, handshake, stream};
use anvil_wire::{codec, frame};
use derive_more::{Display, Error, From};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::link;

/// Why a connection did not come about.
#[derive(Debug, Display, Error, From)]
pub enum HandshakeError {
    /// The socket failed.
    #[display("the connection failed: {_0}")]
    Socket(std::io::Error),
    /// The other side proved nothing.
    #[display("the handshake is refused: {_0}")]
    Refused(seal::SealError),
}

/// Opens a conversation with the node that `expected` names, and with no other.
pub async fn initiate(
    stream: &mut TcpStream,
    context: &link::LinkContext,
    expected: ident::NodeId,
) -> Result<stream::SealedStream, HandshakeError> {
    let own = context.hello.clone();
    let (shaking, hello) = handshake::InitiatorHandshake::begin(&context.ring, own, fresh_nonce())?;
    stream.write_all(&hello).await?;
    let challenge = read_message(stream).await?;
    let (sealed, proof) = shaking.finish(&challenge, Some(expected))?;
    stream.write_all(&proof).await?;
    Ok(sealed)
}

/// Answers whoever opened the connection.
pub async fn respond(
    stream: &mut TcpStream,
    context: &link::LinkContext,
) -> Result<stream::SealedStream, HandshakeError> {
    let hello = read_message(stream).await?;
    let own: &frame::PeerHello = &context.hello;
    let (shaking, challenge) =
        handshake::ResponderHandshake::begin(&context.ring, own, fresh_nonce(), &hello)?;
    stream.write_all(&challenge).await?;
    let proof = read_message(stream).await?;
    Ok(shaking.finish(&proof)?)
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
