//! Identifiers as validated newtypes with `Display` and `FromStr`.

mod errors;
mod names;
mod numbers;
mod request_id;

pub use errors::IdError;
pub use names::{
    AdapterName, FailureDomain, IdempotencyKey, ModelName, ModelVersion, OperatorName, PlanId,
    ServiceName, UpstreamId, VmId, WorkspaceId,
};
pub use numbers::{
    AttemptNumber, BlockHash, BodyHash, BodyId, CallId, CatalogVersion, ConnectionId,
    FencingNumber, Fingerprint, Generation, Incarnation, RelayId, SendId, StoreEra, StoreVersion,
};
pub use request_id::{AttemptId, RequestId};
