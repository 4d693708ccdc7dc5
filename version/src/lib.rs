//! Versions of the settings: sources of the branches, their validation and inheritance, and the
//! head in the key-value service, whose update puts a version in force.

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
