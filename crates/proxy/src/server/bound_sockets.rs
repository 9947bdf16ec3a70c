//! What a proxy opens at its start: sockets and the handover file.

use std::rc::Rc;

use tokio::net::TcpListener;

use crate::config::{Config, Origin};
use crate::error::Error;
use crate::handover::{Handover, SharedState};
use crate::peers::GossipSocket;
use crate::{admin, frontend, passed_socket};

/// Environment variable with the number of a listening socket's descriptor.
const PASSED_SOCKET: &str = "NODE_PASSED_SOCKET";

/// Everything that a proxy opens.
pub struct BoundSockets {
    pub listener: TcpListener,
    /// Only where the platform passes the listening socket on: another process of this proxy may overlap.
    pub handover: Option<Rc<Handover>>,
    /// What a predecessor has left.
    pub predecessor: Option<SharedState>,
    pub peers: Option<Rc<GossipSocket>>,
    pub admin: Option<std::net::TcpListener>,
}

/// The listener, with the handover file if the listener was passed on.
struct Listener {
    listener: TcpListener,
    handover: Option<Handover>,
    predecessor: Option<SharedState>,
}

impl BoundSockets {
    /// Opens all of it, or nothing.
    pub fn open(config: &Config) -> Result<Self, Error> {
        let Listener { listener, handover, predecessor } = open_listener(config)?;
        let peers = match &config.peers {
            Some(addresses) => {
                let what = format!("cannot listen for peers on {}", addresses.listen);
                let peers = GossipSocket::bind(addresses.clone(), handover.is_some());
                Some(peers.map_err(Error::system(what))?)
            }
            None => None,
        };
        let admin = match config.admin {
            Some(address) => {
                let what = format!("cannot listen for operators on {address}");
                Some(admin::listen(address).map_err(Error::system(what))?)
            }
            None => None,
        };
        Ok(BoundSockets { listener, handover: handover.map(Rc::new), predecessor, peers, admin })
    }
}

fn open_listener(config: &Config) -> Result<Listener, Error> {
    let descriptor = match config.origin {
        Origin::Platform(_) => std::env::var_os(PASSED_SOCKET),
        Origin::File => None,
    };
    let Some(descriptor) = descriptor else {
        let what = format!("cannot listen on {}", config.listen);
        let listener = frontend::listen(config.listen).map_err(Error::system(what))?;
        return Ok(Listener { listener, handover: None, predecessor: None });
    };
    let listener = passed_socket::from_descriptor(&descriptor)?;
    let listener = TcpListener::from_std(listener).map_err(Error::system("the passed socket"))?;
    let (handover, predecessor) = Handover::open(&std::env::temp_dir(), &config.name);
    Ok(Listener { listener, handover: Some(handover), predecessor })
}
