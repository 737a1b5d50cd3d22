package org.elderhitch.workers

import org.elderhitch.fleet.FleetMessage
import org.elderhitch.leadership.LeadershipMessage
import org.elderhitch.leadership.Tenure
import org.elderhitch.settings.WorkerTimes
import org.elderhitch.time.Moment
import org.elderhitch.time.stretched
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Watches for workers that say nothing: their machines are returned, and a leader that hears too few of them resigns. */
internal class Silence(
    private val table: TaskTable,
    private val takeover: Takeover,
    private val workerTimes: WorkerTimes,
    private val ports: ForemanPorts,
) {
    private val log = LoggerFactory.getLogger("elderhitch.workers")

    /** A worker silent for so long gets nothing new. */
    val suspectAfter: Duration = workerTimes.report * 2.5 + 500.milliseconds
    private val releaseAfter = workerTimes.report * REPORT_SPREAD + RESPONSE_TIMEOUT + NEXT_NODE * 2.0

    fun watch(leading: Tenure.Leading, now: Moment) {
        var heard = 0
        var silent = 0
        for (worker in table.workers.values) {
            if (now - worker.lastReport > suspectAfter) silent++ else heard++
            if (worker.settled && worker.placements.isNotEmpty() &&
                now > worker.lastAnswer + workerTimes.lease.stretched() + Takeover.LEASE_MARGIN
            ) {
                log.info("worker settled machine={} by=lease tasks={}", worker.id, worker.placements.size)
                table.loseAll(worker)
            }
        }
        if (now - leading.claimedAt > RESIGN_AFTER && silent >= RESIGN_LEAST && silent > heard * 2) {
            ports.leadership(LeadershipMessage.Resign("$silent of ${silent + heard} workers silent"))
            return
        }
        if (leading.mayCommand(now)) release(leading, now)
    }

    private fun release(leading: Tenure.Leading, now: Moment) {
        for (worker in table.workers.values) {
            val since = maxOf(worker.lastReport, leading.claimedAt)
            if (now - since > releaseAfter && now - worker.releaseAsked > RELEASE_AGAIN) {
                worker.releaseAsked = now
                log.info("worker silent machine={} for_ms={}", worker.id, (now - worker.lastReport).inWholeMilliseconds)
                ports.fleet(FleetMessage.Release(listOf(worker.id), "silent"))
            }
        }
        // Machines of an earlier term that never said a word in this one.
        val unheard = takeover.unheard.filter { it !in table.workers }
        if (unheard.isNotEmpty() && now - leading.claimedAt > releaseAfter + UNHEARD_MARGIN) {
            ports.fleet(FleetMessage.Release(unheard, "unheard"))
        }
    }

    /** It was silent, its release did not go through, and it is back. */
    fun back(worker: WorkerState, now: Moment) {
        if (now - worker.releaseAsked > RELEASE_AGAIN * 2) worker.releaseAsked = Moment.NEVER
    }

    private companion object {
        // A report may be a quarter late; its answer may be lost, which the worker notes after 4 s; and then it asks
        // the next node a second later, which may send it back here.
        const val REPORT_SPREAD = 1.25
        val RESPONSE_TIMEOUT = 4.seconds
        val NEXT_NODE = 1.seconds
        val UNHEARD_MARGIN = 3.seconds
        val RELEASE_AGAIN = 5.seconds
        val RESIGN_AFTER = 15.seconds
        const val RESIGN_LEAST = 4
    }
}
