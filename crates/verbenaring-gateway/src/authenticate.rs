//! First filter: finds the caller's contract by its bearer key.

use std::sync::Arc;

use hyper::StatusCode;
use hyper::header::{AUTHORIZATION, HeaderMap};

use crate::catalog::{ContractEntry, ServingCatalog};
use crate::refusal::Refusal;

/// Returns the contract of the caller's bearer key, or refuses with 401 if the key
/// is missing or unknown.
pub fn authenticate_caller(
    catalog: &ServingCatalog,
    headers: &HeaderMap,
) -> Result<Arc<ContractEntry>, Refusal> {
    let key = bearer_key(headers)?;
    catalog.contract_of_key(key).cloned().ok_or_else(|| {
        Refusal::not_run(
            StatusCode::UNAUTHORIZED,
            "invalid_api_key",
            "bearer key is not known",
        )
    })
}

/// Returns the bearer key of a request, or refuses with 401 if there is none.
pub fn bearer_key(headers: &HeaderMap) -> Result<&str, Refusal> {
    let value = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let key = value
        .and_then(|value| value.strip_prefix("Bearer "))
        .map(str::trim);
    key.filter(|key| !key.is_empty()).ok_or_else(|| {
        Refusal::not_run(
            StatusCode::UNAUTHORIZED,
            "missing_api_key",
            "send the header Authorization: Bearer KEY",
        )
    })
}
