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

/** What [SessionFactory.getFactory] finds without configuration. */
public class ClientSessionFactory : SessionFactory() {
    private val only: Session by lazy { ClientSession(HttpLine(), SystemClientClock, System.getenv(CONTACT)) }

    override fun getSession(): Session = only

    private companion object {
        const val CONTACT = "ELDERHITCH_DRMAA_CONTACT"
    }
}

/** Speaks to the controllers; safe for several threads. */
internal class ClientSession(
    private val line: Line,
    private val clock: ClientClock,
    private val defaultContact: String?,
    /** Letters and digits of so many characters, each time others. */
    private val newTag: (Int) -> String = ::randomTag,
) : Session {
    private class Active(val contact: ContactString, val wire: Wire, val owner: Boolean, val tag: String) {
        val numbers = AtomicInteger()
        val templates: MutableSet<JobTemplate> = Collections.synchronizedSet(
            Collections.newSetFromMap(IdentityHashMap()),
        )

        /** A number of its own for each thing that is asked for; the same one however often it has to be asked. */
        fun request(): String = "$tag-${numbers.getAndIncrement()}"
    }

    @Volatile
    private var active: Active? = null

    private fun active(): Active = active ?: throw NoActiveSessionException("init was not called")

    @Synchronized
    override fun init(contact: String?) {
        if (active != null) throw AlreadyActiveSessionException("exit first")
        val text = contact?.takeIf { it.isNotBlank() } ?: defaultContact?.takeIf { it.isNotBlank() }
            ?: throw NoDefaultContactStringException("no contact string, and ELDERHITCH_DRMAA_CONTACT is not set")
        val given = ContactString.parse(text)
        val opened = Wire(given, line, clock).ask("open", mapOf("nonce" to newTag(NONCE)), PATIENCE_MS)
        val own = ContactString(given.nodes, read { opened.string("token") })
        active = Active(own, Wire(own, line, clock), read { opened.boolean("owner") }, newTag(TAG))
    }

    /** The program that opened the session closes it: nobody can wait for its jobs any more. Others only leave it. */
    @Synchronized
    override fun exit() {
        val session = active()
        if (session.owner) session.wire.ask("close", emptyMap(), PATIENCE_MS)
        active = null
    }

    override fun createJobTemplate(): JobTemplate = Template().also { active().templates.add(it) }

    override fun deleteJobTemplate(jobTemplate: JobTemplate) {
        if (!active().templates.remove(jobTemplate)) throw InvalidJobTemplateException("not a template of this session")
    }

    private fun fields(session: Active, template: JobTemplate): Map<String, Any?> {
        if (template !in session.templates) {
            throw InvalidJobTemplateException("not a template of this session, or deleted")
        }
        return (template as Template).fields()
    }

    override fun runJob(jobTemplate: JobTemplate): String {
        val session = active()
        val answer = session.wire.ask(
            "run",
            mapOf(
                "request" to session.request(),
                "template" to fields(session, jobTemplate),
            ),
            PATIENCE_MS,
        )
        return read { answer.string("job") }
    }

    override fun runBulkJobs(jobTemplate: JobTemplate, start: Int, end: Int, incr: Int): List<String> {
        val session = active()
        val bulk = mapOf("start" to start, "end" to end, "step" to incr)
        val answer = session.wire.ask(
            "run",
            mapOf(
                "request" to session.request(),
                "template" to fields(session, jobTemplate),
                "bulk" to bulk,
            ),
            PATIENCE_MS,
        )
        val job = read { answer.string("job") }
        return List(read { answer.count("members") }.toInt()) { "$job/$it" }
    }

    override fun control(jobId: String, action: Int) {
        val session = active()
        val word = ACTIONS.getOrNull(action) ?: throw IllegalArgumentException("no action $action")
        val fields = linkedMapOf<String, Any?>("job" to jobId, "action" to word)
        if (jobId != Session.JOB_IDS_SESSION_ALL) {
            session.wire.ask("control", fields, PATIENCE_MS, CONTROL_MS)
            return
        }
        // Thousands of jobs take minutes at the state service's rate; as long as some get done it goes on.
        var done = 0L
        var idleSince = clock.nowMs()
        while (true) {
            val answer = session.wire.ask("control", fields, PATIENCE_MS, CONTROL_MS)
            val now = read { answer.count("done") }
            val left = read { answer.count("left") }
            done += now
            if (left == 0L) return
            if (now > 0) idleSince = clock.nowMs()
            if (clock.nowMs() - idleSince > PATIENCE_MS) {
                throw TryLaterException("$word of all jobs: $done are done, $left are not yet")
            }
            read { answer.objectOrNull("upto") }?.let { upTo ->
                fields["upto"] =
                    upTo.names.associateWith { upTo.raw(it) }
            }
        }
    }

    override fun synchronize(jobIds: List<String>, timeout: Long, dispose: Boolean) {
        val session = active()
        val deadline = deadline(timeout)
        if (jobIds.isEmpty()) return
        val pieces = if (jobIds.any { it == Session.JOB_IDS_SESSION_ALL }) {
            listOf(listOf(Session.JOB_IDS_SESSION_ALL))
        } else {
            jobIds.chunked(PIECE)
        }
        for (piece in pieces) {
            until(
                deadline,
                "sync",
                linkedMapOf("request" to session.request(), "jobs" to piece, "dispose" to dispose),
                session,
            )
        }
    }

    override fun wait(jobId: String, timeout: Long): JobInfo {
        val session = active()
        return Info(
            until(deadline(timeout), "wait", linkedMapOf("request" to session.request(), "job" to jobId), session),
        )
    }

    /** Milliseconds on the client's clock; null: for ever. */
    private fun deadline(timeout: Long): Long? = when {
        timeout == Session.TIMEOUT_WAIT_FOREVER -> null
        timeout < 0 -> throw IllegalArgumentException("timeout: below 0")
        else -> clock.nowMs() + minOf(timeout, LONGEST_S) * MS
    }

    private fun until(deadline: Long?, path: String, fields: LinkedHashMap<String, Any?>, session: Active): JsonObject {
        while (true) {
            val left = deadline?.let { it - clock.nowMs() }
            val hold = minOf(left ?: HOLD_MS, HOLD_MS).coerceAtLeast(0)
            fields["holdMs"] = hold
            // While there is time, an outage is waited out like everything else.
            val patience = minOf(left ?: OUTAGE_MS, OUTAGE_MS).coerceAtLeast(LEAST_PATIENCE_MS)
            val answer = try {
                session.wire.ask(path, fields, patience, hold + ANSWER_MS)
            } catch (e: TryLaterException) {
                // The nodes hold as many waits as they can: the time is not over for that.
                if (deadline == null || clock.nowMs() < deadline) null else throw e
            }
            if (answer != null && read { answer.booleanOrNull("waiting") } != true) return answer
            if (deadline != null && clock.nowMs() >= deadline) throw ExitTimeoutException("not within the time given")
            read { answer?.objectOrNull("upto") }?.let { upTo ->
                fields["upto"] =
                    upTo.names.associateWith { upTo.raw(it) }
            }
        }
    }

    override fun getJobProgramStatus(jobId: String): Int {
        val answer = active().wire.ask("status", mapOf("job" to jobId), PATIENCE_MS)
        return read { answer.long("status") }.toInt()
    }

    override fun getContact(): String = active?.contact?.toString() ?: defaultContact.orEmpty()

    override fun getVersion(): Version = Version(1, 0)

    override fun getDrmSystem(): String = "elderhitch"

    override fun getDrmaaImplementation(): String = "elderhitch DRMAA 1.0"

    private fun <T> read(field: () -> T): T = try {
        field()
    } catch (e: MalformedJson) {
        throw DrmCommunicationException("the daemon's answer can't be read: ${e.message}").apply { initCause(e) }
    }

    private class Info(private val answer: JsonObject) : JobInfo {
        private val done = answer.raw("done") == true

        override fun getJobId(): String = answer.raw("job").toString()

        @Throws(DrmaaException::class)
        override fun getResourceUsage(): Map<String, String> {
            val account = try {
                answer.objectOrNull("account")
            } catch (e: MalformedJson) {
                throw DrmCommunicationException("the daemon's answer can't be read: ${e.message}").apply {
                    initCause(e)
                }
            }
            val counted = USAGE.mapNotNull { (field, name) -> account?.raw(field)?.let { name to it.toString() } }
            return counted.toMap() + (answer.raw("tasks")?.let { mapOf("tasks_done" to it.toString()) }.orEmpty())
        }

        override fun hasExited(): Boolean = done

        override fun getExitStatus(): Int = 0

        override fun hasSignaled(): Boolean = false

        override fun getTerminatingSignal(): String = ""

        override fun hasCoreDump(): Boolean = false

        override fun wasAborted(): Boolean = !done

        private companion object {
            val USAGE = mapOf(
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
        private const val MS = 1000L
        private const val NONCE = 24
        private const val TAG = 8

        /** As long as native users repeat a submission (PROTOCOL). */
        private const val PATIENCE_MS = 60_000L

        /** A wait outlasts longer outages: nothing is lost by asking on. */
        private const val OUTAGE_MS = 300_000L
        private const val LEAST_PATIENCE_MS = 1_000L
        private const val HOLD_MS = 20_000L
        private const val ANSWER_MS = 4_000L
        private const val CONTROL_MS = 12_000L
        private const val LONGEST_S = 1_000_000_000L

        /** Ids of so many jobs fit a request of 64 KiB. */
        private const val PIECE = 1000
        private const val LETTERS = "abcdefghijklmnopqrstuvwxyz0123456789"

        fun randomTag(length: Int): String {
            val random = SecureRandom()
            return String(CharArray(length) { LETTERS[random.nextInt(LETTERS.length)] })
        }
    }
}
