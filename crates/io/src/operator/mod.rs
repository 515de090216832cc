//! The operators' HTTP interface.

mod calls;
mod errors;
mod server;

pub use calls::OperatorCalls;
pub use errors::OperatorCallError;
pub use server::OperatorServer;
