//! Refuses requests that are not well-formed HTTP or that no upstream should get.

use http::{Method, StatusCode, header};

use super::{Exchange, Filter, Stop};
use crate::problem::Problem;

/// Longest path with query, in bytes.
const PATH_MAX_BYTES: usize = 8 * 1024;

/// Largest header section, in bytes.
pub(crate) const HEADERS_MAX_BYTES: usize = 16 * 1024;

/// Most header fields.
const HEADERS_MAX: usize = 100;

/// Checks the request's head.
#[derive(Debug)]
pub(crate) struct Parse;

impl Filter for Parse {
    async fn admit(&self, exchange: &mut Exchange) -> Result<(), Stop> {
        check(exchange).map_err(|(status, detail)| Problem::not_run(status, detail).into())
    }
}

fn check(exchange: &Exchange) -> Result<(), (StatusCode, &'static str)> {
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
    if bytes > HEADERS_MAX_BYTES || exchange.headers.len() > HEADERS_MAX {
        let detail = "the header section is too large; send fewer or shorter fields";
        return Err((StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, detail));
    }
    check_length(exchange)
}

/// Allows one content length, a whole number.
fn check_length(exchange: &Exchange) -> Result<(), (StatusCode, &'static str)> {
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
