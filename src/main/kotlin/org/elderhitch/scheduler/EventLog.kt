package org.elderhitch.scheduler

import org.elderhitch.fleet.MachineId
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import kotlin.time.Duration.Companion.seconds

/**
 * Rate-limited log for events that occur on many machines at once. Within [INTERVAL], each kind of event is logged once
 * per machine and at most [MAX_LINES_PER_INTERVAL] times in total. Further lines are suppressed, and their number is
 * logged after the interval. Without the limit, 33,424 lines of one kind on one simulated day hid all other lines and
 * cost processor time when it was scarcest.
 */
internal class EventLog(
    private val clock: SteadyClock,
    private val info: (String) -> Unit,
    private val error: (String) -> Unit,
) {
    private class Interval(val startedAt: MonotonicInstant) {
        val machines = HashSet<MachineId>()
        var suppressed = 0
    }

    /** The current interval of each kind of event. */
    private val intervals = HashMap<String, Interval>()

    /** Logs an event of the given [kind]. [line] is called only if the event is logged. */
    fun info(kind: String, machine: MachineId, line: () -> String) {
        if (tryAdmit(kind, machine)) info(line())
    }

    /** Same as [info], but logs at the error level, for events that should never happen. */
    fun error(kind: String, machine: MachineId, line: () -> String) {
        if (tryAdmit(kind, machine)) error(line())
    }

    /** Counts the event in its interval, and returns whether it may be logged. */
    private fun tryAdmit(kind: String, machine: MachineId): Boolean {
        val interval = intervals.getOrPut(kind) { Interval(clock.now()) }
        val hasRoom = machine !in interval.machines && interval.machines.size < MAX_LINES_PER_INTERVAL
        if (hasRoom && clock.now() - interval.startedAt <= INTERVAL) {
            interval.machines.add(machine)
            return true
        }
        if (clock.now() - interval.startedAt > INTERVAL) {
            close(kind, interval)
            return tryAdmit(kind, machine)
        }
        interval.suppressed++
        return false
    }

    /** Closes expired intervals and logs how many lines each suppressed. */
    fun tick() {
        val now = clock.now()
        intervals.filterValues { now - it.startedAt > INTERVAL }.forEach(::close)
    }

    private fun close(kind: String, interval: Interval) {
        intervals.remove(kind)
        if (interval.suppressed == 0) return
        info("more of the same event=\"$kind\" count=${interval.suppressed} in_s=${INTERVAL.inWholeSeconds}")
    }

    internal companion object {
        val INTERVAL = 10.seconds
        const val MAX_LINES_PER_INTERVAL = 100
    }
}
