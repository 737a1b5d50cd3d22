package org.elderhitch.failuredetection

/** A snapshot of a zone: its machines counted by whether their messages arrive. */
internal class ZoneHealth {
    /** Workers that are not suspected. */
    var responsive = 0

    /** Workers that sent a message in this term, but none recently enough. */
    var suspected = 0

    /** Machines that may run tasks of an earlier term and have sent no message in this one. */
    var neverSeen = 0

    /** Workers, suspected or not, whose next heartbeat is overdue. */
    var overdue = 0

    val workers: Int get() = responsive + suspected

    val majoritySuspected: Boolean
        get() = suspected + neverSeen >= MIN_MACHINES && suspected + neverSeen > responsive

    val majorityOverdue: Boolean
        get() = overdue + neverSeen >= MIN_MACHINES && (overdue + neverSeen) * 2 > workers + neverSeen

    /** Whether many machines are expected and not one has sent a message in this term. */
    val noneSeen: Boolean get() = neverSeen >= MIN_MACHINES && workers == 0

    companion object {
        /** Fewer machines than this may fail together by chance, which is no evidence about their zone. */
        const val MIN_MACHINES = 4
    }
}
