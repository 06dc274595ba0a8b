//! HTTP/1.1 server of the stand-ins.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;

use crate::Fault;

pub type Body = BoxBody<Bytes, Infallible>;

pub fn full(body: &Value) -> Response<Body> {
    Response::new(Full::new(Bytes::from(body.to_string())).boxed())
}

/// A streamed body that ends when the channel of lines is closed.
pub fn lines(from: mpsc::UnboundedReceiver<String>) -> Response<Body> {
    let frames = futures_util::stream::unfold(from, |mut from| async move {
        let line = from.recv().await?;
        Some((Ok::<_, Infallible>(Frame::data(Bytes::from(line + "\n"))), from))
    });
    Response::new(BodyExt::boxed(StreamBody::new(Box::pin(frames))))
}

/// Serves at an address while `up`; otherwise resets new and open connections.
///
/// # Errors
/// Fails if it can't listen on the address.
pub async fn serve<F, Fut>(address: SocketAddr, up: watch::Receiver<bool>, answer: F) -> Result<(), Fault>
where
    F: Fn(Request<Incoming>) -> Fut + Clone + 'static,
    Fut: Future<Output = Response<Body>> + 'static,
{
    let listener = TcpListener::bind(address).await.map_err(|why| Fault::Io("a stand-in's address", why))?;
    spawn_local(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            if !*up.borrow() {
                let _ = stream.set_zero_linger();
                continue;
            }
            let (answer, mut up) = (answer.clone(), up.clone());
            spawn_local(async move {
                let closed = async {
                    let _ = up.wait_for(|up| !up).await;
                };
                serve_connection(stream, answer, closed).await;
            });
        }
    });
    Ok(())
}

/// Serves one connection until it ends or `closed` completes.
pub async fn serve_connection<F, Fut>(stream: TcpStream, answer: F, closed: impl Future<Output = ()>)
where
    F: Fn(Request<Incoming>) -> Fut,
    Fut: Future<Output = Response<Body>>,
{
    let service = service_fn(move |request| {
        let answer = answer(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = connection => {}
        () = closed => {}
    }
}
