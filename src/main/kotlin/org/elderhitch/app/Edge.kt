package org.elderhitch.app

import kotlinx.coroutines.CompletableDeferred
import org.elderhitch.cluster.Cluster
import org.elderhitch.http.Handler
import org.elderhitch.http.HttpServer
import org.elderhitch.http.Request
import org.elderhitch.http.Response
import org.elderhitch.jobs.Answer
import org.elderhitch.jobs.JobCodec
import org.elderhitch.jobs.JobDesk
import org.elderhitch.jobs.JobId
import org.elderhitch.json.Json
import org.elderhitch.json.MalformedJson
import org.elderhitch.workers.Foreman
import org.elderhitch.workers.ForemanMessage
import org.elderhitch.workers.ReportAnswer
import org.elderhitch.workers.ReportCodec
import kotlin.time.Duration.Companion.seconds

/** The address of users, workers and the load balancer's probes: paths and statuses, and nothing else. */
public class Edge(
    private val desk: JobDesk,
    private val foreman: Foreman,
    private val cluster: Cluster,
    private val reachesState: () -> Boolean,
    private val ready: () -> Boolean,
    private val meters: Meters,
    private val status: () -> Map<String, Any?>,
) : Handler {
    override suspend fun handle(request: Request): Response = when {
        request.path == "/checkin" -> only("POST", request) { report(request) }
        request.path == "/ready" -> only("GET", request) {
            if (ready()) Response(OK, Json.bytes(mapOf("ready" to true))) else HttpServer.refusal(BUSY, "starting", RETRY)
        }
        request.path == "/status" -> only("GET", request) { Response(OK, Json.bytes(status())) }
        request.path == "/work" || request.path.startsWith("/work/") -> meters.timed(request) { user(request) }
        else -> HttpServer.refusal(NOT_FOUND, "no such path")
    }

    private suspend fun report(request: Request): Response {
        val report = try {
            ReportCodec.decode(request.body)
        } catch (e: MalformedJson) {
            return HttpServer.refusal(BAD, e.message.orEmpty())
        }
        val reply = CompletableDeferred<ReportAnswer>()
        foreman.tell(ForemanMessage.ReportIn(report, reply))
        return when (val answer = reply.await()) {
            is ReportAnswer.Accepted -> Response(OK, ReportCodec.encode(answer.term, answer.commands))
            is ReportAnswer.Elsewhere -> answer.leader?.takeIf(cluster::hears)?.let { Response(MISDIRECTED, Json.bytes(mapOf("auctioneer" to it.text))) }
                ?: HttpServer.refusal(BUSY, "no leader known here", RETRY)
        }
    }

    private suspend fun user(request: Request): Response {
        if (!reachesState()) cluster.forward(request)?.let { return it }
        val response = serveHere(request)
        return if (response.status == BUSY) cluster.forward(request) ?: response else response
    }

    /** Answers without asking another controller. */
    public suspend fun serveHere(request: Request): Response {
        val rest = request.path.removePrefix("/work").removePrefix("/")
        return when {
            rest.isEmpty() -> only("POST", request) { answer(desk.submit(request.body)) }
            rest.endsWith(WITHDRAW) -> only("POST", request) {
                val id = JobId.parse(rest.removeSuffix(WITHDRAW))
                answer(if (id == null) Answer.Unknown else desk.withdraw(id))
            }
            '/' in rest -> HttpServer.refusal(NOT_FOUND, "no such path")
            else -> only("GET", request) {
                val id = JobId.parse(rest)
                answer(if (id == null) Answer.Unknown else desk.show(id))
            }
        }
    }

    private fun answer(answer: Answer): Response = when (answer) {
        is Answer.Accepted -> Response(if (answer.isNew) CREATED else OK, JobCodec.standing(answer.id, answer.standing))
        is Answer.State -> Response(OK, JobCodec.standing(answer.id, answer.standing))
        is Answer.Malformed -> HttpServer.refusal(BAD, answer.reason)
        is Answer.NeverRuns -> HttpServer.refusal(UNPROCESSABLE, answer.reason)
        Answer.Unknown -> HttpServer.refusal(NOT_FOUND, "no such job")
        is Answer.NotNow -> HttpServer.refusal(BUSY, answer.reason, RETRY)
    }

    private suspend fun only(method: String, request: Request, serve: suspend () -> Response): Response =
        if (request.method == method) {
            serve()
        } else {
            val refused = HttpServer.refusal(WRONG_METHOD, "only $method")
            Response(refused.status, refused.body, mapOf("Allow" to method))
        }

    private companion object {
        const val OK = 200
        const val CREATED = 201
        const val BAD = 400
        const val NOT_FOUND = 404
        const val WRONG_METHOD = 405
        const val MISDIRECTED = 421
        const val UNPROCESSABLE = 422
        const val BUSY = 503
        const val WITHDRAW = "/withdraw"

        // What keeps a node from answering is mostly over within seconds, and the next node may do better at once.
        val RETRY = 1.seconds
    }
}
