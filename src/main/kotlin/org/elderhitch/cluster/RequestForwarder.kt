package org.elderhitch.cluster

import org.elderhitch.http.HttpServer
import org.elderhitch.http.Request
import org.elderhitch.http.Response
import org.elderhitch.http.Transport
import org.elderhitch.settings.NodeName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Forwards requests to peers, and serves requests that peers forward to this node. */
internal class RequestForwarder(private val peers: PeerRegistry, private val transport: Transport) {
    /** Forwards a request to the peers that reach the state service, in turn, until one responds; null if none does. */
    suspend fun forward(request: Request): Response? {
        for (peer in peers.reachingStateService()) {
            return send(peer, USER_REQUEST_PATH, request, FORWARD_TIMEOUT) ?: continue
        }
        return null
    }

    /** Sends a request to the leader. Returns null if the leader does not respond or is not a known peer. */
    suspend fun callLeader(leader: NodeName, path: String, body: ByteArray, timeout: Duration): Response? {
        val peer = peers[leader] ?: return null
        return send(peer, LEADER_REQUEST_PATH, Request("POST", path, emptyMap(), body), timeout)
    }

    private suspend fun send(peer: PeerState, target: String, request: Request, timeout: Duration): Response? {
        val forwarded = ForwardedRequest(request.method, request.path, request.body, request.remoteAddress.orEmpty())
        val body = PeerCodec.encode(ForwardedRequest.serializer(), forwarded)
        val response = transport.call(peer.peer.address, "POST", target, body, timeout)
        if (response == null || response.status != HttpStatus.OK) return null
        val inner = PeerCodec.decode(ForwardedResponse.serializer(), response.body) ?: return null
        return Response(inner.status, inner.body, inner.headers)
    }

    /** Unwraps a request that a peer has forwarded, passes it to [serve] and wraps the response. */
    suspend fun receive(request: Request, serve: suspend (Request) -> Response): Response {
        val forwarded = PeerCodec.decode(ForwardedRequest.serializer(), request.body)
            ?: return HttpServer.errorResponse(HttpStatus.BAD_REQUEST, "malformed forwarded request")
        val sender = forwarded.senderAddress.ifEmpty { null }
        val response = serve(Request(forwarded.method, forwarded.path, emptyMap(), forwarded.body, sender))
        return PeerCodec.respond(
            ForwardedResponse.serializer(),
            ForwardedResponse(response.status, response.body, response.headers),
        )
    }

    companion object {
        const val USER_REQUEST_PATH = "/cluster/forward"
        const val LEADER_REQUEST_PATH = "/cluster/lead"
        private val FORWARD_TIMEOUT = 1500.milliseconds
    }
}
