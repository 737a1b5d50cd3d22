package org.elderhitch.tasks

import org.elderhitch.heartbeat.TaskPhase
import org.elderhitch.jobs.Attempt
import org.elderhitch.jobs.JobKind

/** What a gang is at: which attempt its members belong to, whether that has started, and whether it can still go on. */
internal class GangState {
    var attempt: Attempt? = null
        private set
    var started = false
        private set

    /** A member was lost after the start, or the wait was over: all must be gone before the next attempt. */
    var broken = false
        private set

    fun reset() {
        attempt = null
        started = false
        broken = false
    }

    /** The attempt that new members join: the one that waits for them, or else [fresh]. */
    fun attemptFor(membersPlaced: Boolean, fresh: () -> Attempt): Attempt? {
        if (!membersPlaced) attempt = fresh()
        return attempt
    }

    /** A report brings a member that was not known here. */
    fun memberFound(member: Attempt) {
        val known = attempt
        if (known != null && known != member) broken = true
        attempt = member
    }

    fun observe(phase: TaskPhase) {
        if (phase == TaskPhase.RUNNING || phase == TaskPhase.SAVING) started = true
    }

    fun abandon() {
        broken = true
    }

    /** A member is gone. Before the start it is replaced; after it, the rest must go before the next attempt. */
    fun memberLost(membersLeft: Boolean) {
        if (!membersLeft) {
            reset()
        } else if (started) {
            broken = true
        }
    }
}

internal val JobState.isGang: Boolean get() = spec.kind == JobKind.GANG
