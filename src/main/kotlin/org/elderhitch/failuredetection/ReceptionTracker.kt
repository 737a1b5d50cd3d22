package org.elderhitch.failuredetection

import org.elderhitch.delegates.ZoneDelegates
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.tasks.WorkerState
import org.elderhitch.time.MonotonicInstant

/** Since when this leader could have received a worker's messages, so that their absence tells something. */
internal class ReceptionTracker(private val pauseDetector: PauseDetector, private val delegates: ZoneDelegates) {
    /** When this leader was last outside its command window: until then lease delegates may have answered workers. */
    private var lastOutsideWindow = MonotonicInstant.NEVER

    /** Called once a tick. */
    fun recordWindow(leadership: LeadershipState.Leader, now: MonotonicInstant) {
        if (!leadership.maySendCommands(now)) lastOutsideWindow = now
    }

    /** Since when this term has been able to receive messages without a break. */
    fun receivingSince(leadership: LeadershipState.Leader): MonotonicInstant =
        maxOf(leadership.claimedAt, pauseDetector.lastPauseEndedAt, lastOutsideWindow)

    /** Since when a message of the worker could have been received and was not. */
    fun silentSince(worker: WorkerState, leadership: LeadershipState.Leader): MonotonicInstant =
        maxOf(worker.lastSeenAt, receivingSince(leadership))

    /** When a heartbeat of the worker was last answered, here or by a lease delegate that is out of contact. */
    fun lastRenewal(worker: WorkerState): MonotonicInstant =
        maxOf(worker.lastHeartbeatAt, delegates.latestPossibleRenewal(worker.zone))
}
