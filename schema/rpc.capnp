# The one interface that the system's own processes serve. The body is a
# message of wire.capnp or peer.capnp, by kind (RpcKind in flamingohollow/rpc.h).
# Regenerate with tools/generate.

@0xe6c4a0d19b7735c2;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("flamingohollow::wire");

interface Node {
  call @0 (kind :UInt16, body :Data) -> (body :Data);
}
