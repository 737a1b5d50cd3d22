package org.elderhitch.app

import org.elderhitch.http.HttpServer
import org.elderhitch.http.HttpStatus
import org.elderhitch.http.Response
import org.elderhitch.json.Json
import kotlin.time.Duration.Companion.seconds

/** Serves the readiness probes of load balancers and the operators' status requests. */
internal class ProbeEndpoint(private val isReady: () -> Boolean, private val readStatus: () -> Map<String, Any?>) {
    fun ready(): Response = if (isReady()) {
        Response(HttpStatus.OK, Json.bytes(mapOf("ready" to true)))
    } else {
        HttpServer.errorResponse(HttpStatus.SERVICE_UNAVAILABLE, "starting", RETRY_AFTER)
    }

    fun status(): Response = Response(HttpStatus.OK, Json.bytes(readStatus()))

    private companion object {
        val RETRY_AFTER = 1.seconds
    }
}
