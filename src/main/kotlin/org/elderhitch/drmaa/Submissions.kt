package org.elderhitch.drmaa

import org.elderhitch.jobs.ExtraWrites
import org.elderhitch.jobs.JobAccount
import org.elderhitch.jobs.JobCodec
import org.elderhitch.jobs.JobResponse
import org.elderhitch.jobs.JobService
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.TerminalRecord
import org.elderhitch.jobs.TerminalState
import org.elderhitch.json.Json
import org.elderhitch.json.MalformedJson
import org.elderhitch.store.CommitOutcome
import org.elderhitch.store.Condition
import org.elderhitch.store.Keys
import org.elderhitch.store.RequestPriority
import org.elderhitch.store.Revision
import org.elderhitch.store.StateClient
import org.elderhitch.store.Write
import org.elderhitch.time.WallClock
import org.elderhitch.time.WallTime
import org.slf4j.LoggerFactory

/**
 * Submits the jobs of sessions. A job with a start time or on user hold is first recorded under a key of its own, and
 * is submitted in the transaction that deletes this key: it is always either held or submitted, never both or neither.
 */
public class Submissions(
    private val sessionRegistry: SessionRegistry,
    private val client: StateClient,
    private val jobService: JobService,
    private val wallClock: WallClock,
    private val settings: DrmaaSettings,
    private val valueBytes: Int,
    private val sync: suspend () -> Boolean,
) {
    private val log = LoggerFactory.getLogger("elderhitch.drmaa")

    /**
     * Submits or holds the job that [check] returns. A retry of an accepted request changes nothing, even if it would
     * be refused by now. Throws [Refused], also if [check] does, but only once the job is known not to be recorded.
     */
    public suspend fun submit(name: JobName, check: () -> CheckedTemplate) {
        if (isKnown(name)) return
        try {
            submitNew(name, check())
        } catch (refusal: Refused) {
            if (!isRecorded(name)) throw refusal
        }
    }

    /** Whether this node knows the job. Throws [Refused] if the request's number belongs to another one. */
    private suspend fun isKnown(name: JobName): Boolean {
        val (known, conflicts) = sessionRegistry.query(name.session) {
            (it.held(name) != null || it.state.isKnown(name)) to it.state.conflictsWith(name)
        } ?: throw sessionClosed()
        if (conflicts) throw Refused(Fault.DeniedByDrmException, "the request's number belongs to another job")
        return known
    }

    /** Whether the job was accepted, on the word of the state service. Throws [Refused] if that doesn't answer. */
    private suspend fun isRecorded(name: JobName): Boolean {
        if (!sync()) throw unavailable(STATE_SERVICE_SILENT)
        if (isKnown(name)) return true
        val shown = jobService.show(name.id)
        if (shown is JobResponse.NotNow) throw unavailable(shown.reason)
        return shown is JobResponse.State
    }

    private suspend fun submitNew(name: JobName, checked: CheckedTemplate) {
        // Of a session that isn't loaded only open jobs count here; its results are limited on the nodes that use it.
        val outstanding = sessionRegistry.query(name.session) { it.state.outstandingCount() } ?: throw sessionClosed()
        if (outstanding + (name.members ?: 1) > settings.resultsPerSession) {
            throw Refused(
                Fault.TryLaterException,
                "the session has $outstanding jobs and untaken results, the limit is ${settings.resultsPerSession}",
            )
        }
        if (checked.onHold || checked.startAt != null) return hold(name, checked)
        requireAccepted(jobService.submit(checked.spec, checked.extra))
        sessionRegistry.tell(RegistryMessage.Submitted(name))
    }

    private suspend fun hold(name: JobName, checked: CheckedTemplate) {
        if (!sync()) throw unavailable(STATE_SERVICE_SILENT)
        val sessions = sessionRegistry.sessions()
        val team = sessions.filterValues { it.team == checked.spec.team }.keys
        val held = sessionRegistry.query(name.session) { it.heldCount(team) } ?: throw sessionClosed()
        if (held >= settings.heldPerTeam) {
            throw Refused(Fault.TryLaterException, "the team has $held held jobs, the limit is ${settings.heldPerTeam}")
        }
        jobService.refusal(checked.spec)?.let { requireAccepted(it) }
        val value = linkedMapOf<String, Any?>(
            "job" to JobCodec.encode(checked.spec) + checked.extra,
            "user" to checked.onHold,
            "since" to wallClock.now().ms,
            "start" to checked.startAt?.ms,
        ).filterValues { it != null }
        if (Json.bytes(value).size > valueBytes) {
            throw Refused(Fault.InvalidAttributeValueException, "the template's attributes are too long")
        }
        val conditions =
            listOf(DrmaaKeys.held(name), Keys.job(name.id), Keys.terminalRecord(name.id)).map {
                Condition(it, Revision.ABSENT)
            } +
                Condition(DrmaaKeys.session(name.session), sessions[name.session]?.version ?: throw sessionClosed())
        writeHeld(name, conditions, Write.Put(DrmaaKeys.held(name), value))
    }

    private suspend fun writeHeld(name: JobName, conditions: List<Condition>, write: Write) {
        repeat(MAX_ATTEMPTS) {
            when (val outcome = client.commit(conditions, listOf(write), RequestPriority.RECORD)) {
                is CommitOutcome.Committed -> return

                is CommitOutcome.Conflict -> {
                    // Recorded by an earlier attempt, and possibly submitted or ended since.
                    if (outcome.failed.any { it != DrmaaKeys.session(name.session) }) return
                    throw Refused(Fault.TryLaterException, "the session's record was changed at the same time")
                }

                CommitOutcome.Unknown -> Unit

                CommitOutcome.Refused, CommitOutcome.NoSuchLease -> throw unavailable(
                    "the change can't be recorded at the moment",
                )
            }
        }
        throw unavailable(STATE_SERVICE_SILENT)
    }

    /** Throws [Refused] unless the job was accepted. */
    private fun requireAccepted(answer: JobResponse) {
        when (answer) {
            is JobResponse.Accepted, is JobResponse.State -> Unit
            is JobResponse.Malformed -> throw Refused(Fault.InvalidAttributeValueException, answer.reason)
            is JobResponse.NeverRuns -> throw Refused(Fault.DeniedByDrmException, answer.reason)
            JobResponse.Unknown -> throw Refused(Fault.InvalidJobException, "no such job")
            is JobResponse.NotNow -> throw unavailable(answer.reason)
            JobResponse.Full -> throw Refused(
                Fault.TryLaterException,
                "the controllers have reached their limit of open jobs",
            )
        }
    }

    /** Submits a held job; always returns true. Throws [Refused]. */
    public suspend fun release(name: JobName, held: HeldJob): Boolean {
        val (spec, extra) = decodeHeld(held)
            ?: throw Refused(Fault.DeniedByDrmException, "the held job's record can't be read")
        val heldKeyRemoval =
            ExtraWrites(listOf(Condition(DrmaaKeys.held(name), held.version)), listOf(Write.Drop(DrmaaKeys.held(name))))
        requireAccepted(jobService.submit(spec, extra, heldKeyRemoval))
        log.info("held job submitted job={}", name)
        return true
    }

    private fun decodeHeld(held: HeldJob): Pair<JobSpec, Map<String, Any?>>? = try {
        JobCodec.decodeStored(held.body) to (held.body.raw("drmaa")?.let { mapOf("drmaa" to it) }.orEmpty())
    } catch (e: MalformedJson) {
        log.error("held job malformed reason=\"{}\"", e.message)
        null
    }

    /** Ends a held job without submitting it; false if it is no longer held. Throws [Refused]. */
    public suspend fun cancel(name: JobName, held: HeldJob): Boolean {
        val spec =
            decodeHeld(held)?.first ?: throw Refused(Fault.DeniedByDrmException, "the held job's record can't be read")
        val account = JobAccount(spec.team, spec.jobClass, 0, 0, 0.0, 0.0, null, wallClock.now(), isLowerBound = false)
        val conditions =
            listOf(
                Condition(DrmaaKeys.held(name), held.version),
                Condition(Keys.terminalRecord(name.id), Revision.ABSENT),
            )
        val writes =
            listOf(
                Write.Put(Keys.terminalRecord(name.id), TerminalRecord(TerminalState.CANCELLED, 0, account).encode()),
                Write.Drop(DrmaaKeys.held(name)),
            )
        repeat(MAX_ATTEMPTS) {
            when (client.commit(conditions, writes, RequestPriority.RECORD)) {
                is CommitOutcome.Committed -> return true

                is CommitOutcome.Conflict -> return false

                CommitOutcome.Unknown -> Unit

                CommitOutcome.Refused, CommitOutcome.NoSuchLease -> throw unavailable(
                    "the change can't be recorded at the moment",
                )
            }
        }
        throw unavailable(STATE_SERVICE_SILENT)
    }

    /** Submits the held jobs whose start time has come; called on the leader. */
    public suspend fun startDue(now: WallTime) {
        val due = sessionRegistry.heldJobs().filterValues { held ->
            !held.byUser &&
                held.startAt.let { it != null && it <= now }
        }
        for ((name, held) in due) {
            try {
                release(name, held)
            } catch (e: Refused) {
                if (e.fault == Fault.TryLaterException || e.fault == Fault.DrmCommunicationException) return
                log.error("held job not submitted job={} reason=\"{}\"", name, e.reason)
            }
        }
    }

    private fun sessionClosed() = Refused(Fault.NoActiveSessionException, "the session was closed")

    private fun unavailable(reason: String) = Refused(Fault.DrmCommunicationException, reason)

    private companion object {
        const val MAX_ATTEMPTS = 3
        const val STATE_SERVICE_SILENT = "the state service doesn't answer"
    }
}
