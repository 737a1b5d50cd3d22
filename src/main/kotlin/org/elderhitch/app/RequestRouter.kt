package org.elderhitch.app

import kotlinx.coroutines.CompletableDeferred
import org.elderhitch.cluster.Cluster
import org.elderhitch.features.FeatureSet
import org.elderhitch.heartbeat.HeartbeatCodec
import org.elderhitch.heartbeat.HeartbeatResponse
import org.elderhitch.http.Handler
import org.elderhitch.http.HttpServer
import org.elderhitch.http.Request
import org.elderhitch.http.Response
import org.elderhitch.jobs.HoldKind
import org.elderhitch.jobs.JobCodec
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobLookup
import org.elderhitch.jobs.JobResponse
import org.elderhitch.jobs.JobService
import org.elderhitch.jobs.TerminalRecord
import org.elderhitch.json.Json
import org.elderhitch.json.MalformedJson
import org.elderhitch.scheduler.SchedulerActor
import org.elderhitch.scheduler.SchedulerMessage
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.seconds

/** The address of users, workers and the load balancer's probes: paths and statuses, and nothing else. */
public class RequestRouter(
    private val jobService: JobService,
    private val scheduler: SchedulerActor,
    private val cluster: Cluster,
    private val reachesState: () -> Boolean,
    private val ready: () -> Boolean,
    private val metrics: Metrics,
    private val features: FeatureSet,
    private val leader: LeaderRpcHandler,
    private val status: () -> Map<String, Any?>,
) : Handler {
    private val log = LoggerFactory.getLogger("elderhitch.app")

    override suspend fun handle(request: Request): Response = when {
        request.path == "/checkin" -> HttpServer.only("POST", request) { report(request) }

        request.path == "/ready" -> HttpServer.only("GET", request) {
            if (ready()) {
                Response(
                    OK,
                    Json.bytes(mapOf("ready" to true)),
                )
            } else {
                HttpServer.refusal(BUSY, "starting", RETRY)
            }
        }

        request.path == "/status" -> HttpServer.only("GET", request) { Response(OK, Json.bytes(status())) }

        request.path == "/work" || request.path.startsWith("/work/") -> metrics.timed(request) { user(request) }

        request.path.startsWith(EXPLAIN) || request.path.startsWith(RELEASE) -> user(request)

        // Their clients know all nodes: what this one can't answer isn't handed on.
        else -> features.at(request.path)?.handle(request) ?: HttpServer.refusal(NOT_FOUND, "no such path")
    }

    private suspend fun report(request: Request): Response {
        val report = try {
            HeartbeatCodec.decode(request.body)
        } catch (e: MalformedJson) {
            return HttpServer.refusal(BAD, e.message.orEmpty())
        }
        val reply = CompletableDeferred<HeartbeatResponse>()
        scheduler.tell(SchedulerMessage.HeartbeatReceived(report, reply))
        return when (val answer = reply.await()) {
            is HeartbeatResponse.Accepted -> Response(OK, HeartbeatCodec.encode(answer.term, answer.commands))

            is HeartbeatResponse.Redirect -> answer.leader?.takeIf(cluster::hasRecentHeartbeat)?.let {
                Response(MISDIRECTED, Json.bytes(mapOf("auctioneer" to it.text)))
            }
                ?: HttpServer.refusal(BUSY, "no leader known here", RETRY)
        }
    }

    private suspend fun user(request: Request): Response {
        if (!reachesState()) cluster.forward(request)?.let { return it }
        val response = serveHere(request)
        // What is full here is full everywhere.
        return if (response.status == BUSY && response.body !== FULL) cluster.forward(request) ?: response else response
    }

    /** Answers without handing the request on to another controller. */
    public suspend fun serveHere(request: Request): Response = when {
        request.path.startsWith(EXPLAIN) -> HttpServer.only("GET", request) {
            explain(request.path.removePrefix(EXPLAIN))
        }

        request.path.startsWith(RELEASE) -> HttpServer.only("POST", request) { release(request) }

        else -> work(request)
    }

    private suspend fun explain(text: String): Response {
        val id = JobId.parse(text) ?: return answer(JobResponse.Unknown)
        val shown = jobService.show(id)
        if (shown !is JobResponse.State && shown != JobResponse.Unknown) return answer(shown)
        val said = features.explain(id)
        if (shown !is JobResponse.State && said.isEmpty()) return answer(JobResponse.Unknown)
        val lines = said + when (val known = if (shown is JobResponse.State) jobService.lookup(id) else null) {
            is JobLookup.Ended -> ended(known.record)

            is JobLookup.Open -> leader.explain(id)
                ?: listOf("no leader answers here; nothing new is started until one does")

            else -> emptyList()
        }
        val standing = (shown as? JobResponse.State)?.status?.phase?.wireName
        return Response(OK, Json.bytes(linkedMapOf("id" to id.text, "standing" to standing, "why" to lines)))
    }

    private fun ended(record: TerminalRecord): List<String> {
        val account = record.account ?: return listOf("ended before accounts were kept")
        val least = if (account.lowerBound) " at least" else ""
        return listOf(
            "${record.state.wireName} at ${account.end}, ${record.done} tasks done",
            "started$least ${account.attempts} times, of which ${account.lost} were lost;$least ${account.usefulSeconds} task-seconds useful, ${account.lostSeconds} lost",
        )
    }

    /** Lets a job go on that the rule of its class held. Who did it, and why, stands in the log. */
    private suspend fun release(request: Request): Response {
        val id = JobId.parse(request.path.removePrefix(RELEASE)) ?: return answer(JobResponse.Unknown)
        val reason = try {
            Json.parseObject(request.body).string("reason")
        } catch (e: MalformedJson) {
            return HttpServer.refusal(BAD, e.message.orEmpty())
        }
        if (reason.isBlank() ||
            reason.length > LONGEST_REASON
        ) {
            return HttpServer.refusal(BAD, "reason: empty or over $LONGEST_REASON characters")
        }
        val released = jobService.release(id) { it.kind == HoldKind.ATTEMPTS }
        if (released is JobResponse.State) {
            log.info(
                "job released job={} from={} reason=\"{}\"",
                id,
                request.from,
                reason.filter {
                    it >=
                        ' ' &&
                        it != '"'
                },
            )
        }
        return if (released ==
            JobResponse.Unknown
        ) {
            HttpServer.refusal(NOT_FOUND, "no such job held by a rule")
        } else {
            answer(released)
        }
    }

    private suspend fun work(request: Request): Response {
        val rest = request.path.removePrefix("/work").removePrefix("/")
        return when {
            rest.isEmpty() -> HttpServer.only("POST", request) { answer(jobService.submit(request.body)) }

            rest.endsWith(WITHDRAW) -> HttpServer.only("POST", request) {
                val id = JobId.parse(rest.removeSuffix(WITHDRAW))
                answer(if (id == null) JobResponse.Unknown else jobService.cancel(id))
            }

            '/' in rest -> HttpServer.refusal(NOT_FOUND, "no such path")

            else -> HttpServer.only("GET", request) {
                val id = JobId.parse(rest)
                answer(if (id == null) JobResponse.Unknown else jobService.show(id))
            }
        }
    }

    private fun answer(answer: JobResponse): Response = when (answer) {
        is JobResponse.Accepted -> Response(
            if (answer.isNew) CREATED else OK,
            JobCodec.encodeStatus(answer.id, answer.status),
        )
        is JobResponse.State -> Response(OK, JobCodec.encodeStatus(answer.id, answer.status))
        is JobResponse.Malformed -> HttpServer.refusal(BAD, answer.reason)
        is JobResponse.NeverRuns -> HttpServer.refusal(UNPROCESSABLE, answer.reason)
        JobResponse.Unknown -> HttpServer.refusal(NOT_FOUND, "no such job")
        is JobResponse.NotNow -> HttpServer.refusal(BUSY, answer.reason, RETRY)
        JobResponse.Full -> Response(BUSY, FULL, mapOf("Retry-After" to FULL_RETRY.inWholeSeconds.toString()))
    }

    private companion object {
        const val OK = 200
        const val CREATED = 201
        const val BAD = 400
        const val NOT_FOUND = 404
        const val MISDIRECTED = 421
        const val UNPROCESSABLE = 422
        const val BUSY = 503
        const val WITHDRAW = "/withdraw"
        const val EXPLAIN = "/explain/"
        const val RELEASE = "/release/"
        const val LONGEST_REASON = 300
        val FULL = Json.bytes(mapOf("error" to "as many jobs are open as the controllers can hold"))
        val FULL_RETRY = 10.seconds

        // What keeps a node from answering is mostly over within seconds, and the next node may do better at once.
        val RETRY = 1.seconds
    }
}
