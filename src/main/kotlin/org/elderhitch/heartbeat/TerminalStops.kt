package org.elderhitch.heartbeat

/** The stops that a worker must be sent before anything may renew its lease. */
internal sealed interface TerminalStops {
    /** All of them can be sent, in this answer or in this and the next ones. */
    data class Deliverable(val commands: List<Command>) : TerminalStops

    /** They can't all be sent, or not all are known, so the worker must not be answered now. */
    data object Undeliverable : TerminalStops
}
