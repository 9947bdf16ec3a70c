//! Every decision of one proxy, a file for each concern. Times are in ms; formula numbers are those of the paper that
//! `docs/design.md` names. What goes in and out stands in `interface.rs`.
pub(crate) mod attempts;
pub(crate) mod cold;
pub(crate) mod discovery;
pub(crate) mod health;
pub(crate) mod peers;
pub(crate) mod queue;
pub(crate) mod review;
pub(crate) mod slots;
pub(crate) mod speeds;
pub(crate) mod threshold;
