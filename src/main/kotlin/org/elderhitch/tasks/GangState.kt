package org.elderhitch.tasks

import org.elderhitch.heartbeat.TaskPhase
import org.elderhitch.jobs.Attempt
import org.elderhitch.jobs.JobKind

/**
 * Progress of a gang, a job whose tasks run all at once.
 *
 * A gang collects members of one attempt, starts when a member is first seen running, and is broken when it can no
 * longer become or stay whole. A broken gang is reset once its last member is gone; then the next attempt begins.
 */
internal class GangState {
    /** The attempt that the members belong to; null: there are no members. */
    var attempt: Attempt? = null
        private set

    /** Whether a member has been seen running. */
    var started = false
        private set

    /** Whether all members must go before the next attempt: one was lost after the start, or waited for too long. */
    var broken = false
        private set

    /** The gang has no members. */
    fun reset() {
        attempt = null
        started = false
        broken = false
    }

    /** The attempt that new members join: the current one if [membersPlaced], else a [fresh] one. */
    fun attemptFor(membersPlaced: Boolean, fresh: () -> Attempt): Attempt? {
        if (!membersPlaced) attempt = fresh()
        return attempt
    }

    /** A worker reports a member that the table did not have. */
    fun memberFound(member: Attempt) {
        val known = attempt
        if (known != null && known != member) broken = true
        attempt = member
    }

    /** A worker reports a member in [phase]. */
    fun observe(phase: TaskPhase) {
        if (phase == TaskPhase.RUNNING || phase == TaskPhase.SAVING) started = true
    }

    /** A member stopped waiting for the others. */
    fun abandon() {
        broken = true
    }

    /** A member is gone. It is replaced before the start; after the start the others must go too. */
    fun memberLost(membersLeft: Boolean) {
        if (!membersLeft) {
            reset()
        } else if (started) {
            broken = true
        }
    }
}

/** Whether the tasks of the job run all at once. */
internal val JobState.isGang: Boolean get() = spec.kind == JobKind.GANG
