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

/** Serves the requests of users about jobs at this controller, without forwarding them. */
internal class JobEndpoint(
    private val jobService: JobService,
    private val features: FeatureSet,
    private val leader: LeaderQueries,
) {
    private val log = LoggerFactory.getLogger("elderhitch.app")

    suspend fun handle(request: Request): Response = when {
        request.path.startsWith(EXPLAIN_PATH) -> HttpServer.requireMethod("GET", request) {
            explain(request.path.removePrefix(EXPLAIN_PATH))
        }

        request.path.startsWith(RELEASE_PATH) -> HttpServer.requireMethod("POST", request) { release(request) }

        else -> handleJob(request)
    }

    private suspend fun handleJob(request: Request): Response {
        val rest = request.path.removePrefix(JOBS_PATH).removePrefix("/")
        return when {
            rest.isEmpty() -> HttpServer.requireMethod("POST", request) { submit(request) }

            rest.endsWith(CANCEL_SUFFIX) -> HttpServer.requireMethod("POST", request) {
                cancel(rest.removeSuffix(CANCEL_SUFFIX))
            }

            '/' in rest -> HttpServer.errorResponse(HttpStatus.NOT_FOUND, "no such path")

            else -> HttpServer.requireMethod("GET", request) { show(rest) }
        }
    }

    private suspend fun submit(request: Request): Response {
        val result = jobService.submit(request.body)
        when (result) {
            is JobResponse.Malformed -> logRefusal(request, result.reason)
            is JobResponse.NeverRuns -> logRefusal(request, result.reason)
            else -> Unit
        }
        return toResponse(result)
    }

    private fun logRefusal(request: Request, reason: String) {
        log.debug("submission refused from={} reason=\"{}\"", request.remoteAddress, printable(reason))
    }

    private suspend fun show(idText: String): Response {
        val id = JobId.parse(idText) ?: return toResponse(JobResponse.Unknown)
        return toResponse(jobService.show(id))
    }

    private suspend fun cancel(idText: String): Response {
        val id = JobId.parse(idText) ?: return toResponse(JobResponse.Unknown)
        return toResponse(jobService.cancel(id))
    }

    /** Explains why the job is in its state: lines of the features first, then of the leader or the terminal record. */
    private suspend fun explain(idText: String): Response {
        val id = JobId.parse(idText) ?: return toResponse(JobResponse.Unknown)
        val shown = jobService.show(id)
        if (shown !is JobResponse.State && shown != JobResponse.Unknown) return toResponse(shown)
        val featureLines = features.explain(id)
        if (shown !is JobResponse.State && featureLines.isEmpty()) return toResponse(JobResponse.Unknown)
        val otherLines = if (shown is JobResponse.State) explainWithoutFeatures(id) else emptyList()
        val status = (shown as? JobResponse.State)?.status?.phase?.wireName
        val body = linkedMapOf("id" to id.text, "standing" to status, "why" to featureLines + otherLines)
        return Response(HttpStatus.OK, Json.bytes(body))
    }

    private suspend fun explainWithoutFeatures(id: JobId): List<String> = when (val found = jobService.lookup(id)) {
        is JobLookup.Ended -> explainTerminated(found.record)

        is JobLookup.Open ->
            leader.explain(id) ?: listOf("no leader answers here; nothing new is started until one does")

        else -> emptyList()
    }

    private fun explainTerminated(record: TerminalRecord): List<String> {
        val account = record.account ?: return listOf("ended before accounts were kept")
        val atLeast = if (account.isLowerBound) " at least" else ""
        return listOf(
            "${record.state.wireName} at ${account.end}, ${record.done} tasks done",
            "started$atLeast ${account.attempts} times, of which ${account.lost} were lost;" +
                "$atLeast ${account.usefulSeconds} task-seconds useful, ${account.lostSeconds} lost",
        )
    }

    /** Releases a job that the rule of its class holds. The sender's address and the reason are logged. */
    private suspend fun release(request: Request): Response {
        val id = JobId.parse(request.path.removePrefix(RELEASE_PATH)) ?: return toResponse(JobResponse.Unknown)
        val reason = try {
            Json.parseObject(request.body).string("reason")
        } catch (e: MalformedJson) {
            return HttpServer.errorResponse(HttpStatus.BAD_REQUEST, e.message.orEmpty())
        }
        if (reason.isBlank() || reason.length > MAX_REASON_CHARS) {
            val message = "reason: empty or over $MAX_REASON_CHARS characters"
            return HttpServer.errorResponse(HttpStatus.BAD_REQUEST, message)
        }
        val released = jobService.release(id) { it.kind == HoldKind.ATTEMPTS }
        if (released is JobResponse.State) {
            log.info("job released job={} from={} reason=\"{}\"", id, request.remoteAddress, printable(reason))
        }
        if (released != JobResponse.Unknown) return toResponse(released)
        return HttpServer.errorResponse(HttpStatus.NOT_FOUND, "no such job held by a rule")
    }

    /** The text without characters that would end a quoted value or the line of the log. */
    private fun printable(text: String): String = text.filter { it >= ' ' && it != '"' }

    private fun toResponse(result: JobResponse): Response = when (result) {
        is JobResponse.Accepted -> {
            val status = if (result.isNew) HttpStatus.CREATED else HttpStatus.OK
            Response(status, JobCodec.encodeStatus(result.id, result.status))
        }

        is JobResponse.State -> Response(HttpStatus.OK, JobCodec.encodeStatus(result.id, result.status))

        is JobResponse.Malformed -> HttpServer.errorResponse(HttpStatus.BAD_REQUEST, result.reason)

        is JobResponse.NeverRuns -> HttpServer.errorResponse(HttpStatus.UNPROCESSABLE_CONTENT, result.reason)

        JobResponse.Unknown -> HttpServer.errorResponse(HttpStatus.NOT_FOUND, "no such job")

        is JobResponse.NotNow -> HttpServer.errorResponse(HttpStatus.SERVICE_UNAVAILABLE, result.reason, RETRY_AFTER)

        JobResponse.Full -> Response(HttpStatus.SERVICE_UNAVAILABLE, capacityRefusal, capacityRefusalHeaders)
    }

    internal companion object {
        private const val JOBS_PATH = "/work"
        private const val CANCEL_SUFFIX = "/withdraw"
        private const val EXPLAIN_PATH = "/explain/"
        private const val RELEASE_PATH = "/release/"
        private const val MAX_REASON_CHARS = 300

        /** Short because most causes pass within seconds, and another controller may be able to serve the request. */
        private val RETRY_AFTER = 1.seconds
        private val CAPACITY_RETRY_AFTER = 10.seconds
        private val capacityRefusal = Json.bytes(mapOf("error" to "as many jobs are open as the controllers can hold"))
        private val capacityRefusalHeaders =
            mapOf("Retry-After" to CAPACITY_RETRY_AFTER.inWholeSeconds.toString())

        /** Whether the path is that of all jobs, of one job, or of the cancellation of one. */
        fun isJobPath(path: String): Boolean = path == JOBS_PATH || path.startsWith("$JOBS_PATH/")

        /** Whether the path is that of an operator's request to explain or release a job. */
        fun isExplainOrRelease(path: String): Boolean = path.startsWith(EXPLAIN_PATH) || path.startsWith(RELEASE_PATH)

        /** Whether [response] rejects a submission because the controllers can't hold any more open jobs. */
        fun isCapacityRefusal(response: Response): Boolean = response.body === capacityRefusal
    }
}
