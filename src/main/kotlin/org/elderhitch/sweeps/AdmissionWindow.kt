package org.elderhitch.sweeps

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.jobs.JobEvent
import org.elderhitch.jobs.JobId
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.milliseconds

/** Max-min fair shares of the leader's job table among sweeps. */
internal object FairShares {
    /** No sweep gets more points than it has [wanted]; what one leaves over goes to the others in equal parts. */
    fun of(wanted: Map<SweepId, Int>, budget: Int): Map<SweepId, Int> {
        val shares = HashMap<SweepId, Int>()
        var left = budget
        var remaining = wanted.size
        for ((id, wantedPoints) in wanted.entries.sortedBy { it.value }) {
            val share = minOf(wantedPoints, left / remaining)
            shares[id] = share
            left -= share
            remaining--
        }
        return shares
    }
}

/** Admits the points of sweeps to the leader's job table, a bounded number at a time, while a term lasts. */
internal class AdmissionWindow(
    private val scope: CoroutineScope,
    private val sweepRegistry: SweepRegistry,
    private val descriptionStore: DescriptionStore,
    private val settings: SweepsSettings,
    private val emit: (JobEvent) -> Unit,
    private val runningTasks: (JobId) -> Int,
) {
    private class AdmittedPoints {
        val points = LinkedHashSet<Int>()
        var next = 0
    }

    private val log = LoggerFactory.getLogger("elderhitch.sweeps")

    /**
     * The points in this node's job table. The table outlives the term in which they were admitted, so the node
     * publishes their ends to it in every role.
     */
    private val admitted = HashMap<SweepId, AdmittedPoints>()
    private var loop: Job? = null

    val admittedCount: Int get() = admitted.values.sumOf { it.points.size }

    fun start() {
        stop()
        admitted.values.forEach { it.next = 0 }
        loop = scope.launch {
            while (true) {
                admitPoints()
                delay(INTERVAL)
            }
        }
    }

    fun stop() {
        loop?.cancel()
        loop = null
    }

    private suspend fun admitPoints() {
        val sweeps = sweepRegistry.all.filter { it.open > 0 }
        for (state in sweeps) descriptionStore.load(state)
        // Nothing suspends from here on, so each admitted point is open by the state known at this moment.
        val ready = sweeps.mapNotNull { state -> descriptionStore.loaded(state.id)?.let { state to it } }
        val shares = FairShares.of(
            ready.associate { (state, description) ->
                state.id to description.atOnce
            },
            settings.tablePoints,
        )
        for ((state, description) in ready) admitPoints(state, description, shares[state.id] ?: 0)
    }

    private fun admitPoints(state: SweepState, description: Description, share: Int) {
        val admittedPoints = admitted.getOrPut(state.id) { AdmittedPoints() }
        val waitingCount = admittedPoints.points.count { runningTasks(state.id.point(it)) == 0 }
        val maxAdmitted = minOf(share, admittedPoints.points.size + settings.waitingPoints - waitingCount)
        val added = PointSelector.next(state, admittedPoints.points, maxAdmitted, admittedPoints.next)
        for (point in added) admit(state, description, point)?.let(emit)
        added.lastOrNull()?.let { admittedPoints.next = it + 1 }
    }

    private fun admit(state: SweepState, description: Description, point: Int): JobEvent.Opened? = try {
        JobEvent.Opened(description.job(state.id, point), state.version, providerOwned = true).also {
            admitted.getOrPut(state.id) { AdmittedPoints() }.points.add(point)
        }
    } catch (e: BadPoint) {
        // Points were validated when the sweep was accepted. If a later, stricter version of this program refuses one,
        // that must not go unnoticed.
        log.error("sweep point malformed sweep={} point={} reason=\"{}\"", state.id, point, e.message)
        null
    }

    /** Admits a point that a worker reports, ahead of or behind the points admitted in order. */
    fun admitReported(id: SweepId, point: Int): JobEvent.Opened? {
        val state = sweepRegistry.of(id) ?: return null
        if (point >= state.points || state.endOf(point) != null) return null
        return descriptionStore.loaded(id)?.let { admit(state, it, point) }
    }

    fun onBlockChanged(state: SweepState, before: Block, after: Block) {
        val first = after.number * Block.SIZE
        for (at in 0 until minOf(Block.SIZE, state.points - first)) {
            if (before.endOf(at) != null || after.endOf(at) == null) continue
            if (admitted[state.id]?.points?.remove(first + at) == true) emit(JobEvent.Ended(state.id.point(first + at)))
        }
        if (state.open == 0) {
            if (loop != null) {
                log.info(
                    "sweep ended sweep={} done={} withdrawn={} skipped={}",
                    state.id,
                    state.done,
                    state.cancelled,
                    state.skippedCount,
                )
            }
            admitted.remove(state.id)
            descriptionStore.forget(state.id)
        }
    }

    private companion object {
        val INTERVAL = 500.milliseconds
    }
}
