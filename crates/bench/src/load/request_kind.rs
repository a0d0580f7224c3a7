//! Kinds of requests that both users' callers send.

use http::Method;
use stand_ins::{
    caller::Call,
    upstream::{REQUEST_ID_HEADER, RESPONSE_BYTES_HEADER, RUN_TIME_HEADER},
};
use units::Millis;

/// A kind of request and the load of that kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RequestKind {
    /// Name of the kind in printed tables.
    pub(crate) name: &'static str,
    /// Index of the requests' service in the fleet plan of both users.
    pub(crate) service_idx: usize,
    /// HTTP method of the request.
    pub(crate) method: &'static str,
    /// Path of the request; a run at an upstream is matched to its kind by this prefix.
    pub(crate) path: &'static str,
    /// Time for which the request holds an upstream's slot before the response.
    pub(crate) run_time_ms: Millis,
    /// Size of the request body, in bytes.
    pub(crate) body_bytes: u64,
    /// Size of the response body, in bytes.
    pub(crate) response_bytes: u64,
    /// Whether requests carry an idempotency key and must run at most once.
    pub(crate) is_keyed: bool,
    /// Number of callers that send this kind, each on a connection of its own.
    pub(crate) callers: usize,
    /// Mean think time between a caller's requests.
    pub(crate) think_ms: Millis,
}

impl RequestKind {
    /// Builds the call of a request of this kind with the given request id.
    pub(crate) fn build_call(&self, request_id: &str) -> Call {
        let method = Method::from_bytes(self.method.as_bytes()).unwrap_or_default();
        Call::new(method, self.path)
            .with_header(REQUEST_ID_HEADER, request_id)
            .with_header(RUN_TIME_HEADER, &self.run_time_ms.get().to_string())
            .with_header(RESPONSE_BYTES_HEADER, &self.response_bytes.to_string())
            .with_generated_body(request_id, self.body_bytes)
    }
}

/// All kinds of requests of both users' callers, at the deployments' current sizes.
pub(crate) const REQUEST_KINDS: [RequestKind; 7] = [
    RequestKind {
        name: "balance",
        service_idx: 0,
        method: "GET",
        path: "/balances",
        run_time_ms: Millis::new(5),
        body_bytes: 0,
        response_bytes: 200,
        is_keyed: false,
        callers: 24,
        think_ms: Millis::new(60),
    },
    RequestKind {
        name: "purchase",
        service_idx: 0,
        method: "POST",
        path: "/purchases",
        run_time_ms: Millis::new(8),
        body_bytes: 300,
        response_bytes: 200,
        is_keyed: true,
        callers: 16,
        think_ms: Millis::new(80),
    },
    RequestKind {
        name: "tariff sheet",
        service_idx: 1,
        method: "GET",
        path: "/tariffs",
        run_time_ms: Millis::new(60),
        body_bytes: 0,
        response_bytes: 256 << 10,
        is_keyed: false,
        callers: 6,
        think_ms: Millis::new(300),
    },
    RequestKind {
        name: "fit answer",
        service_idx: 2,
        method: "GET",
        path: "/fit",
        run_time_ms: Millis::new(4),
        body_bytes: 0,
        response_bytes: 400,
        is_keyed: false,
        callers: 24,
        think_ms: Millis::new(60),
    },
    RequestKind {
        name: "fit query",
        service_idx: 2,
        method: "POST",
        path: "/queries",
        run_time_ms: Millis::new(6),
        body_bytes: 200,
        response_bytes: 400,
        is_keyed: true,
        callers: 8,
        think_ms: Millis::new(80),
    },
    RequestKind {
        name: "catalogue page",
        service_idx: 2,
        method: "GET",
        path: "/catalogue",
        run_time_ms: Millis::new(120),
        body_bytes: 0,
        response_bytes: 128 << 10,
        is_keyed: false,
        callers: 6,
        think_ms: Millis::new(300),
    },
    RequestKind {
        name: "photo upload",
        service_idx: 3,
        method: "POST",
        path: "/photos",
        run_time_ms: Millis::new(80),
        body_bytes: 512 << 10,
        response_bytes: 100,
        is_keyed: true,
        callers: 6,
        think_ms: Millis::new(300),
    },
];
