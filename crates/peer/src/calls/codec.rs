//! Length-delimited frames with postcard bodies on a QUIC stream.

use quinn::RecvStream;
use quinn::SendStream;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::serde_transport::Transport;
use tokio::io::Join;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use redwingrill_transport::Postcard;

/// Maximum frame size: a configuration chunk and its envelope.
const FRAME_LIMIT_BYTES: usize = 2 << 20;

/// The transport of the calls in one direction.
pub(crate) type PeerTransport<Item, SinkItem> =
    Transport<Join<RecvStream, SendStream>, Item, SinkItem, Postcard<Item, SinkItem>>;

/// Creates a transport from the two halves of a stream.
pub(crate) fn transport<Item, SinkItem>(
    send: SendStream,
    receive: RecvStream,
) -> PeerTransport<Item, SinkItem>
where
    Item: DeserializeOwned,
    SinkItem: Serialize,
{
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(FRAME_LIMIT_BYTES);
    let framed = Framed::new(tokio::io::join(receive, send), codec);
    tarpc::serde_transport::new(framed, Postcard::default())
}
