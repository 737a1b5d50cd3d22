package org.elderhitch.drmaa

import kotlinx.coroutines.launch
import org.elderhitch.features.Feature
import org.elderhitch.features.FeatureContext
import org.elderhitch.http.HttpServer
import org.elderhitch.http.Request
import org.elderhitch.http.Response
import org.elderhitch.jobs.JobId
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.store.Change
import org.elderhitch.store.Entry
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The HTTP interface for DRMAA clients: sessions, their jobs and their results. Every node serves it, and jobs take the
 * same path through the scheduler as those of the native API.
 */
public class Drmaa(private val settings: DrmaaSettings, private val context: FeatureContext) : Feature {
    override val name: String get() = "drmaa"

    private val log = LoggerFactory.getLogger("elderhitch.drmaa")
    private val sessionRegistry = SessionRegistry(context.scope)
    private val limits = context.settings.stateLimits
    private val reaper = Reaper(sessionRegistry, context.client, context.jobService)
    private val loader = SessionLoader(sessionRegistry, context.client)
    private val sessions = Sessions(sessionRegistry, context.client, context.wallClock, settings)
    private val submissions =
        Submissions(
            sessionRegistry,
            context.client,
            context.jobService,
            context.wallClock,
            settings,
            limits.valueBytes,
            context::sync,
        )
    private val waits =
        Waits(sessionRegistry, reaper, context::sync, context.clock, maxWaits(context.settings.maxSockets))
    private val control =
        JobControl(sessionRegistry, context.jobService, submissions, context::sync, context::hold, context.clock)
    private val housekeeping =
        Housekeeping(
            context,
            sessionRegistry,
            sessions,
            submissions,
            loader,
            reaper,
            settings,
            limits.txnOps,
        )
    private val templates = TemplateCheck(settings.categories)
    private var refusedCount = 0L

    override fun start() {
        sessionRegistry.start()
        context.metrics.gauge("drmaa.waits") { waits.activeCount }
        context.metrics.gauge("drmaa.sessions") { sessionRegistry.open }
    }

    override fun onSnapshot(entries: List<Entry>) = sessionRegistry.tell(RegistryMessage.Snapshot(entries))

    override fun onChanges(changes: List<Change>) {
        sessionRegistry.tell(RegistryMessage.Changed(changes))
        housekeeping.onChanges(changes)
    }

    override fun onTermStarted(leadership: LeadershipState.Leader) = housekeeping.start(leadership)

    override fun onTermEnded() = housekeeping.stop()

    override fun retainsCompletions(job: JobId): Boolean = JobName.parse(job)?.members != null

    override fun status(): Map<String, Any?> = linkedMapOf(
        "sessions" to sessionRegistry.open,
        "sessions_here" to sessionRegistry.loadedCount,
        "waits" to waits.activeCount,
        "most_waits" to waits.maxCount,
        "refused" to refusedCount,
        "results_let_go" to housekeeping.expiredResults,
    )

    override suspend fun explain(job: JobId): List<String>? {
        val name = JobName.parse(job) ?: return null
        val held = sessionRegistry.query(name.session) { it.held(name) } ?: return null
        val until = held.startAt?.let { "; it starts at $it" }.orEmpty()
        return listOf(
            (if (held.byUser) "held by its user since ${held.since}, " else "") + "not submitted yet$until",
        )
    }

    override suspend fun handle(request: Request): Response = try {
        when {
            request.method != "POST" -> HttpServer.errorResponse(METHOD_NOT_ALLOWED, "only POST")

            !settings.networks.allow(
                request.remoteAddress,
            ) -> throw Refused(Fault.AuthorizationException, "requests from this network are not allowed")

            else -> dispatch(request.path.removePrefix("/$name/"), Json.parseObject(request.body))
        }
    } catch (e: Refused) {
        refusal(e.fault.status, e.fault, e.reason)
    } catch (e: BadToken) {
        refusal(UNAUTHORIZED, Fault.AuthorizationException, e.message.orEmpty())
    } catch (e: MalformedJson) {
        refusal(BAD_REQUEST, Fault.InvalidArgumentException, e.message.orEmpty())
    }

    private fun refusal(status: Int, fault: Fault, reason: String): Response {
        refusedCount++
        if (log.isDebugEnabled) log.debug("drmaa refused status={} fault={} reason=\"{}\"", status, fault, reason)
        val headers = if (status == SERVICE_UNAVAILABLE) {
            mapOf(
                "Retry-After" to (
                    if (fault == Fault.TryLaterException) {
                        OVERLOADED_RETRY_AFTER
                    } else {
                        UNAVAILABLE_RETRY_AFTER
                    }
                    ).inWholeSeconds.toString(),
            )
        } else {
            emptyMap()
        }
        return Response(status, Json.bytes(linkedMapOf("exception" to fault.name, "error" to reason)), headers)
    }

    private suspend fun dispatch(path: String, body: JsonObject): Response {
        val claim = settings.tokens.verify(body.string("token"), context.wallClock.now())
        if (claim.team !in context.settings.teams) {
            throw Refused(Fault.AuthorizationException, "the token's team is not configured on this controller")
        }
        if (path == "open") return open(claim, body)
        if (claim !is Claim.InSession) throw Refused(Fault.NoActiveSessionException, "a session token is required")
        val record = sessionRegistry.query(claim.session) { it.record } ?: recordAfterSync(claim)
        if (record.team != claim.team) throw Refused(Fault.AuthorizationException, "session of another team")
        if (sessions.isTouchDue(record)) context.scope.launch { sessions.touch(claim.session, record) }
        return when (path) {
            "close" -> if (sessions.close(
                    claim.session,
                    "exit",
                )
            ) {
                ok(
                    "closed" to true,
                )
            } else {
                throw Refused(Fault.DrmCommunicationException, "the change can't be recorded at the moment")
            }

            "run" -> run(claim, body)

            "control" -> control(claim, body)

            "wait" -> wait(claim, body)

            "sync" -> sync(claim, body)

            "status" -> status(claim, body)

            else -> HttpServer.errorResponse(NOT_FOUND, "no such path")
        }
    }

    /**
     * Looks the session up again after synchronizing with the state service: it may just have been opened on another
     * node, and only an up-to-date view can tell that it is not open.
     */
    private suspend fun recordAfterSync(claim: Claim.InSession): SessionRecord {
        if (!context.sync()) throw Refused(Fault.DrmCommunicationException, "the state service doesn't answer")
        return sessionRegistry.query(claim.session) { it.record }
            ?: throw Refused(Fault.NoActiveSessionException, "the session was closed or has expired")
    }

    private suspend fun open(claim: Claim, body: JsonObject): Response {
        val session = when (claim) {
            is Claim.InSession -> claim.session.also { recordAfterSync(claim) }

            is Claim.Grant -> {
                val nonce = body.string("nonce")
                if (nonce.length !in MIN_NONCE_LENGTH..MAX_NONCE_LENGTH) {
                    throw MalformedJson("nonce: not $MIN_NONCE_LENGTH to $MAX_NONCE_LENGTH characters")
                }
                if (!context.sync()) throw Refused(Fault.DrmCommunicationException, "the state service doesn't answer")
                settings.tokens.sessionFor(claim.team, nonce).also { sessions.open(it, claim.team) }
            }
        }
        return ok(
            "session" to session.text,
            "token" to settings.tokens.issue(Claim.InSession(claim.team, session)),
            "owner" to (claim is Claim.Grant),
            "system" to "elderhitch",
            "hold_ms" to Waits.MAX_HOLD.inWholeMilliseconds,
            "categories" to settings.categories.keys.sorted(),
        )
    }

    private suspend fun requireLoaded(claim: Claim.InSession) {
        if (!loader.load(claim.session)) {
            throw Refused(Fault.DrmCommunicationException, "the state service doesn't answer")
        }
    }

    private suspend fun run(claim: Claim.InSession, body: JsonObject): Response {
        requireLoaded(claim)
        val request = requestId(body)
        val bulk = body.objectOrNull("bulk")?.let { Bulk.of(it.long("start"), it.long("end"), it.long("step")) }
        val job = JobName(claim.session, request.tag, request.number, bulk?.members)
        val template = body.requireObject("template")
        submissions.submit(job) { templates.check(job, claim.team, template, bulk, context.wallClock.now()) }
        return ok("job" to job.toString(), "members" to bulk?.members)
    }

    private suspend fun control(claim: Claim.InSession, body: JsonObject): Response {
        val action =
            Action.entries.firstOrNull { it.name == body.string("action") } ?: throw MalformedJson("action: unknown")
        val text = body.string("job")
        if (text == ALL_JOBS) {
            val upTo = upTo(body) ?: control.highestNumbers(claim.session)
            val progress = control.controlAll(claim.session, action, upTo)
            return ok(
                "done" to progress.done,
                "left" to progress.left,
                "refused" to progress.refused,
                "upto" to upTo.mapKeys { it.key.text },
            )
        }
        val result = resultName(claim, text, allowWholeBulk = true)
        if (result.member != null) {
            throw Refused(
                Fault.DeniedByDrmException,
                "$text: members of a bulk job can't be controlled one by one; use ${result.job}",
            )
        }
        control.control(result.job, action)
        return ok("done" to 1)
    }

    private suspend fun wait(claim: Claim.InSession, body: JsonObject): Response {
        requireLoaded(claim)
        val text = body.string("job")
        val answer = if (text == ANY_JOB) {
            waits.awaitAny(claim.session, requestId(body), holdDuration(body))
        } else {
            waits.awaitOne(resultName(claim, text), requestId(body), holdDuration(body))
        }
        return response(answer)
    }

    private suspend fun sync(claim: Claim.InSession, body: JsonObject): Response {
        requireLoaded(claim)
        val jobs = body.stringsOrNull("jobs") ?: throw MalformedJson("jobs: missing")
        val names = if (jobs == listOf(ALL_JOBS)) null else jobs.map { resultName(claim, it) }.distinct()
        val dispose = body.booleanOrNull("dispose") ?: false
        return response(waits.awaitAll(claim.session, names, upTo(body), requestId(body), dispose, holdDuration(body)))
    }

    private suspend fun status(claim: Claim.InSession, body: JsonObject): Response {
        requireLoaded(claim)
        val status = control.status(resultName(claim, body.string("job"), allowWholeBulk = true))
        return ok("status" to status.code, "name" to status.name)
    }

    private fun response(answer: WaitAnswer): Response = when (answer) {
        is WaitAnswer.Ended -> ok(
            "job" to answer.result.name.toString(),
            "done" to answer.result.isDone,
            "tasks" to answer.result.record?.done,
            "account" to answer.result.record?.account?.encode(),
        )

        WaitAnswer.AllEnded -> ok("ended" to true)

        is WaitAnswer.Pending -> ok("waiting" to true, "upto" to answer.upTo.mapKeys { it.key.text })

        is WaitAnswer.Unavailable -> throw Refused(Fault.DrmCommunicationException, answer.reason)
    }

    /** Parses the id of a job or a bulk job's member; with [allowWholeBulk] also that of a bulk job as a whole. */
    private fun resultName(claim: Claim.InSession, text: String, allowWholeBulk: Boolean = false): ResultName {
        val whole = JobId.parse(text)?.let(JobName::parse)?.takeIf { allowWholeBulk && it.members != null }
        val result = whole?.let { ResultName(it, null) } ?: ResultName.parse(text)
        if (result == null || result.job.session != claim.session) {
            throw Refused(Fault.InvalidJobException, "\"${text.take(MAX_QUOTED_LENGTH)}\" is not a job of this session")
        }
        return result
    }

    private fun requestId(body: JsonObject): RequestId =
        RequestId.parse(body.string("request")) ?: throw MalformedJson("request: must be a client tag and a number")

    private fun holdDuration(body: JsonObject): Duration {
        val holdMs = body.longOrNull("holdMs") ?: 0
        if (holdMs < 0) throw MalformedJson("holdMs: must not be negative")
        return holdMs.milliseconds.coerceAtMost(Waits.MAX_HOLD)
    }

    private fun upTo(body: JsonObject): Map<ClientTag, Int>? = body.objectOrNull("upto")?.let { numbers ->
        numbers.names.associate { clientTag(it) to numbers.long(it).toInt() }
    }

    private fun clientTag(text: String): ClientTag =
        ClientTag.parse(text) ?: throw MalformedJson("upto: not a client tag")

    private fun ok(vararg fields: Pair<String, Any?>) = Response(
        OK,
        Json.bytes(
            fields.toMap().filterValues {
                it != null
            },
        ),
    )

    private companion object {
        const val OK = 200
        const val BAD_REQUEST = 400
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404
        const val METHOD_NOT_ALLOWED = 405
        const val SERVICE_UNAVAILABLE = 503
        const val MIN_NONCE_LENGTH = 12
        const val MAX_NONCE_LENGTH = 64
        const val MAX_QUOTED_LENGTH = 80
        const val ALL_JOBS = "DRMAA_JOB_IDS_SESSION_ALL"
        const val ANY_JOB = "DRMAA_JOB_IDS_SESSION_ANY"

        /**
         * A node that has reached a limit may stay there for a while; a lost connection to the state service is usually
         * restored within a second.
         */
        val OVERLOADED_RETRY_AFTER = 3.seconds
        val UNAVAILABLE_RETRY_AFTER = 1.seconds

        /** At most one socket in so many serves a wait; the rest is for workers and the native API. */
        const val SOCKETS_PER_WAIT = 4
        const val MIN_WAITS = 4

        fun maxWaits(maxSockets: Int): Int = maxOf(maxSockets / SOCKETS_PER_WAIT, MIN_WAITS)
    }
}
