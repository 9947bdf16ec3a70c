//! All that goes into the decisions and comes out of them.
pub use crate::actions::*;
pub use crate::endpoint::*;
pub use crate::events::*;
pub use crate::ids::*;
pub use crate::learned_state::*;
pub use crate::outcomes::*;
pub use crate::settings::*;
pub use crate::weighted_mean::*;
