//! One version of the settings: the branches' sources, their checks and inheritance, and the head
//! by which a version is accepted in the key-value service.

pub mod branch;
pub mod check;
pub mod head;
pub mod policy;
pub mod publish;
pub mod routes;
pub mod schema;
pub mod source;
pub mod store;
pub mod tree;
