//! The messages of the protocol, as `proto/fleet.proto` defines them.

#![allow(missing_docs, clippy::all)]

tonic::include_proto!("amberarch.fleet.v1");
