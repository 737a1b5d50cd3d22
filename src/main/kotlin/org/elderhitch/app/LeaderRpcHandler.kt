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
 * The leader's side of [LeaderQueries]: answers the requests of other controllers, whose paths are those of
 * [LeaderRpc]. A controller that doesn't lead answers 503.
 */
public class LeaderRpcHandler(private val queries: LeaderQueries) : Handler {
    private class JobQuery(val id: JobId, val body: JsonObject)

    override suspend fun handle(request: Request): Response {
        if (!queries.isLeader()) return HttpServer.refusal(HttpStatus.SERVICE_UNAVAILABLE, "not the leader")
        if (request.path == LeaderRpc.FAULTY_JOBS) return faultyJobs()
        val query = try {
            jobQuery(request)
        } catch (e: MalformedJson) {
            return HttpServer.refusal(HttpStatus.BAD_REQUEST, e.message.orEmpty())
        }
        return when (request.path) {
            LeaderRpc.ACCOUNT -> ok(mapOf(LeaderRpc.JOB_ACCOUNT to queries.account(query.id)?.encode()))
            LeaderRpc.EXPLAIN -> ok(mapOf(LeaderRpc.LINES to queries.explain(query.id).orEmpty()))
            LeaderRpc.HOLD -> hold(query)
            else -> HttpServer.refusal(HttpStatus.BAD_REQUEST, "no such question")
        }
    }

    private fun jobQuery(request: Request): JobQuery {
        val body = Json.parseObject(request.body)
        val id = JobId.parse(body.string(LeaderRpc.ID)) ?: throw MalformedJson("id: no job's")
        return JobQuery(id, body)
    }

    private suspend fun faultyJobs(): Response {
        val jobs = queries.faultyJobs().orEmpty().take(MAX_FAULTY_JOBS)
        return ok(mapOf(LeaderRpc.JOBS to jobs.map { it.text }))
    }

    private suspend fun hold(query: JobQuery): Response {
        val kindName = query.body.stringOrNull(LeaderRpc.KIND)
        val kind = HoldKind.entries.firstOrNull { it.name == kindName }
            ?: return HttpServer.refusal(HttpStatus.BAD_REQUEST, "kind: unknown")
        val reason = query.body.stringOrNull(LeaderRpc.REASON).orEmpty()
        return ok(LeaderRpc.encode(queries.hold(query.id, kind, reason)))
    }

    private fun ok(answer: Map<String, Any?>) = Response(HttpStatus.OK, Json.bytes(answer))

    private companion object {
        /** Bounds the answer when very many jobs are faulty. */
        const val MAX_FAULTY_JOBS = 1000
    }
}
