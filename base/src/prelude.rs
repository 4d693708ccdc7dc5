//! The common types, for `use foldlock_base::prelude::*`.

pub use crate::clock::Clock;
pub use crate::deadline::Deadline;
pub use crate::error::{Error, Kind, Ran};
pub use crate::event::Event;
pub use crate::id;
pub use crate::size::{Rate, Tokens};
