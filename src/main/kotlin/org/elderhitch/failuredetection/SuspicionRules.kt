package org.elderhitch.failuredetection

import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration

/**
 * What is known of a machine whose messages don't arrive, and of its zone.
 *
 * @property neverSeen it may run tasks of an earlier term and has sent no message in this one.
 * @property reconciled it has reported its tasks in this term, so it runs none of earlier ones that aren't known.
 * @property unlisted the cloud's list of this term doesn't name it.
 * @property unreachableSince when it first took no connection, twice in a row, since its last message; absent: it took
 *   one or was not tried.
 * @property probed it was probed since its last message, and did not answer.
 * @property zoneLastSeenAt when a message of any machine of its zone was last received; absent: none was.
 * @property zoneDoubtful most of its zone, or all of it that should have sent a heartbeat lately, is silent.
 * @property zonePartitioned its zone counts as partitioned from this node.
 * @property zoneNeverSeen no machine of its zone was seen in this term, although a controller is there.
 * @property oneWayPartitioned it answers probes while its heartbeats don't arrive, so that its lease runs out.
 */
public data class SuspectedMachine(
    val neverSeen: Boolean,
    val reconciled: Boolean,
    val unlisted: Boolean,
    val unreachableSince: MonotonicInstant?,
    val probed: Boolean,
    val zoneLastSeenAt: MonotonicInstant?,
    val zoneDoubtful: Boolean,
    val zonePartitioned: Boolean,
    val zoneNeverSeen: Boolean,
    val oneWayPartitioned: Boolean = false,
)

/**
 * The rule by which a silent machine is judged, and so for how long its silence must last before it is terminated. Rows
 * of the table in `docs/design/recovery.md`.
 *
 * @property proven whether the machine is known to be dead or gone; otherwise there is only its silence, and a
 *   [TerminationRateLimiter] paces its termination.
 */
public enum class SuspicionRule(public val proven: Boolean) {
    /** Most likely long gone: then its termination costs nothing, and proves at once that it is gone. */
    UNLISTED(true),

    /** It takes no connection, and another of its zone was seen after that: no partition explains it. */
    UNREACHABLE(true),

    /** A controller in the zone keeps the machines running: terminating them would end half of all services. */
    ZONE_NEVER_SEEN(false),

    /** Its zone is partitioned, and its tasks go on. */
    ZONE_PARTITIONED(false),

    /** Its zone is partitioned while a takeover waits for it, and nothing else settles it as early. */
    ZONE_PARTITIONED_IN_TAKEOVER(false),

    /** Its tasks go on until its lease has expired, and none after that: an earlier termination would end them. */
    ONE_WAY_PARTITIONED(false),

    /** Nothing but its silence is known. */
    UNRESPONSIVE(false),
    ;

    /** The value of `because` in log lines. */
    public val logWord: String = name.lowercase()
}

/** Judges a silent machine by what else is known of it and its zone. Pure. */
public class SuspicionRules(public val timeouts: DetectionTimeouts) {
    /** No machine is terminated before its silence has lasted that long. */
    public val minimumPatience: Duration = minOf(timeouts.heartbeatOverdue, timeouts.unlisted)

    /**
     * The rule that applies to the machine.
     *
     * @param takeoverOpen whether all work of earlier terms waits for the last machine.
     * @param endsSoon whether the takeover settles within the time of one lease, whatever happens.
     */
    public fun ruleFor(machine: SuspectedMachine, takeoverOpen: Boolean, endsSoon: Boolean): SuspicionRule = when {
        machine.neverSeen && machine.unlisted -> SuspicionRule.UNLISTED
        isProvenDead(machine, takeoverOpen) -> SuspicionRule.UNREACHABLE
        machine.zoneNeverSeen -> SuspicionRule.ZONE_NEVER_SEEN
        !machine.zonePartitioned && machine.oneWayPartitioned -> SuspicionRule.ONE_WAY_PARTITIONED
        !machine.zonePartitioned -> SuspicionRule.UNRESPONSIVE
        !machine.reconciled && takeoverOpen && !endsSoon -> SuspicionRule.ZONE_PARTITIONED_IN_TAKEOVER
        else -> SuspicionRule.ZONE_PARTITIONED
    }

    /**
     * In the first seconds of a partition, machines whose heartbeats are due first can't be told from dead ones, unless
     * another of the zone is seen after them. A takeover doesn't wait for that.
     */
    private fun isProvenDead(machine: SuspectedMachine, takeoverOpen: Boolean): Boolean {
        val unreachableSince = machine.unreachableSince ?: return false
        if (machine.zoneDoubtful) return false
        return takeoverOpen || machine.zoneLastSeenAt.let { it != null && it > unreachableSince }
    }

    /** How long the silence of such a machine lasts before it is terminated. */
    public fun patience(machine: SuspectedMachine, takeoverOpen: Boolean, endsSoon: Boolean): Duration =
        when (ruleFor(machine, takeoverOpen, endsSoon)) {
            SuspicionRule.UNLISTED -> timeouts.unlisted

            SuspicionRule.ONE_WAY_PARTITIONED -> timeouts.oneWayPartition

            SuspicionRule.UNREACHABLE ->
                (if (takeoverOpen) minimumPatience else timeouts.heartbeatOverdue) + margin(machine)

            SuspicionRule.ZONE_NEVER_SEEN, SuspicionRule.ZONE_PARTITIONED -> timeouts.zonePartition + margin(machine)

            SuspicionRule.ZONE_PARTITIONED_IN_TAKEOVER, SuspicionRule.UNRESPONSIVE ->
                timeouts.unresponsive + margin(machine)
        }

    private fun margin(machine: SuspectedMachine): Duration = when {
        machine.neverSeen && machine.unreachableSince != null -> Duration.ZERO
        machine.neverSeen -> timeouts.neverSeenMargin
        machine.probed -> Duration.ZERO
        else -> timeouts.unprobedMargin
    }
}
