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
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Serves DRMAA clients: sessions, their jobs and their results, on any node, through the same core as native users. */
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
        Waits(sessionRegistry, reaper, context::sync, context.clock, mostWaits(context.settings.maxSockets))
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
    private var refused = 0L

    override fun start() {
        sessionRegistry.start()
        context.metrics.gauge("drmaa.waits") { waits.held }
        context.metrics.gauge("drmaa.sessions") { sessionRegistry.open }
    }

    override fun onSnapshot(entries: List<Entry>) = sessionRegistry.tell(BookMessage.Snapshot(entries))

    override fun onChanges(changes: List<Change>) {
        sessionRegistry.tell(BookMessage.Changed(changes))
        housekeeping.changed(changes)
    }

    override fun onTermStarted(leadership: LeadershipState.Leader) = housekeeping.begin(leadership)

    override fun onTermEnded() = housekeeping.end()

    override fun retainsCompletions(job: JobId): Boolean = JobName.parse(job)?.members != null

    override fun status(): Map<String, Any?> = linkedMapOf(
        "sessions" to sessionRegistry.open,
        "sessions_here" to sessionRegistry.inUse,
        "waits" to waits.held,
        "most_waits" to waits.most,
        "refused" to refused,
        "results_let_go" to housekeeping.letGo,
    )

    override suspend fun explain(job: JobId): List<String>? {
        val name = JobName.parse(job) ?: return null
        val held = sessionRegistry.look(name.session) { it.held(name) } ?: return null
        val until = held.startAt?.let { "; it starts at $it" }.orEmpty()
        return listOf(
            (if (held.byUser) "held by its user since ${held.since}, " else "") + "not submitted yet$until",
        )
    }

    override suspend fun handle(request: Request): Response = try {
        when {
            request.method != "POST" -> HttpServer.refusal(WRONG_METHOD, "only POST")

            !settings.networks.allow(
                request.from,
            ) -> throw Refused(Fault.AuthorizationException, "not from this network")

            else -> answer(request.path.removePrefix("/$name/"), Json.parseObject(request.body))
        }
    } catch (e: Refused) {
        refusal(e.fault.status, e.fault, e.reason)
    } catch (e: BadToken) {
        refusal(UNAUTHORIZED, Fault.AuthorizationException, e.message.orEmpty())
    } catch (e: MalformedJson) {
        refusal(BAD, Fault.InvalidArgumentException, e.message.orEmpty())
    }

    private fun refusal(status: Int, fault: Fault, reason: String): Response {
        refused++
        if (log.isDebugEnabled) log.debug("drmaa refused status={} fault={} reason=\"{}\"", status, fault, reason)
        val headers = if (status == BUSY) {
            mapOf(
                "Retry-After" to (
                    if (fault == Fault.TryLaterException) {
                        LATER
                    } else {
                        SOON
                    }
                    ).inWholeSeconds.toString(),
            )
        } else {
            emptyMap()
        }
        return Response(status, Json.bytes(linkedMapOf("exception" to fault.name, "error" to reason)), headers)
    }

    private suspend fun answer(path: String, body: JsonObject): Response {
        val claim = settings.tokens.verify(body.string("token"), context.wallClock.now())
        if (claim.team !in context.settings.teams) {
            throw Refused(Fault.AuthorizationException, "the token's team is unknown here")
        }
        if (path == "open") return open(claim, body)
        if (claim !is Claim.InSession) throw Refused(Fault.NoActiveSessionException, "a session's token is needed")
        val record = sessionRegistry.look(claim.session) { it.record } ?: unseen(claim)
        if (record.team != claim.team) throw Refused(Fault.AuthorizationException, "the session is another team's")
        if (sessions.isUnmarked(record)) context.scope.launch { sessions.touch(claim.session, record) }
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
                throw Refused(Fault.DrmCommunicationException, "the state service takes no record now")
            }

            "run" -> run(claim, body)

            "control" -> control(claim, body)

            "wait" -> wait(claim, body)

            "sync" -> synchronize(claim, body)

            "status" -> status(claim, body)

            else -> HttpServer.refusal(NOT_FOUND, "no such path")
        }
    }

    /**
     * Opened on another node a moment ago, perhaps: only after all is known that was recorded by now is it surely not
     * open.
     */
    private suspend fun unseen(claim: Claim.InSession): SessionRecord {
        if (!context.sync()) throw Refused(Fault.DrmCommunicationException, "the state service doesn't answer")
        return sessionRegistry.look(claim.session) { it.record }
            ?: throw Refused(Fault.NoActiveSessionException, "the session was closed, or was not used for too long")
    }

    private suspend fun open(claim: Claim, body: JsonObject): Response {
        val session = when (claim) {
            is Claim.InSession -> claim.session.also { unseen(claim) }

            is Claim.Grant -> {
                val nonce = body.string("nonce")
                if (nonce.length !in SHORTEST_NONCE..LONGEST_NONCE) {
                    throw MalformedJson("nonce: not $SHORTEST_NONCE to $LONGEST_NONCE characters")
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
            "hold_ms" to Waits.LONGEST_HOLD.inWholeMilliseconds,
            "categories" to settings.categories.keys.sorted(),
        )
    }

    private suspend fun run(claim: Claim.InSession, body: JsonObject): Response {
        if (!loader.load(
                claim.session,
            )
        ) {
            throw Refused(Fault.DrmCommunicationException, "the state service doesn't answer")
        }
        val request = request(body)
        val bulk = body.objectOrNull("bulk")?.let { Bulk.of(it.long("start"), it.long("end"), it.long("step")) }
        val job = JobName(claim.session, request.tag, request.number, bulk?.members)
        submissions.submit(job, templates.check(job, claim.team, body.obj("template"), bulk, context.wallClock.now()))
        return ok("job" to job.toString(), "members" to bulk?.members)
    }

    private suspend fun control(claim: Claim.InSession, body: JsonObject): Response {
        val action =
            Action.entries.firstOrNull { it.name == body.string("action") } ?: throw MalformedJson("action: unknown")
        val text = body.string("job")
        if (text == ALL) {
            val upTo = upTo(body) ?: control.upTo(claim.session)
            val progress = control.all(claim.session, action, upTo)
            return ok(
                "done" to progress.done,
                "left" to progress.left,
                "refused" to progress.refused,
                "upto" to upTo.mapKeys { it.key.text },
            )
        }
        val result = result(claim, text, bulkToo = true)
        if (result.member != null) {
            throw Refused(
                Fault.DeniedByDrmException,
                "$text: the members of a bulk job go together; name ${result.job}",
            )
        }
        control.one(result.job, action)
        return ok("done" to 1)
    }

    private suspend fun wait(claim: Claim.InSession, body: JsonObject): Response {
        if (!loader.load(
                claim.session,
            )
        ) {
            throw Refused(Fault.DrmCommunicationException, "the state service doesn't answer")
        }
        val text = body.string("job")
        val answer = if (text == ANY) {
            waits.any(claim.session, request(body), hold(body))
        } else {
            waits.one(result(claim, text), request(body), hold(body))
        }
        return answer(answer)
    }

    private suspend fun synchronize(claim: Claim.InSession, body: JsonObject): Response {
        if (!loader.load(
                claim.session,
            )
        ) {
            throw Refused(Fault.DrmCommunicationException, "the state service doesn't answer")
        }
        val jobs = body.stringsOrNull("jobs") ?: throw MalformedJson("jobs: missing")
        val names = if (jobs == listOf(ALL)) null else jobs.map { result(claim, it) }.distinct()
        val dispose = body.booleanOrNull("dispose") ?: false
        return answer(waits.all(claim.session, names, upTo(body), request(body), dispose, hold(body)))
    }

    private suspend fun status(claim: Claim.InSession, body: JsonObject): Response {
        if (!loader.load(
                claim.session,
            )
        ) {
            throw Refused(Fault.DrmCommunicationException, "the state service doesn't answer")
        }
        val status = control.status(result(claim, body.string("job"), bulkToo = true))
        return ok("status" to status.code, "name" to status.name)
    }

    private fun answer(answer: WaitAnswer): Response = when (answer) {
        is WaitAnswer.Ended -> ok(
            "job" to answer.result.name.toString(),
            "done" to answer.result.done,
            "tasks" to answer.result.record?.done,
            "account" to answer.result.record?.account?.encode(),
        )

        WaitAnswer.AllEnded -> ok("ended" to true)

        is WaitAnswer.NotYet -> ok("waiting" to true, "upto" to answer.upTo.mapKeys { it.key.text })

        is WaitAnswer.NotNow -> throw Refused(Fault.DrmCommunicationException, answer.reason)
    }

    /** [bulkToo]: whether a bulk job may be named as a whole. */
    private fun result(claim: Claim.InSession, text: String, bulkToo: Boolean = false): ResultName {
        val whole = JobId.parse(text)?.let(JobName::parse)?.takeIf { bulkToo && it.members != null }
        val result = whole?.let { ResultName(it, null) } ?: ResultName.parse(text)
        if (result == null || result.job.session != claim.session) {
            throw Refused(Fault.InvalidJobException, "\"${text.take(SHOWN)}\" is no job of this session")
        }
        return result
    }

    private fun request(body: JsonObject): RequestId =
        RequestId.parse(body.string("request")) ?: throw MalformedJson("request: not a client's tag and a number")

    private fun hold(body: JsonObject) = (body.longOrNull("holdMs") ?: 0).also {
        if (it < 0) {
            throw MalformedJson("holdMs: below 0")
        }
    }
        .milliseconds.coerceAtMost(Waits.LONGEST_HOLD)

    private fun upTo(body: JsonObject): Map<ClientTag, Int>? = body.objectOrNull("upto")?.let { said ->
        said.names.associate {
            (ClientTag.parse(it) ?: throw MalformedJson("upto: no client's tag")) to
                said.long(it).toInt()
        }
    }

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
        const val BAD = 400
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404
        const val WRONG_METHOD = 405
        const val BUSY = 503
        const val SHORTEST_NONCE = 12
        const val LONGEST_NONCE = 64
        const val SHOWN = 80
        const val ALL = "DRMAA_JOB_IDS_SESSION_ALL"
        const val ANY = "DRMAA_JOB_IDS_SESSION_ANY"

        /**
         * A node out of sockets may be so for a while; one that misses the state service is mostly back within a
         * second.
         */
        val LATER = 3.seconds
        val SOON = 1.seconds

        /** Of a node's sockets, workers and native users come first. */
        const val WAITS_SHARE = 4
        const val LEAST_WAITS = 4

        fun mostWaits(maxSockets: Int): Int = maxOf(maxSockets / WAITS_SHARE, LEAST_WAITS)
    }
}
