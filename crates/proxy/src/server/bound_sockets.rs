//! Opens the sockets and the handover file that a proxy needs at its start.

use std::rc::Rc;

use tokio::net::TcpListener;

use crate::config::{Config, Origin};
use crate::error::Error;
use crate::handover::{Handover, SharedState};
use crate::peers::GossipSocket;
use crate::{admin, frontend, passed_socket};

/// The environment variable that holds the file descriptor of the passed listening socket.
const PASSED_SOCKET: &str = "NODE_PASSED_SOCKET";

/// The sockets and the handover file of a proxy.
pub struct BoundSockets {
    /// The listener for clients.
    pub listener: TcpListener,
    /// The handover file. Present only if the platform passes the listening socket, as another process of this proxy
    /// may then run at the same time.
    pub handover: Option<Rc<Handover>>,
    /// The state that a predecessor left in the handover file.
    pub predecessor_state: Option<SharedState>,
    pub peers: Option<Rc<GossipSocket>>,
    /// The listener at the admin address.
    pub admin: Option<std::net::TcpListener>,
}

/// The listener for clients, with the handover file if the platform passed the listener to this process.
struct Listener {
    listener: TcpListener,
    handover: Option<Handover>,
    predecessor_state: Option<SharedState>,
}

impl BoundSockets {
    /// Opens all sockets and the handover file, or returns the first error.
    pub fn open(config: &Config) -> Result<Self, Error> {
        let Listener { listener, handover, predecessor_state } = open_listener(config)?;
        let peers = match &config.peers {
            Some(addresses) => {
                let operation = format!("cannot listen for peers on {}", addresses.listen);
                let peers = GossipSocket::bind(addresses.clone(), handover.is_some());
                Some(peers.map_err(Error::operating_system(operation))?)
            }
            None => None,
        };
        let admin = match config.admin {
            Some(address) => {
                let operation = format!("cannot listen for operators on {address}");
                Some(admin::listen(address).map_err(Error::operating_system(operation))?)
            }
            None => None,
        };
        Ok(BoundSockets { listener, handover: handover.map(Rc::new), predecessor_state, peers, admin })
    }
}

fn open_listener(config: &Config) -> Result<Listener, Error> {
    let descriptor = match config.origin {
        Origin::Platform(_) => std::env::var_os(PASSED_SOCKET),
        Origin::File => None,
    };
    let Some(descriptor) = descriptor else {
        let operation = format!("cannot listen on {}", config.listen);
        let listener = frontend::listen(config.listen).map_err(Error::operating_system(operation))?;
        return Ok(Listener { listener, handover: None, predecessor_state: None });
    };
    let listener = passed_socket::from_descriptor(&descriptor)?;
    let listener =
        TcpListener::from_std(listener).map_err(Error::operating_system("cannot use the passed socket"))?;
    let (handover, predecessor_state) = Handover::open(&std::env::temp_dir(), &config.name);
    Ok(Listener { listener, handover: Some(handover), predecessor_state })
}
