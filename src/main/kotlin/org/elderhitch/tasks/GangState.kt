package org.elderhitch.tasks

import org.elderhitch.heartbeat.TaskPhase
import org.elderhitch.jobs.Attempt
import org.elderhitch.jobs.JobKind

/**
 * Progress of a gang: a job whose tasks (its members) all run at the same time, as one attempt.
 *
 * A gang has started once a worker reports one of its members as running. It has failed once the current attempt can no
 * longer have all its members. A failed gang is reset when its last member is gone, and a new attempt begins.
 */
internal class GangState {
    /** The attempt shared by all members; null if the gang has no members. */
    var attempt: Attempt? = null
        private set

    /** Whether a worker has reported a member as running. */
    var started = false
        private set

    /**
     * Whether the attempt has failed, because a member was lost after the start or timed out waiting for the others.
     * The next attempt begins only after all members are gone.
     */
    var isFailed = false
        private set

    /** Returns to the initial state, without members. */
    fun reset() {
        attempt = null
        started = false
        isFailed = false
    }

    /** Returns the attempt for new members: the current one if [membersPlaced], otherwise one from [newAttempt]. */
    fun attemptFor(membersPlaced: Boolean, newAttempt: () -> Attempt): Attempt? {
        if (!membersPlaced) attempt = newAttempt()
        return attempt
    }

    /** Handles a member that a worker reports and that is not in the task table. */
    fun memberFound(member: Attempt) {
        val known = attempt
        if (known != null && known != member) isFailed = true
        attempt = member
    }

    /** Handles a worker's report that a member is in [phase]. */
    fun onMemberPhase(phase: TaskPhase) {
        if (phase == TaskPhase.RUNNING || phase == TaskPhase.SAVING) started = true
    }

    /** Handles a member that timed out waiting for the others. */
    fun onMemberTimeout() {
        isFailed = true
    }

    /** Handles the loss of a member. Before the start it is replaced; after the start the whole attempt fails. */
    fun memberLost(membersLeft: Boolean) {
        if (!membersLeft) {
            reset()
        } else if (started) {
            isFailed = true
        }
    }
}

/** Whether all tasks of the job run at the same time. */
internal val JobState.isGang: Boolean get() = spec.kind == JobKind.GANG
