//! A `tokio-serde` codec of the postcard format.

use std::io;
use std::marker::PhantomData;
use std::pin::Pin;

use bytes::Bytes;
use bytes::BytesMut;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// A `tokio-serde` codec of the postcard format.
pub struct Postcard<Item, SinkItem>(PhantomData<fn(SinkItem) -> Item>);

impl<Item, SinkItem> Default for Postcard<Item, SinkItem> {
    fn default() -> Self {
        Self(PhantomData)
    }
}

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
