package org.elderhitch.app

import org.elderhitch.features.FeatureSet
import org.elderhitch.http.HttpServer
import org.elderhitch.http.HttpStatus
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
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.seconds

/** Answers the requests of users about jobs at this controller, without forwarding them. */
internal class JobEndpoint(
    private val jobService: JobService,
    private val features: FeatureSet,
    private val leader: LeaderQueries,
) {
    private val log = LoggerFactory.getLogger("elderhitch.app")

    suspend fun handle(request: Request): Response = when {
        request.path.startsWith(EXPLAIN) -> HttpServer.only("GET", request) {
            explain(request.path.removePrefix(EXPLAIN))
        }

        request.path.startsWith(RELEASE) -> HttpServer.only("POST", request) { release(request) }

        else -> handleJob(request)
    }

    private suspend fun handleJob(request: Request): Response {
        val rest = request.path.removePrefix(JOBS).removePrefix("/")
        return when {
            rest.isEmpty() -> HttpServer.only("POST", request) { response(jobService.submit(request.body)) }

            rest.endsWith(CANCEL) -> HttpServer.only("POST", request) { cancel(rest.removeSuffix(CANCEL)) }

            '/' in rest -> HttpServer.refusal(HttpStatus.NOT_FOUND, "no such path")

            else -> HttpServer.only("GET", request) { show(rest) }
        }
    }

    private suspend fun show(idText: String): Response {
        val id = JobId.parse(idText) ?: return response(JobResponse.Unknown)
        return response(jobService.show(id))
    }

    private suspend fun cancel(idText: String): Response {
        val id = JobId.parse(idText) ?: return response(JobResponse.Unknown)
        return response(jobService.cancel(id))
    }

    /** Why the job is in its state: the lines of the features first, then the leader's or the terminal record's. */
    private suspend fun explain(idText: String): Response {
        val id = JobId.parse(idText) ?: return response(JobResponse.Unknown)
        val shown = jobService.show(id)
        if (shown !is JobResponse.State && shown != JobResponse.Unknown) return response(shown)
        val featureLines = features.explain(id)
        if (shown !is JobResponse.State && featureLines.isEmpty()) return response(JobResponse.Unknown)
        val coreLines = if (shown is JobResponse.State) explainByCore(id) else emptyList()
        val status = (shown as? JobResponse.State)?.status?.phase?.wireName
        val body = linkedMapOf("id" to id.text, "standing" to status, "why" to featureLines + coreLines)
        return Response(HttpStatus.OK, Json.bytes(body))
    }

    private suspend fun explainByCore(id: JobId): List<String> = when (val found = jobService.lookup(id)) {
        is JobLookup.Ended -> explainTerminated(found.record)

        is JobLookup.Open ->
            leader.explain(id) ?: listOf("no leader answers here; nothing new is started until one does")

        else -> emptyList()
    }

    private fun explainTerminated(record: TerminalRecord): List<String> {
        val account = record.account ?: return listOf("ended before accounts were kept")
        val atLeast = if (account.lowerBound) " at least" else ""
        return listOf(
            "${record.state.wireName} at ${account.end}, ${record.done} tasks done",
            "started$atLeast ${account.attempts} times, of which ${account.lost} were lost;" +
                "$atLeast ${account.usefulSeconds} task-seconds useful, ${account.lostSeconds} lost",
        )
    }

    /** Releases a job that the rule of its class holds. The log keeps who did it and why. */
    private suspend fun release(request: Request): Response {
        val id = JobId.parse(request.path.removePrefix(RELEASE)) ?: return response(JobResponse.Unknown)
        val reason = try {
            Json.parseObject(request.body).string("reason")
        } catch (e: MalformedJson) {
            return HttpServer.refusal(HttpStatus.BAD_REQUEST, e.message.orEmpty())
        }
        if (reason.isBlank() || reason.length > MAX_REASON_LENGTH) {
            val message = "reason: empty or over $MAX_REASON_LENGTH characters"
            return HttpServer.refusal(HttpStatus.BAD_REQUEST, message)
        }
        val released = jobService.release(id) { it.kind == HoldKind.ATTEMPTS }
        if (released is JobResponse.State) {
            val printable = reason.filter { it >= ' ' && it != '"' }
            log.info("job released job={} from={} reason=\"{}\"", id, request.from, printable)
        }
        if (released != JobResponse.Unknown) return response(released)
        return HttpServer.refusal(HttpStatus.NOT_FOUND, "no such job held by a rule")
    }

    private fun response(result: JobResponse): Response = when (result) {
        is JobResponse.Accepted -> {
            val status = if (result.isNew) HttpStatus.CREATED else HttpStatus.OK
            Response(status, JobCodec.encodeStatus(result.id, result.status))
        }

        is JobResponse.State -> Response(HttpStatus.OK, JobCodec.encodeStatus(result.id, result.status))

        is JobResponse.Malformed -> HttpServer.refusal(HttpStatus.BAD_REQUEST, result.reason)

        is JobResponse.NeverRuns -> HttpServer.refusal(HttpStatus.UNPROCESSABLE_CONTENT, result.reason)

        JobResponse.Unknown -> HttpServer.refusal(HttpStatus.NOT_FOUND, "no such job")

        is JobResponse.NotNow -> HttpServer.refusal(HttpStatus.SERVICE_UNAVAILABLE, result.reason, RETRY_AFTER)

        JobResponse.Full -> Response(HttpStatus.SERVICE_UNAVAILABLE, capacityRefusal, capacityRefusalHeaders)
    }

    internal companion object {
        private const val JOBS = "/work"
        private const val CANCEL = "/withdraw"
        private const val EXPLAIN = "/explain/"
        private const val RELEASE = "/release/"
        private const val MAX_REASON_LENGTH = 300

        /** Short: most causes are over within seconds, and another controller may be able to answer at once. */
        private val RETRY_AFTER = 1.seconds
        private val CAPACITY_RETRY_AFTER = 10.seconds
        private val capacityRefusal = Json.bytes(mapOf("error" to "as many jobs are open as the controllers can hold"))
        private val capacityRefusalHeaders =
            mapOf("Retry-After" to CAPACITY_RETRY_AFTER.inWholeSeconds.toString())

        /** Whether the path names jobs: all of them, one, or the cancellation of one. */
        fun isJobPath(path: String): Boolean = path == JOBS || path.startsWith("$JOBS/")

        /** Whether the path is one of the operators' requests about a job. */
        fun isExplainOrRelease(path: String): Boolean = path.startsWith(EXPLAIN) || path.startsWith(RELEASE)

        /** Whether a submission was refused because the controllers can hold no more open jobs. */
        fun isCapacityRefusal(response: Response): Boolean = response.body === capacityRefusal
    }
}
