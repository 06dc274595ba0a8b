//! The listening address of a stand-in, which may move to another address.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::sleep;

use crate::Fault;

/// A former address accepts no new connections and closes the open ones after 1.5 s.
const CLOSES_AFTER: Duration = Duration::from_millis(1_500);

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Open,
    /// New connections are refused; open ones continue.
    Leaving,
    Closed,
}

/// An address that accepts connections until the stand-in leaves it.
pub struct Endpoint {
    state: watch::Sender<State>,
    accepts: JoinHandle<()>,
}

/// Tells a connection when its endpoint closes.
#[derive(Clone)]
pub struct EndpointWatch(watch::Receiver<State>);

impl Endpoint {
    /// Accepts connections at the address and passes each to `serve`.
    ///
    /// # Errors
    /// Fails if it can't listen on the address.
    pub async fn open(
        at: SocketAddr,
        serve: impl Fn(TcpStream, EndpointWatch) + 'static,
    ) -> Result<Endpoint, Fault> {
        let listener = TcpListener::bind(at).await.map_err(|why| Fault::Io("a stand-in's address", why))?;
        let state = watch::Sender::new(State::Open);
        let mut left = state.subscribe();
        let connections = EndpointWatch(state.subscribe());
        let accepts = spawn_local(async move {
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        if let Ok((stream, _)) = accepted {
                            serve(stream, connections.clone());
                        }
                    }
                    _ = left.wait_for(|state| *state != State::Open) => return,
                }
            }
        });
        Ok(Endpoint { state, accepts })
    }

    /// Accepts no more connections, and closes the open ones after `CLOSES_AFTER`. When this returns, the address is free
    /// and can be listened on again.
    pub async fn leave(self) {
        let Endpoint { state, accepts } = self;
        state.send_replace(State::Leaving);
        // The task ends by itself and closes the listener.
        let _ = accepts.await;
        spawn_local(async move {
            sleep(CLOSES_AFTER).await;
            state.send_replace(State::Closed);
        });
    }
}

impl EndpointWatch {
    /// Waits until open connections are closed.
    pub async fn closes(mut self) {
        // Dropping the endpoint closes it too.
        let _ = self.0.wait_for(|state| *state == State::Closed).await;
    }
}
