//! Length-delimited frames with postcard bodies on a QUIC stream.

use std::io;
use std::marker::PhantomData;
use std::pin::Pin;

use bytes::Bytes;
use bytes::BytesMut;
use quinn::RecvStream;
use quinn::SendStream;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::serde_transport::Transport;
use tokio::io::Join;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

/// The largest frame: a chunk of configuration, and room for its envelope.
const FRAME_LIMIT_BYTES: usize = 2 << 20;

/// A transport for one direction of calls.
pub(crate) type PeerTransport<Item, SinkItem> =
    Transport<Join<RecvStream, SendStream>, Item, SinkItem, Postcard<Item, SinkItem>>;

/// Makes a transport of the two halves of a stream.
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
    tarpc::serde_transport::new(framed, Postcard(PhantomData))
}

/// The postcard format for `tokio-serde`.
pub(crate) struct Postcard<Item, SinkItem>(PhantomData<fn(SinkItem) -> Item>);

impl<Item, SinkItem: Serialize> tokio_serde::Serializer<SinkItem> for Postcard<Item, SinkItem> {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &SinkItem) -> Result<Bytes, io::Error> {
        postcard::to_allocvec(item).map(Bytes::from).map_err(io::Error::other)
    }
}

impl<Item: DeserializeOwned, SinkItem> tokio_serde::Deserializer<Item>
    for Postcard<Item, SinkItem>
{
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, source: &BytesMut) -> Result<Item, io::Error> {
        postcard::from_bytes(source)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
    }
}
