package org.elderhitch.failuredetection

import org.elderhitch.delegates.ZoneDelegates
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.tasks.WorkerState
import org.elderhitch.time.MonotonicInstant

/** Tracks since when this leader could have received a worker's messages, so that silence is evidence of a failure. */
internal class ReceptionTracker(private val pauseDetector: PauseDetector, private val delegates: ZoneDelegates) {
    /** When this leader was last outside its command window. Until then lease delegates may have answered workers. */
    private var lastOutsideWindow = MonotonicInstant.NEVER

    /** Must be called once per tick. */
    fun recordWindow(leadership: LeadershipState.Leader, now: MonotonicInstant) {
        if (!leadership.maySendCommands(now)) lastOutsideWindow = now
    }

    /** Since when this term has been able to receive messages without interruption. */
    fun receivingSince(leadership: LeadershipState.Leader): MonotonicInstant =
        maxOf(leadership.claimedAt, pauseDetector.lastPauseEndedAt, lastOutsideWindow)

    /** Since when messages of the worker could have been received, but none was. */
    fun silentSince(worker: WorkerState, leadership: LeadershipState.Leader): MonotonicInstant =
        maxOf(worker.lastSeenAt, receivingSince(leadership))

    /** When a heartbeat of the worker may last have been answered, here or by a lease delegate that is unreachable. */
    fun lastRenewal(worker: WorkerState): MonotonicInstant =
        maxOf(worker.lastHeartbeatAt, delegates.latestPossibleRenewal(worker.zone))
}
