package org.elderhitch.sweeps

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.jobs.JobEvent
import org.elderhitch.jobs.JobId
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.milliseconds

/** How many points of each sweep the leader's table may hold. Pure. */
internal object Shares {
    /** [wanted]: by sweep. Nobody gets more than it wants, and what one leaves goes to the others in equal parts. */
    fun of(wanted: Map<SweepId, Int>, budget: Int): Map<SweepId, Int> {
        val shares = HashMap<SweepId, Int>()
        var left = budget
        var remaining = wanted.size
        for ((id, want) in wanted.entries.sortedBy { it.value }) {
            val share = minOf(want, left / remaining)
            shares[id] = share
            left -= share
            remaining--
        }
        return shares
    }
}

/** Opens the points of sweeps in the leader's table, a window at a time, for as long as a term lasts. */
internal class AdmissionWindow(
    private val scope: CoroutineScope,
    private val sweepRegistry: SweepRegistry,
    private val library: DescriptionStore,
    private val settings: SweepsSettings,
    private val jobs: (JobEvent) -> Unit,
    private val running: (JobId) -> Int,
) {
    private class Opened {
        val points = LinkedHashSet<Int>()
        var next = 0
    }

    private val log = LoggerFactory.getLogger("elderhitch.sweeps")

    /**
     * What the table of this node holds, in a term of its own or since one: a table outlives its term, so the ends of
     * these are told to it in every role.
     */
    private val opened = HashMap<SweepId, Opened>()
    private var loop: Job? = null

    val inTable: Int get() = opened.values.sumOf { it.points.size }

    fun begin() {
        end()
        opened.values.forEach { it.next = 0 }
        loop = scope.launch {
            while (true) {
                feed()
                delay(EVERY)
            }
        }
    }

    fun end() {
        loop?.cancel()
        loop = null
    }

    private suspend fun feed() {
        val sweeps = sweepRegistry.all.filter { it.open > 0 }
        for (state in sweeps) library.load(state)
        // Nothing waits from here on: what is opened is open by what is known now.
        val ready = sweeps.mapNotNull { state -> library.loaded(state.id)?.let { state to it } }
        val shares = Shares.of(
            ready.associate { (state, description) ->
                state.id to description.atOnce
            },
            settings.tablePoints,
        )
        for ((state, description) in ready) feed(state, description, shares[state.id] ?: 0)
    }

    private fun feed(state: SweepState, description: Description, share: Int) {
        val window = opened.getOrPut(state.id) { Opened() }
        val waiting = window.points.count { running(state.id.point(it)) == 0 }
        val most = minOf(share, window.points.size + settings.waitingPoints - waiting)
        val fresh = Window.next(state, window.points, most, window.next)
        for (point in fresh) opens(state, description, point)?.let(jobs)
        fresh.lastOrNull()?.let { window.next = it + 1 }
    }

    private fun opens(state: SweepState, description: Description, point: Int): JobEvent.Opened? = try {
        JobEvent.Opened(description.job(state.id, point), state.version, providerOwned = true).also {
            opened.getOrPut(state.id) { Opened() }.points.add(point)
        }
    } catch (e: BadPoint) {
        // Checked when the sweep was accepted: a later version of this program that is stricter must not lose it in
        // silence.
        log.error("sweep point malformed sweep={} point={} reason=\"{}\"", state.id, point, e.message)
        null
    }

    /** A point that a worker names, wherever the window stands. */
    fun named(id: SweepId, point: Int): JobEvent.Opened? {
        val state = sweepRegistry.of(id) ?: return null
        if (point >= state.points || state.endOf(point) != null) return null
        return library.loaded(id)?.let { opens(state, it, point) }
    }

    fun ended(state: SweepState, before: Block, after: Block) {
        val first = after.number * Block.SIZE
        for (at in 0 until minOf(Block.SIZE, state.points - first)) {
            if (before.endOf(at) != null || after.endOf(at) == null) continue
            if (opened[state.id]?.points?.remove(first + at) == true) jobs(JobEvent.Ended(state.id.point(first + at)))
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
            opened.remove(state.id)
            library.forget(state.id)
        }
    }

    private companion object {
        val EVERY = 500.milliseconds
    }
}
