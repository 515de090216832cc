//! The operators' HTTP interface.

mod desk;
mod errors;
mod server;

pub use desk::OperatorDesk;
pub use errors::OperatorCallError;
pub use server::OperatorServer;
