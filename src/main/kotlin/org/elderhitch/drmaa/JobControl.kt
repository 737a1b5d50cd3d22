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

/** The actions of `control`; [inconsistentFault] is the refusal of an action that the job's state doesn't allow. */
public enum class Action(public val inconsistentFault: Fault) {
    SUSPEND(Fault.SuspendInconsistentStateException),
    RESUME(Fault.ResumeInconsistentStateException),
    HOLD(Fault.HoldInconsistentStateException),
    RELEASE(Fault.ReleaseInconsistentStateException),
    TERMINATE(Fault.InvalidJobException),
}

/** Outcome of an action on all jobs: how many were changed, were not reached in time, and refused it. */
public data class ControlProgress(val done: Int, val left: Int, val refused: Int)

/** The status of a job, with the names and codes of the DRMAA specification. */
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

/** Carries out control actions on jobs of a session and tells their status, through the same core as the native API. */
public class JobControl(
    private val sessionRegistry: SessionRegistry,
    private val jobService: JobService,
    private val submissions: Submissions,
    private val sync: suspend () -> Boolean,
    private val hold: suspend (JobId, HoldKind, String) -> HoldResult,
    private val clock: SteadyClock,
) {
    /**
     * Applies an action to one job, held or submitted. Throws [Refused]. Repeating TERMINATE, HOLD or SUSPEND
     * after a lost answer succeeds; repeating RELEASE or RESUME is refused, since the job is no longer on hold.
     */
    public suspend fun control(name: JobName, action: Action) {
        if (!sync()) throw unavailable("the state service doesn't answer")
        val held = sessionRegistry.query(name.session) { it.held(name) } ?: requireSubmitted(name)
        if (held != null) applyToHeld(name, held, action) else applyToSubmitted(name, action)
    }

    private suspend fun requireSubmitted(name: JobName): HeldJob? {
        sessionRegistry.query(name.session) { }
            ?: throw Refused(Fault.NoActiveSessionException, "the session was closed")
        if (jobService.show(name.id) == JobResponse.Unknown) {
            throw Refused(Fault.InvalidJobException, "$name is not a job of this session")
        }
        return null
    }

    private suspend fun applyToHeld(name: JobName, held: HeldJob, action: Action) {
        when (action) {
            Action.TERMINATE -> if (!submissions.cancel(name, held)) {
                if (!sync()) throw unavailable("the state service doesn't answer")
                applyToSubmitted(name, action)
            }

            Action.RELEASE -> {
                if (!held.byUser) throw Refused(action.inconsistentFault, "$name awaits its start time")
                submissions.release(name, held)
            }

            Action.HOLD -> if (!held.byUser) throw Refused(action.inconsistentFault, "$name awaits its start time")

            Action.SUSPEND, Action.RESUME -> throw Refused(action.inconsistentFault, "$name has not been submitted yet")
        }
    }

    private suspend fun applyToSubmitted(name: JobName, action: Action) {
        when (action) {
            Action.TERMINATE -> requireDone(name, jobService.cancel(name.id))
            Action.HOLD -> requireHeld(action, hold(name.id, HoldKind.USER, "its user asked for it"))
            Action.SUSPEND -> requireHeld(action, hold(name.id, HoldKind.SUSPENDED, "its user asked for it"))
            Action.RELEASE -> releaseSubmitted(name, action, HoldKind.USER)
            Action.RESUME -> releaseSubmitted(name, action, HoldKind.SUSPENDED)
        }
    }

    private suspend fun releaseSubmitted(name: JobName, action: Action, kind: HoldKind) {
        val answer = jobService.release(name.id) { it.kind == kind }
        if (answer != JobResponse.Unknown) return requireDone(name, answer)
        val open = jobService.lookup(name.id) as? JobLookup.Open
        val attemptsHold = open?.hold?.takeIf { it.kind == HoldKind.ATTEMPTS }
        if (attemptsHold != null) throw Refused(Fault.DeniedByDrmException, attemptsHold.reason)
        throw Refused(
            action.inconsistentFault,
            if (open == null) {
                "$name has ended"
            } else {
                "$name is not ${if (kind == HoldKind.USER) "on hold" else "suspended"}"
            },
        )
    }

    private fun requireDone(name: JobName, answer: JobResponse) {
        when (answer) {
            is JobResponse.State, is JobResponse.Accepted -> Unit
            JobResponse.Unknown -> throw Refused(Fault.InvalidJobException, "$name is not a job of this session")
            is JobResponse.NotNow -> throw unavailable(answer.reason)
            else -> throw unavailable("the job can't be changed at the moment")
        }
    }

    private fun requireHeld(action: Action, answer: HoldResult) {
        when (answer) {
            HoldResult.Held -> Unit
            is HoldResult.Inconsistent -> throw Refused(action.inconsistentFault, answer.reason)
            HoldResult.NoSuchJob -> throw Refused(action.inconsistentFault, "the job has ended")
            is HoldResult.NotNow -> throw unavailable(answer.reason)
        }
    }

    /**
     * Applies an action to the session's jobs whose numbers are within [upTo], until [ALL_TIME_LIMIT] is over; the
     * client repeats the request for the rest. Each job takes one or two writes, of which the state service allows some
     * dozens a second for all users, so thousands of jobs take minutes. Throws [Refused] only if no job was
     * reached.
     */
    public suspend fun controlAll(session: SessionName, action: Action, upTo: Map<ClientTag, Int>): ControlProgress {
        if (!sync()) throw unavailable("the state service doesn't answer")
        val deadline = clock.now() + ALL_TIME_LIMIT
        val jobs =
            sessionRegistry.query(session) { view ->
                (
                    view.state.openJobs(upTo) +
                        view.heldJobs().filter { it.number <= (upTo[it.tag] ?: -1) }
                    ).toList()
            }
                ?: throw Refused(Fault.NoActiveSessionException, "the session was closed")
        var done = 0
        var refused = 0
        for ((index, name) in jobs.withIndex()) {
            if (clock.now() > deadline) return ControlProgress(done, jobs.size - index, refused)
            try {
                val held = sessionRegistry.query(session) { it.held(name) }
                if (held != null) applyToHeld(name, held, action) else applyToSubmitted(name, action)
                done++
            } catch (e: Refused) {
                if (e.fault == Fault.DrmCommunicationException) {
                    return if (index > 0) {
                        ControlProgress(done, jobs.size - index, refused)
                    } else {
                        throw e
                    }
                }
                // The action doesn't apply to this job.
                refused++
            }
        }
        return ControlProgress(done, 0, refused)
    }

    public suspend fun highestNumbers(session: SessionName): Map<ClientTag, Int> =
        sessionRegistry.query(session) { it.highestNumbers() }
            ?: throw Refused(Fault.NoActiveSessionException, "the session was closed")

    /** Throws [Refused]. */
    public suspend fun status(result: ResultName): ProgramStatus {
        val name = result.job
        if (!sync()) throw unavailable("the state service doesn't answer")
        val (held, completed) = sessionRegistry.query(name.session) { it.held(name) to it.state.isCompleted(result) }
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
        return when (val response = jobService.show(name.id)) {
            JobResponse.Unknown -> throw Refused(Fault.InvalidJobException, "$name is not a job of this session")

            is JobResponse.State -> when (val job = jobService.lookup(name.id)) {
                is JobLookup.Open -> open(job)
                else -> if (response.status.phase == JobPhase.DONE) ProgramStatus.DONE else ProgramStatus.FAILED
            }

            is JobResponse.NotNow -> throw unavailable(response.reason)

            else -> throw unavailable("the job's state is not available at the moment")
        }
    }

    private fun open(job: JobLookup.Open): ProgramStatus = when {
        job.hold?.kind == HoldKind.USER -> ProgramStatus.USER_ON_HOLD
        job.hold?.kind == HoldKind.SUSPENDED -> ProgramStatus.USER_SUSPENDED
        job.status.running > 0 -> ProgramStatus.RUNNING
        job.hold != null -> ProgramStatus.SYSTEM_ON_HOLD
        else -> ProgramStatus.QUEUED_ACTIVE
    }

    private fun unavailable(reason: String) = Refused(Fault.DrmCommunicationException, reason)

    private companion object {
        /** Short enough that the answer, with its progress, arrives before the client's request times out. */
        val ALL_TIME_LIMIT = 2.seconds
    }
}
