//! The agent beside one upstream endpoint: QUIC, HTTP/3 and the request filter chain.
