package org.elderhitch.scheduler

import org.elderhitch.fleet.MachineId
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import kotlin.time.Duration.Companion.seconds

/**
 * A rate-limited log of events that happen to many machines at once. Within [INTERVAL] each kind of event gets one line
 * for each machine, and [MAX_LINES] lines in all. The rest is counted, and reported in one line at the interval's end.
 * Without the limit, 33,424 lines of one kind on one simulated day cost processor time when it was scarcest, and hid
 * all others.
 */
internal class EventLog(
    private val clock: SteadyClock,
    private val info: (String) -> Unit,
    private val error: (String) -> Unit,
) {
    private class Interval(val startedAt: MonotonicInstant) {
        val machines = HashSet<MachineId>()
        var withheld = 0
    }

    /** By kind of event. */
    private val intervals = HashMap<String, Interval>()

    /** Logs an event of the given [kind]; [line] is made only if it is logged. */
    fun info(kind: String, machine: MachineId, line: () -> String) {
        if (mayLog(kind, machine)) info(line())
    }

    /** As [info], for what should never happen. */
    fun error(kind: String, machine: MachineId, line: () -> String) {
        if (mayLog(kind, machine)) error(line())
    }

    private fun mayLog(kind: String, machine: MachineId): Boolean {
        val interval = intervals.getOrPut(kind) { Interval(clock.now()) }
        val hasRoom = machine !in interval.machines && interval.machines.size < MAX_LINES
        if (hasRoom && clock.now() - interval.startedAt <= INTERVAL) {
            interval.machines.add(machine)
            return true
        }
        if (clock.now() - interval.startedAt > INTERVAL) {
            close(kind, interval)
            return mayLog(kind, machine)
        }
        interval.withheld++
        return false
    }

    /** Reports what was withheld in intervals that are over. */
    fun tick() {
        val now = clock.now()
        intervals.filterValues { now - it.startedAt > INTERVAL }.forEach(::close)
    }

    private fun close(kind: String, interval: Interval) {
        intervals.remove(kind)
        if (interval.withheld == 0) return
        info("more of the same event=\"$kind\" count=${interval.withheld} in_s=${INTERVAL.inWholeSeconds}")
    }

    internal companion object {
        val INTERVAL = 10.seconds
        const val MAX_LINES = 100
    }
}
