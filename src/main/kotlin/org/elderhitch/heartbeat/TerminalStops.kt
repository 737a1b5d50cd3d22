package org.elderhitch.heartbeat

/** The stops of tasks of terminal jobs, which a response must contain if it renews the worker's lease. */
internal sealed interface TerminalStops {
    /** All stops can be delivered, in this response or spread over this and the following ones. */
    data class Deliverable(val commands: List<Command>) : TerminalStops

    /** Not all stops can be delivered, or not all are known, so the heartbeat must not be answered now. */
    data object Undeliverable : TerminalStops
}
