//! A fleet of real processes on loopback, with stand-ins for platform, upstreams and callers.

mod addresses;
mod certificates;
mod process;

pub(crate) use addresses::AddressPlan;
pub(crate) use certificates::Certificates;
pub(crate) use process::Process;
