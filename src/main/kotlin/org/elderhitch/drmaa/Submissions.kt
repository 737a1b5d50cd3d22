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
 * Jobs of sessions on their way to the core. What is to start later, or when its user says so, is recorded beside the
 * core under a
 * key of its own, and goes over to it in one transaction: it is held, or submitted, and never both or neither.
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

    /** Submits or holds what was checked. A repeat of an accepted request changes nothing. Throws [Refused]. */
    public suspend fun submit(name: JobName, checked: Checked) {
        val (known, differs) = sessionRegistry.look(name.session) {
            (it.held(name) != null || it.state.has(name)) to
                it.state.differs(name)
        }
            ?: throw closed()
        if (differs) throw Refused(Fault.DeniedByDrmException, "the request's number stands for another job")
        if (known) return
        // Of a session that isn't loaded here only what is open counts; its results are bounded where it is used.
        val load = sessionRegistry.look(name.session) { it.state.load() } ?: throw closed()
        if (load + (name.members ?: 1) > settings.resultsPerSession) {
            // A repeat of what is recorded already is not refused for it.
            if (jobService.show(name.id) is JobResponse.State) return
            throw Refused(
                Fault.TryLaterException,
                "the session has $load jobs and results that nobody took, of ${settings.resultsPerSession}: take some",
            )
        }
        if (checked.onHold || checked.startAt != null) return hold(name, checked)
        accepted(jobService.submit(checked.spec, checked.extra))
        sessionRegistry.tell(BookMessage.Submitted(name))
    }

    private suspend fun hold(name: JobName, checked: Checked) {
        if (!sync()) throw notNow("the state service doesn't answer")
        val sessions = sessionRegistry.sessions()
        val team = sessions.filterValues { it.team == checked.spec.team }.keys
        val held = sessionRegistry.look(name.session) { it.heldOfTeam(team) } ?: throw closed()
        if (held >= settings.heldPerTeam) {
            throw Refused(Fault.TryLaterException, "the team has $held held jobs, of ${settings.heldPerTeam}")
        }
        jobService.refusal(checked.spec)?.let { accepted(it) }
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
                Condition(DrmaaKeys.session(name.session), sessions[name.session]?.version ?: throw closed())
        writeHeld(name, conditions, Write.Put(DrmaaKeys.held(name), value))
    }

    private suspend fun writeHeld(name: JobName, conditions: List<Condition>, write: Write) {
        repeat(TRIES) {
            when (val outcome = client.commit(conditions, listOf(write), RequestPriority.RECORD)) {
                is CommitOutcome.Committed -> return

                is CommitOutcome.Conflict -> {
                    // Recorded by an earlier try, or already on from there.
                    if (outcome.failed.any { it != DrmaaKeys.session(name.session) }) return
                    throw Refused(Fault.TryLaterException, "the session is just being changed")
                }

                CommitOutcome.Unknown -> Unit

                CommitOutcome.Refused, CommitOutcome.NoSuchLease -> throw notNow(
                    "the state service takes no record now",
                )
            }
        }
        throw notNow("the state service doesn't answer")
    }

    /** Throws [Refused] unless the core took the job. */
    private fun accepted(answer: JobResponse) {
        when (answer) {
            is JobResponse.Accepted, is JobResponse.State -> Unit
            is JobResponse.Malformed -> throw Refused(Fault.InvalidAttributeValueException, answer.reason)
            is JobResponse.NeverRuns -> throw Refused(Fault.DeniedByDrmException, answer.reason)
            JobResponse.Unknown -> throw Refused(Fault.InvalidJobException, "no such job")
            is JobResponse.NotNow -> throw notNow(answer.reason)
            JobResponse.Full -> throw Refused(
                Fault.TryLaterException,
                "as many jobs are open as the controllers can hold",
            )
        }
    }

    /** Gives a held job to the core. True if it is there now, false if it was not held any more. Throws [Refused]. */
    public suspend fun release(name: JobName, held: HeldJob): Boolean {
        val (spec, extra) = described(held)
            ?: throw Refused(Fault.DeniedByDrmException, "the held job's record can't be read")
        val beside =
            ExtraWrites(listOf(Condition(DrmaaKeys.held(name), held.version)), listOf(Write.Drop(DrmaaKeys.held(name))))
        accepted(jobService.submit(spec, extra, beside))
        log.info("held job submitted job={}", name)
        return true
    }

    private fun described(held: HeldJob): Pair<JobSpec, Map<String, Any?>>? = try {
        JobCodec.decode(held.body) to (held.body.raw("drmaa")?.let { mapOf("drmaa" to it) }.orEmpty())
    } catch (e: MalformedJson) {
        log.error("held job malformed reason=\"{}\"", e.message)
        null
    }

    /** Ends a job that was never submitted. False: it is no longer held. Throws [Refused]. */
    public suspend fun end(name: JobName, held: HeldJob): Boolean {
        val spec =
            described(held)?.first ?: throw Refused(Fault.DeniedByDrmException, "the held job's record can't be read")
        val account = JobAccount(spec.team, spec.jobClass, 0, 0, 0.0, 0.0, null, wallClock.now(), lowerBound = false)
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
        repeat(TRIES) {
            when (client.commit(conditions, writes, RequestPriority.RECORD)) {
                is CommitOutcome.Committed -> return true

                is CommitOutcome.Conflict -> return false

                CommitOutcome.Unknown -> Unit

                CommitOutcome.Refused, CommitOutcome.NoSuchLease -> throw notNow(
                    "the state service takes no record now",
                )
            }
        }
        throw notNow("the state service doesn't answer")
    }

    /** The leader's part: what was to start by now is submitted. */
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

    private fun closed() = Refused(Fault.NoActiveSessionException, "the session was closed")

    private fun notNow(reason: String) = Refused(Fault.DrmCommunicationException, reason)

    private companion object {
        const val TRIES = 3
    }
}
