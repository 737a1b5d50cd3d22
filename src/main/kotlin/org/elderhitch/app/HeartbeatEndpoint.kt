package org.elderhitch.app

import kotlinx.coroutines.CompletableDeferred
import org.elderhitch.cluster.Cluster
import org.elderhitch.heartbeat.HeartbeatCodec
import org.elderhitch.heartbeat.HeartbeatResponse
import org.elderhitch.http.HttpServer
import org.elderhitch.http.HttpStatus
import org.elderhitch.http.Request
import org.elderhitch.http.Response
import org.elderhitch.json.Json
import org.elderhitch.json.MalformedJson
import org.elderhitch.scheduler.SchedulerActor
import org.elderhitch.scheduler.SchedulerMessage
import kotlin.time.Duration.Companion.seconds

/** Passes heartbeats of workers to the scheduler, and responds with commands or with the name of the leader. */
internal class HeartbeatEndpoint(private val scheduler: SchedulerActor, private val cluster: Cluster) {
    suspend fun handle(request: Request): Response {
        val heartbeat = try {
            HeartbeatCodec.decode(request.body)
        } catch (e: MalformedJson) {
            return HttpServer.errorResponse(HttpStatus.BAD_REQUEST, e.message.orEmpty())
        }
        val reply = CompletableDeferred<HeartbeatResponse>()
        scheduler.tell(SchedulerMessage.HeartbeatReceived(heartbeat, reply))
        return when (val response = reply.await()) {
            is HeartbeatResponse.Accepted ->
                Response(HttpStatus.OK, HeartbeatCodec.encode(response.token, response.commands))

            is HeartbeatResponse.Redirect -> redirect(response)
        }
    }

    /** Names the leader only if this controller receives its heartbeats, so that no worker is sent to a dead one. */
    private fun redirect(response: HeartbeatResponse.Redirect): Response {
        val leader = response.leader?.takeIf(cluster::hasRecentHeartbeat)
            ?: return HttpServer.errorResponse(HttpStatus.SERVICE_UNAVAILABLE, "no leader known here", RETRY_AFTER)
        return Response(HttpStatus.MISDIRECTED_REQUEST, Json.bytes(mapOf("auctioneer" to leader.text)))
    }

    private companion object {
        val RETRY_AFTER = 1.seconds
    }
}
