package org.elderhitch.app

import org.elderhitch.http.Handler
import org.elderhitch.http.HttpServer
import org.elderhitch.http.HttpStatus
import org.elderhitch.http.Request
import org.elderhitch.http.Response
import org.elderhitch.jobs.HoldKind
import org.elderhitch.jobs.JobId
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson

/**
 * The server side of [LeaderQueries]: serves the paths of [LeaderRpc] to other controllers. A controller that isn't the
 * leader responds with 503.
 */
public class LeaderRpcHandler(private val queries: LeaderQueries) : Handler {
    private class JobQuery(val id: JobId, val body: JsonObject)

    override suspend fun handle(request: Request): Response {
        if (!queries.isLeader()) return HttpServer.errorResponse(HttpStatus.SERVICE_UNAVAILABLE, "not the leader")
        if (request.path == LeaderRpc.FAULTY_JOBS_PATH) return faultyJobs()
        val query = try {
            jobQuery(request)
        } catch (e: MalformedJson) {
            return HttpServer.errorResponse(HttpStatus.BAD_REQUEST, e.message.orEmpty())
        }
        return when (request.path) {
            LeaderRpc.ACCOUNT_PATH -> ok(mapOf(LeaderRpc.ACCOUNT_FIELD to queries.account(query.id)?.encode()))
            LeaderRpc.EXPLAIN_PATH -> ok(mapOf(LeaderRpc.LINES_FIELD to queries.explain(query.id).orEmpty()))
            LeaderRpc.HOLD_PATH -> hold(query)
            else -> HttpServer.errorResponse(HttpStatus.BAD_REQUEST, "unknown request")
        }
    }

    private fun jobQuery(request: Request): JobQuery {
        val body = Json.parseObject(request.body)
        val id = JobId.parse(body.string(LeaderRpc.ID_FIELD)) ?: throw MalformedJson("id: not a job id")
        return JobQuery(id, body)
    }

    private suspend fun faultyJobs(): Response {
        val jobs = queries.faultyJobs().orEmpty().take(MAX_FAULTY_JOBS)
        return ok(mapOf(LeaderRpc.JOBS_FIELD to jobs.map { it.text }))
    }

    private suspend fun hold(query: JobQuery): Response {
        val kindName = query.body.stringOrNull(LeaderRpc.KIND_FIELD)
        val kind = HoldKind.entries.firstOrNull { it.name == kindName }
            ?: return HttpServer.errorResponse(HttpStatus.BAD_REQUEST, "kind: unknown")
        val reason = query.body.stringOrNull(LeaderRpc.REASON_FIELD).orEmpty()
        return ok(LeaderRpc.encode(queries.hold(query.id, kind, reason)))
    }

    private fun ok(body: Map<String, Any?>) = Response(HttpStatus.OK, Json.bytes(body))

    private companion object {
        /** Bounds the size of the response. */
        const val MAX_FAULTY_JOBS = 1000
    }
}
