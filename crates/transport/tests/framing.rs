//! How the end of a response body is determined.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;

use redwingrill_transport::Framing;

struct FramingCase {
    headers: &'static [(&'static str, &'static str)],
    framing: Framing,
}

const CASES: [FramingCase; 7] = [
    FramingCase { headers: &[], framing: Framing::Connection },
    FramingCase { headers: &[("content-length", "0")], framing: Framing::Length },
    FramingCase { headers: &[("transfer-encoding", "chunked")], framing: Framing::Chunked },
    FramingCase { headers: &[("transfer-encoding", "gzip, Chunked")], framing: Framing::Chunked },
    FramingCase { headers: &[("transfer-encoding", "gzip")], framing: Framing::Connection },
    FramingCase {
        headers: &[("transfer-encoding", "gzip"), ("transfer-encoding", "chunked")],
        framing: Framing::Chunked,
    },
    FramingCase {
        headers: &[("content-length", "3"), ("transfer-encoding", "chunked")],
        framing: Framing::Chunked,
    },
];

#[test]
fn framing_follows_the_headers() {
    for case in CASES {
        let mut headers = HeaderMap::new();
        for (name, value) in case.headers {
            headers.append(HeaderName::from_static(name), HeaderValue::from_static(value));
        }
        assert_eq!(Framing::of(&headers), case.framing, "{:?}", case.headers);
    }
}
