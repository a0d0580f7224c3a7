//! Filter that refuses malformed requests, oversized heads and the methods CONNECT and TRACE.

use http::{Method, StatusCode, header};

use super::{EarlyResponse, Exchange, Filter};
use crate::problem::Problem;

/// Maximum length of a request's path and query.
const PATH_MAX_BYTES: usize = 8 * 1024;

/// Maximum total length of a request's header names and values.
pub(crate) const HEADERS_MAX_BYTES: usize = 16 * 1024;

/// Maximum number of header fields of a request.
const HEADERS_COUNT_MAX: usize = 100;

/// Checks method, path and headers of a request.
#[derive(Debug)]
pub(crate) struct ValidateHead;

impl Filter for ValidateHead {
    async fn apply(&self, exchange: &mut Exchange) -> Result<(), EarlyResponse> {
        check_head(exchange).map_err(|(status, detail)| Problem::not_run(status, detail).into())
    }
}

fn check_head(exchange: &Exchange) -> Result<(), (StatusCode, &'static str)> {
    if exchange.method == Method::CONNECT || exchange.method == Method::TRACE {
        let detail = "the method is not served; use GET, HEAD, POST, PUT, PATCH or DELETE";
        return Err((StatusCode::METHOD_NOT_ALLOWED, detail));
    }
    if !exchange.uri.path().starts_with('/') {
        return Err((StatusCode::BAD_REQUEST, "the path must start with `/`"));
    }
    let path = exchange.uri.path_and_query().map_or("", |it| it.as_str());
    if path.len() > PATH_MAX_BYTES {
        return Err((StatusCode::URI_TOO_LONG, "the path is too long; shorten it"));
    }
    let fields = exchange.headers.iter();
    let bytes: usize = fields
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if bytes > HEADERS_MAX_BYTES || exchange.headers.len() > HEADERS_COUNT_MAX {
        let detail = "the header section is too large; send fewer or shorter fields";
        return Err((StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, detail));
    }
    check_content_length(exchange)
}

/// Checks that `content-length` is absent or a single integer.
fn check_content_length(exchange: &Exchange) -> Result<(), (StatusCode, &'static str)> {
    let mut lengths = exchange.headers.get_all(header::CONTENT_LENGTH).iter();
    let Some(length) = lengths.next() else {
        return Ok(());
    };
    let is_number = length.to_str().is_ok_and(|it| it.parse::<u64>().is_ok());
    if !is_number || lengths.next().is_some() {
        let detail = "`content-length` must be one whole number";
        return Err((StatusCode::BAD_REQUEST, detail));
    }
    Ok(())
}
