package org.elderhitch.app

import org.elderhitch.cluster.Cluster
import org.elderhitch.features.FeatureSet
import org.elderhitch.http.Handler
import org.elderhitch.http.HttpServer
import org.elderhitch.http.HttpStatus
import org.elderhitch.http.Request
import org.elderhitch.http.Response

/** Routes the requests of users, workers and health probes by their paths. */
internal class RequestRouter(
    private val heartbeats: HeartbeatEndpoint,
    private val jobs: JobEndpoint,
    private val probes: ProbeEndpoint,
    private val cluster: Cluster,
    private val reachesStateService: () -> Boolean,
    private val metrics: Metrics,
    private val features: FeatureSet,
) : Handler {
    override suspend fun handle(request: Request): Response {
        val path = request.path
        return when {
            path == HEARTBEAT_PATH -> HttpServer.requireMethod("POST", request) { heartbeats.handle(request) }

            path == READY_PATH -> HttpServer.requireMethod("GET", request) { probes.ready() }

            path == STATUS_PATH -> HttpServer.requireMethod("GET", request) { probes.status() }

            JobEndpoint.isJobPath(path) -> metrics.recordRequest(request) { handleJobRequest(request) }

            JobEndpoint.isExplainOrRelease(path) -> handleJobRequest(request)

            // Not forwarded to another controller: the clients of features know the addresses of all controllers.
            else -> features.forPath(path)?.handle(request)
                ?: HttpServer.errorResponse(HttpStatus.NOT_FOUND, "no such path")
        }
    }

    /** Forwards the request to another controller if this one can't serve it now. */
    private suspend fun handleJobRequest(request: Request): Response {
        if (!reachesStateService()) cluster.forward(request)?.let { return it }
        val response = jobs.handle(request)
        // All controllers have the same limit on open jobs, so another one would reject the submission too.
        if (response.status != HttpStatus.SERVICE_UNAVAILABLE || JobEndpoint.isCapacityRefusal(response)) {
            return response
        }
        return cluster.forward(request) ?: response
    }

    private companion object {
        const val HEARTBEAT_PATH = "/checkin"
        const val READY_PATH = "/ready"
        const val STATUS_PATH = "/status"
    }
}
