package org.elderhitch.scheduler

import org.elderhitch.fleet.MachineId
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import kotlin.time.Duration.Companion.seconds

/**
 * Log lines of things that happen to many machines at once. In [SPAN] each cause gets one line a machine, and [MOST]
 * lines in all; the
 * rest is counted and told in one line when the span is over. 33,424 lines of one kind on one simulated day cost
 * processor time
 * where it was shortest, and hid all others.
 */
internal class EventLog(
    private val clock: SteadyClock,
    private val info: (String) -> Unit,
    private val error: (String) -> Unit,
) {
    private class Span(val began: MonotonicInstant) {
        val machines = HashSet<MachineId>()
        var withheld = 0
    }

    private val spans = HashMap<String, Span>()

    fun info(cause: String, machine: MachineId, line: () -> String) {
        if (may(cause, machine)) info(line())
    }

    fun error(cause: String, machine: MachineId, line: () -> String) {
        if (may(cause, machine)) error(line())
    }

    private fun may(cause: String, machine: MachineId): Boolean {
        val span = spans.getOrPut(cause) { Span(clock.now()) }
        if (machine !in span.machines && span.machines.size < MOST && clock.now() - span.began <= SPAN) {
            span.machines.add(machine)
            return true
        }
        if (clock.now() - span.began > SPAN) {
            close(cause, span)
            return may(cause, machine)
        }
        span.withheld++
        return false
    }

    /** Tells what was withheld in spans that are over. */
    fun tick() {
        val now = clock.now()
        spans.filterValues { now - it.began > SPAN }.forEach(::close)
    }

    private fun close(cause: String, span: Span) {
        spans.remove(cause)
        if (span.withheld >
            0
        ) {
            info("more of the same event=\"$cause\" count=${span.withheld} in_s=${SPAN.inWholeSeconds}")
        }
    }

    internal companion object {
        val SPAN = 10.seconds
        const val MOST = 100
    }
}
