package org.elderhitch.drmaa

import org.elderhitch.jobs.HoldKind
import org.elderhitch.jobs.HoldResult
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobLookup
import org.elderhitch.jobs.JobPhase
import org.elderhitch.jobs.JobResponse
import org.elderhitch.jobs.JobService
import org.elderhitch.time.SteadyClock
import kotlin.time.Duration.Companion.seconds

public enum class Action(public val inconsistent: Fault) {
    SUSPEND(Fault.SuspendInconsistentStateException),
    RESUME(Fault.ResumeInconsistentStateException),
    HOLD(Fault.HoldInconsistentStateException),
    RELEASE(Fault.ReleaseInconsistentStateException),
    TERMINATE(Fault.InvalidJobException),
}

/** How far an action on all jobs of a session got. */
public data class Progress(val done: Int, val left: Int, val refused: Int)

/** How a job of a session stands, by the names of the specification. */
public enum class ProgramStatus(public val code: Int) {
    UNDETERMINED(0x00),
    QUEUED_ACTIVE(0x10),
    SYSTEM_ON_HOLD(0x11),
    USER_ON_HOLD(0x12),
    USER_SYSTEM_ON_HOLD(0x13),
    RUNNING(0x20),
    SYSTEM_SUSPENDED(0x21),
    USER_SUSPENDED(0x22),
    DONE(0x30),
    FAILED(0x40),
}

/** What clients do to jobs that are submitted. All of it goes through the same core as what native users do. */
public class JobControl(
    private val sessionRegistry: SessionRegistry,
    private val jobService: JobService,
    private val submissions: Submissions,
    private val sync: suspend () -> Boolean,
    private val hold: suspend (JobId, HoldKind, String) -> HoldResult,
    private val clock: SteadyClock,
) {
    /** Throws [Refused]. An action that was carried out before, its answer lost, is carried out. */
    public suspend fun one(name: JobName, action: Action) {
        if (!sync()) throw notNow("the state service doesn't answer")
        val held = sessionRegistry.look(name.session) { it.held(name) } ?: heldNot(name)
        if (held != null) onHeld(name, held, action) else onSubmitted(name, action)
    }

    private suspend fun heldNot(name: JobName): HeldJob? {
        sessionRegistry.look(name.session) { }
            ?: throw Refused(Fault.NoActiveSessionException, "the session was closed")
        if (jobService.show(name.id) == JobResponse.Unknown) {
            throw Refused(Fault.InvalidJobException, "$name is no job of this session")
        }
        return null
    }

    private suspend fun onHeld(name: JobName, held: HeldJob, action: Action) {
        when (action) {
            Action.TERMINATE -> if (!submissions.end(name, held)) {
                if (!sync()) throw notNow("the state service doesn't answer")
                onSubmitted(name, action)
            }

            Action.RELEASE -> {
                if (!held.byUser) throw Refused(action.inconsistent, "$name waits for its start time")
                submissions.release(name, held)
            }

            Action.HOLD -> if (!held.byUser) throw Refused(action.inconsistent, "$name waits for its start time")

            Action.SUSPEND, Action.RESUME -> throw Refused(action.inconsistent, "$name has not been submitted yet")
        }
    }

    private suspend fun onSubmitted(name: JobName, action: Action) {
        when (action) {
            Action.TERMINATE -> told(name, jobService.cancel(name.id))
            Action.HOLD -> held(action, hold(name.id, HoldKind.USER, "its user asked for it"))
            Action.SUSPEND -> held(action, hold(name.id, HoldKind.SUSPENDED, "its user asked for it"))
            Action.RELEASE -> released(name, action, HoldKind.USER)
            Action.RESUME -> released(name, action, HoldKind.SUSPENDED)
        }
    }

    private suspend fun released(name: JobName, action: Action, kind: HoldKind) {
        val answer = jobService.release(name.id) { it.kind == kind }
        if (answer != JobResponse.Unknown) return told(name, answer)
        val open = jobService.lookup(name.id) as? JobLookup.Open
        val rule = open?.hold?.takeIf { it.kind == HoldKind.ATTEMPTS }
        if (rule != null) throw Refused(Fault.DeniedByDrmException, rule.reason)
        throw Refused(
            action.inconsistent,
            if (open == null) {
                "$name has ended"
            } else {
                "$name is not ${if (kind == HoldKind.USER) "on hold" else "suspended"}"
            },
        )
    }

    private fun told(name: JobName, answer: JobResponse) {
        when (answer) {
            is JobResponse.State, is JobResponse.Accepted -> Unit
            JobResponse.Unknown -> throw Refused(Fault.InvalidJobException, "$name is no job of this session")
            is JobResponse.NotNow -> throw notNow(answer.reason)
            else -> throw notNow("the job can't be changed now")
        }
    }

    private fun held(action: Action, answer: HoldResult) {
        when (answer) {
            HoldResult.Held -> Unit
            is HoldResult.Inconsistent -> throw Refused(action.inconsistent, answer.reason)
            HoldResult.NoSuchJob -> throw Refused(action.inconsistent, "the job has ended")
            is HoldResult.NotNow -> throw notNow(answer.reason)
        }
    }

    /**
     * As many jobs of the session as a request has time for, up to [upTo]; the client asks again for what is left. Each
     * job is a change
     * or two of the state service, of which there are some dozens a second for everybody: so many thousands take their
     * minutes.
     * Throws [Refused] only when nothing could be done.
     */
    public suspend fun all(session: SessionName, action: Action, upTo: Map<ClientTag, Int>): Progress {
        if (!sync()) throw notNow("the state service doesn't answer")
        val until = clock.now() + ALL_WITHIN
        val jobs =
            sessionRegistry.look(session) { view ->
                (
                    view.state.openJobs(upTo) +
                        view.heldJobs().filter { it.number <= (upTo[it.tag] ?: -1) }
                    ).toList()
            }
                ?: throw Refused(Fault.NoActiveSessionException, "the session was closed")
        var done = 0
        var refused = 0
        for ((n, name) in jobs.withIndex()) {
            if (clock.now() > until) return Progress(done, jobs.size - n, refused)
            try {
                val held = sessionRegistry.look(session) { it.held(name) }
                if (held != null) onHeld(name, held, action) else onSubmitted(name, action)
                done++
            } catch (e: Refused) {
                if (e.fault == Fault.DrmCommunicationException) {
                    return if (n > 0) {
                        Progress(done, jobs.size - n, refused)
                    } else {
                        throw e
                    }
                }
                // A job to which the action doesn't apply is left as it is.
                refused++
            }
        }
        return Progress(done, 0, refused)
    }

    public suspend fun upTo(session: SessionName): Map<ClientTag, Int> = sessionRegistry.look(session) { it.upTo() }
        ?: throw Refused(Fault.NoActiveSessionException, "the session was closed")

    /** Throws [Refused]. */
    public suspend fun status(result: ResultName): ProgramStatus {
        val name = result.job
        if (!sync()) throw notNow("the state service doesn't answer")
        val (held, completed) = sessionRegistry.look(name.session) { it.held(name) to it.state.completed(result) }
            ?: throw Refused(Fault.NoActiveSessionException, "the session was closed")
        if (held != null) {
            return if (!held.byUser) {
                ProgramStatus.SYSTEM_ON_HOLD
            } else if (held.startAt != null) {
                ProgramStatus.USER_SYSTEM_ON_HOLD
            } else {
                ProgramStatus.USER_ON_HOLD
            }
        }
        if (completed) return ProgramStatus.DONE
        return when (val shown = jobService.show(name.id)) {
            JobResponse.Unknown -> throw Refused(Fault.InvalidJobException, "$name is no job of this session")

            is JobResponse.State -> when (val known = jobService.lookup(name.id)) {
                is JobLookup.Open -> open(known)
                else -> if (shown.status.phase == JobPhase.DONE) ProgramStatus.DONE else ProgramStatus.FAILED
            }

            is JobResponse.NotNow -> throw notNow(shown.reason)

            else -> throw notNow("the job's state can't be told now")
        }
    }

    private fun open(known: JobLookup.Open): ProgramStatus = when {
        known.hold?.kind == HoldKind.USER -> ProgramStatus.USER_ON_HOLD
        known.hold?.kind == HoldKind.SUSPENDED -> ProgramStatus.USER_SUSPENDED
        known.status.running > 0 -> ProgramStatus.RUNNING
        known.hold != null -> ProgramStatus.SYSTEM_ON_HOLD
        else -> ProgramStatus.QUEUED_ACTIVE
    }

    private fun notNow(reason: String) = Refused(Fault.DrmCommunicationException, reason)

    private companion object {
        /** A request should be answered before its client loses patience, and what was done be told. */
        val ALL_WITHIN = 2.seconds
    }
}
