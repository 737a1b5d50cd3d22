package org.elderhitch.drmaa.client

import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import org.ggf.drmaa.AlreadyActiveSessionException
import org.ggf.drmaa.DrmCommunicationException
import org.ggf.drmaa.DrmaaException
import org.ggf.drmaa.ExitTimeoutException
import org.ggf.drmaa.InvalidJobTemplateException
import org.ggf.drmaa.JobInfo
import org.ggf.drmaa.JobTemplate
import org.ggf.drmaa.NoActiveSessionException
import org.ggf.drmaa.NoDefaultContactStringException
import org.ggf.drmaa.Session
import org.ggf.drmaa.SessionFactory
import org.ggf.drmaa.TryLaterException
import org.ggf.drmaa.Version
import java.security.SecureRandom
import java.util.Collections
import java.util.IdentityHashMap
import java.util.concurrent.atomic.AtomicInteger

/** The default factory of [SessionFactory.getFactory]. */
public class ClientSessionFactory : SessionFactory() {
    private val clientSession: Session by lazy {
        ClientSession(HttpTransport(), SystemClientClock, System.getenv(CONTACT))
    }

    override fun getSession(): Session = clientSession

    private companion object {
        const val CONTACT = "ELDERHITCH_DRMAA_CONTACT"
    }
}

/** A DRMAA session served by the controllers over HTTP; thread-safe. */
internal class ClientSession(
    private val transport: Line,
    private val clock: ClientClock,
    private val defaultContact: String?,
    /** Returns a random string of letters and digits of the given length. */
    private val newTag: (Int) -> String = ::randomTag,
) : Session {
    private class ActiveSession(val contact: ContactString, val wire: Wire, val isOwner: Boolean, val tag: String) {
        val nextNumber = AtomicInteger()
        val templates: MutableSet<JobTemplate> = Collections.synchronizedSet(
            Collections.newSetFromMap(IdentityHashMap()),
        )

        /** A new id for each request; retries of the request keep it. */
        fun nextRequestId(): String = "$tag-${nextNumber.getAndIncrement()}"
    }

    @Volatile
    private var active: ActiveSession? = null

    private fun active(): ActiveSession = active ?: throw NoActiveSessionException("init was not called")

    @Synchronized
    override fun init(contact: String?) {
        if (active != null) throw AlreadyActiveSessionException("a session is already active; call exit first")
        val text = contact?.takeIf { it.isNotBlank() } ?: defaultContact?.takeIf { it.isNotBlank() }
            ?: throw NoDefaultContactStringException("no contact string, and ELDERHITCH_DRMAA_CONTACT is not set")
        val givenContact = ContactString.parse(text)
        val answer = Wire(givenContact, transport, clock)
            .ask("open", mapOf("nonce" to newTag(NONCE_LENGTH)), RETRY_LIMIT_MS)
        val sessionContact = ContactString(givenContact.nodes, readField { answer.string("token") })
        active = ActiveSession(
            sessionContact,
            Wire(sessionContact, transport, clock),
            readField { answer.boolean("owner") },
            newTag(TAG_LENGTH),
        )
    }

    /** Closes the session if this program opened it, after which nobody can wait for its jobs; others only leave it. */
    @Synchronized
    override fun exit() {
        val session = active()
        if (session.isOwner) session.wire.ask("close", emptyMap(), RETRY_LIMIT_MS)
        active = null
    }

    override fun createJobTemplate(): JobTemplate = Template().also { active().templates.add(it) }

    override fun deleteJobTemplate(jobTemplate: JobTemplate) {
        if (!active().templates.remove(jobTemplate)) throw InvalidJobTemplateException("not a template of this session")
    }

    private fun fields(session: ActiveSession, template: JobTemplate): Map<String, Any?> {
        if (template !in session.templates) {
            throw InvalidJobTemplateException("not a template of this session, or a deleted one")
        }
        return (template as Template).fields()
    }

    override fun runJob(jobTemplate: JobTemplate): String {
        val session = active()
        val answer = session.wire.ask(
            "run",
            mapOf(
                "request" to session.nextRequestId(),
                "template" to fields(session, jobTemplate),
            ),
            RETRY_LIMIT_MS,
        )
        return readField { answer.string("job") }
    }

    override fun runBulkJobs(jobTemplate: JobTemplate, start: Int, end: Int, incr: Int): List<String> {
        val session = active()
        val bulk = mapOf("start" to start, "end" to end, "step" to incr)
        val answer = session.wire.ask(
            "run",
            mapOf(
                "request" to session.nextRequestId(),
                "template" to fields(session, jobTemplate),
                "bulk" to bulk,
            ),
            RETRY_LIMIT_MS,
        )
        val job = readField { answer.string("job") }
        return List(readField { answer.count("members") }.toInt()) { "$job/$it" }
    }

    override fun control(jobId: String, action: Int) {
        val session = active()
        val actionName = ACTIONS.getOrNull(action) ?: throw IllegalArgumentException("unknown action $action")
        val fields = linkedMapOf<String, Any?>("job" to jobId, "action" to actionName)
        if (jobId != Session.JOB_IDS_SESSION_ALL) {
            session.wire.ask("control", fields, RETRY_LIMIT_MS, CONTROL_TIMEOUT_MS)
            return
        }
        // Thousands of jobs take minutes at the state service's write rate: repeat as long as there is progress.
        var done = 0L
        var lastProgressMs = clock.nowMs()
        while (true) {
            val answer = session.wire.ask("control", fields, RETRY_LIMIT_MS, CONTROL_TIMEOUT_MS)
            val doneNow = readField { answer.count("done") }
            val left = readField { answer.count("left") }
            done += doneNow
            if (left == 0L) return
            if (doneNow > 0) lastProgressMs = clock.nowMs()
            if (clock.nowMs() - lastProgressMs > RETRY_LIMIT_MS) {
                throw TryLaterException("$actionName of all jobs: $done are done, $left are not yet")
            }
            readField { answer.objectOrNull("upto") }?.let { upTo ->
                fields["upto"] =
                    upTo.names.associateWith { upTo.raw(it) }
            }
        }
    }

    override fun synchronize(jobIds: List<String>, timeout: Long, dispose: Boolean) {
        val session = active()
        val deadline = deadline(timeout)
        if (jobIds.isEmpty()) return
        val batches = if (jobIds.any { it == Session.JOB_IDS_SESSION_ALL }) {
            listOf(listOf(Session.JOB_IDS_SESSION_ALL))
        } else {
            jobIds.chunked(SYNC_BATCH_SIZE)
        }
        for (batch in batches) {
            pollUntil(
                deadline,
                "sync",
                linkedMapOf("request" to session.nextRequestId(), "jobs" to batch, "dispose" to dispose),
                session,
            )
        }
    }

    override fun wait(jobId: String, timeout: Long): JobInfo {
        val session = active()
        return ResultInfo(
            pollUntil(
                deadline(timeout),
                "wait",
                linkedMapOf("request" to session.nextRequestId(), "job" to jobId),
                session,
            ),
        )
    }

    /** The deadline in milliseconds on [clock]; null: none. */
    private fun deadline(timeout: Long): Long? = when {
        timeout == Session.TIMEOUT_WAIT_FOREVER -> null
        timeout < 0 -> throw IllegalArgumentException("timeout: must not be negative")
        else -> clock.nowMs() + minOf(timeout, MAX_TIMEOUT_S) * MS_PER_S
    }

    private fun pollUntil(
        deadline: Long?,
        path: String,
        fields: LinkedHashMap<String, Any?>,
        session: ActiveSession,
    ): JsonObject {
        while (true) {
            val left = deadline?.let { it - clock.nowMs() }
            val hold = minOf(left ?: MAX_HOLD_MS, MAX_HOLD_MS).coerceAtLeast(0)
            fields["holdMs"] = hold
            // An outage of the controllers counts as waiting time.
            val retryLimitMs = minOf(left ?: WAIT_RETRY_LIMIT_MS, WAIT_RETRY_LIMIT_MS).coerceAtLeast(MIN_RETRY_LIMIT_MS)
            val answer = try {
                session.wire.ask(path, fields, retryLimitMs, hold + RESPONSE_MARGIN_MS)
            } catch (e: TryLaterException) {
                // All nodes have reached their limit of waits: retry until the deadline.
                if (deadline == null || clock.nowMs() < deadline) null else throw e
            }
            if (answer != null && readField { answer.booleanOrNull("waiting") } != true) return answer
            if (deadline != null && clock.nowMs() >= deadline) throw ExitTimeoutException("the timeout expired")
            readField { answer?.objectOrNull("upto") }?.let { upTo ->
                fields["upto"] =
                    upTo.names.associateWith { upTo.raw(it) }
            }
        }
    }

    override fun getJobProgramStatus(jobId: String): Int {
        val answer = active().wire.ask("status", mapOf("job" to jobId), RETRY_LIMIT_MS)
        return readField { answer.long("status") }.toInt()
    }

    override fun getContact(): String = active?.contact?.toString() ?: defaultContact.orEmpty()

    override fun getVersion(): Version = Version(1, 0)

    override fun getDrmSystem(): String = "elderhitch"

    override fun getDrmaaImplementation(): String = "elderhitch DRMAA 1.0"

    private fun <T> readField(field: () -> T): T = try {
        field()
    } catch (e: MalformedJson) {
        throw DrmCommunicationException("malformed answer from the controller: ${e.message}").apply { initCause(e) }
    }

    private class ResultInfo(private val answer: JsonObject) : JobInfo {
        private val done = answer.raw("done") == true

        override fun getJobId(): String = answer.raw("job").toString()

        @Throws(DrmaaException::class)
        override fun getResourceUsage(): Map<String, String> {
            val account = try {
                answer.objectOrNull("account")
            } catch (e: MalformedJson) {
                throw DrmCommunicationException("malformed answer from the controller: ${e.message}").apply {
                    initCause(e)
                }
            }
            val counted = USAGE_NAMES.mapNotNull { (field, name) -> account?.raw(field)?.let { name to it.toString() } }
            return counted.toMap() + (answer.raw("tasks")?.let { mapOf("tasks_done" to it.toString()) }.orEmpty())
        }

        override fun hasExited(): Boolean = done

        override fun getExitStatus(): Int = 0

        override fun hasSignaled(): Boolean = false

        override fun getTerminatingSignal(): String = ""

        override fun hasCoreDump(): Boolean = false

        override fun wasAborted(): Boolean = !done

        private companion object {
            val USAGE_NAMES = mapOf(
                "tries" to "attempts",
                "lost" to "attempts_lost",
                "useful" to "useful_task_seconds",
                "wasted" to "lost_task_seconds",
                "first" to "start_time_ms",
                "end" to "end_time_ms",
                "least" to "lower_bound",
            )
        }
    }

    internal companion object {
        private val ACTIONS = listOf("SUSPEND", "RESUME", "HOLD", "RELEASE", "TERMINATE")
        private const val MS_PER_S = 1000L
        private const val NONCE_LENGTH = 24
        private const val TAG_LENGTH = 8

        /** Retries of a request end after this time, as native users' retries of a submission do. */
        private const val RETRY_LIMIT_MS = 60_000L

        /** Waits are retried for longer, to survive longer outages: a repeated wait loses nothing. */
        private const val WAIT_RETRY_LIMIT_MS = 300_000L
        private const val MIN_RETRY_LIMIT_MS = 1_000L
        private const val MAX_HOLD_MS = 20_000L
        private const val RESPONSE_MARGIN_MS = 4_000L
        private const val CONTROL_TIMEOUT_MS = 12_000L
        private const val MAX_TIMEOUT_S = 1_000_000_000L

        /** The ids of so many jobs fit into a request of 64 KiB. */
        private const val SYNC_BATCH_SIZE = 1000
        private const val TAG_ALPHABET = "abcdefghijklmnopqrstuvwxyz0123456789"

        fun randomTag(length: Int): String {
            val random = SecureRandom()
            return String(CharArray(length) { TAG_ALPHABET[random.nextInt(TAG_ALPHABET.length)] })
        }
    }
}
