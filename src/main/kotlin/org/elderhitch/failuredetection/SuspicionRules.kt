package org.elderhitch.failuredetection

import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration

/**
 * What is known about a silent machine and its zone.
 *
 * @property neverSeen whether it may run tasks of an earlier term and has sent no message in this one.
 * @property reconciled whether it has reported its tasks in this term, so that it runs no unknown tasks of earlier
 *   terms.
 * @property unlisted whether the cloud's list, as loaded in this term, doesn't include it.
 * @property unreachableSince when it first failed to accept two connections in a row since its last message; null if it
 *   accepted one or none was attempted.
 * @property probeUnanswered whether it was probed since its last message and did not answer.
 * @property zoneLastSeenAt when a message of any machine in its zone was last received; null if none was.
 * @property zonePossiblyPartitioned whether most of its zone is overdue, or no message has arrived from the zone for
 *   too long.
 * @property zonePartitioned whether its zone is considered partitioned from this node.
 * @property zoneNeverSeen whether no machine of its zone was seen in this term although the zone has a controller.
 * @property oneWayPartitioned whether it answers probes while its heartbeats don't arrive, so that its lease will
 *   expire.
 */
public data class SuspectedMachine(
    val neverSeen: Boolean,
    val reconciled: Boolean,
    val unlisted: Boolean,
    val unreachableSince: MonotonicInstant?,
    val probeUnanswered: Boolean,
    val zoneLastSeenAt: MonotonicInstant?,
    val zonePossiblyPartitioned: Boolean,
    val zonePartitioned: Boolean,
    val zoneNeverSeen: Boolean,
    val oneWayPartitioned: Boolean = false,
)

/**
 * The rule that applies to a silent machine. It determines how long the machine may be silent before it is terminated.
 * `docs/design/recovery.md` lists the rules in a table.
 *
 * @property proven whether the machine is known to be dead or gone. Otherwise its silence is the only evidence, and a
 *   [TerminationRateLimiter] limits the rate of terminations.
 */
public enum class SuspicionRule(public val proven: Boolean) {
    /** Most likely gone for long. Then its termination costs nothing, and immediately confirms that it is gone. */
    UNLISTED(true),

    /** It accepts no connection, and another machine of its zone was seen afterwards, which rules out a partition. */
    UNREACHABLE(true),

    /** A controller in the zone may keep its machines running. Terminating them would end half of all services. */
    ZONE_NEVER_SEEN(false),

    /** Its zone is partitioned, and its tasks keep running. */
    ZONE_PARTITIONED(false),

    /** Its zone is partitioned while a takeover waits for it, and the takeover won't otherwise settle soon. */
    ZONE_PARTITIONED_IN_TAKEOVER(false),

    /** Its tasks run until its lease expires, and no longer. An earlier termination would end them. */
    ONE_WAY_PARTITIONED(false),

    /** Its silence is the only evidence. */
    UNRESPONSIVE(false),
    ;

    /** The value of `because=` in log lines. */
    public val logValue: String = name.lowercase()
}

/** Decides how long a machine may be silent, by what else is known about it and its zone. Stateless. */
public class SuspicionRules(public val timeouts: DetectionTimeouts) {
    /** The shortest silence after which any machine is terminated. */
    public val minimumTerminationDelay: Duration = minOf(timeouts.heartbeatOverdue, timeouts.unlisted)

    /**
     * Returns the rule that applies to the machine.
     *
     * @param takeoverOpen whether the takeover is not settled, so that all work of earlier terms waits for the last
     *   machine.
     * @param settlesWithinLease whether the takeover will settle within one lease duration in any case.
     */
    public fun ruleFor(machine: SuspectedMachine, takeoverOpen: Boolean, settlesWithinLease: Boolean): SuspicionRule =
        when {
            machine.neverSeen && machine.unlisted -> SuspicionRule.UNLISTED
            isProvenDead(machine, takeoverOpen) -> SuspicionRule.UNREACHABLE
            machine.zoneNeverSeen -> SuspicionRule.ZONE_NEVER_SEEN
            !machine.zonePartitioned && machine.oneWayPartitioned -> SuspicionRule.ONE_WAY_PARTITIONED
            !machine.zonePartitioned -> SuspicionRule.UNRESPONSIVE
            !machine.reconciled && takeoverOpen && !settlesWithinLease -> SuspicionRule.ZONE_PARTITIONED_IN_TAKEOVER
            else -> SuspicionRule.ZONE_PARTITIONED
        }

    /**
     * In the first seconds of a partition, machines whose heartbeats are due first can't be distinguished from dead
     * ones unless another machine of the zone is seen after them. A takeover doesn't wait for that.
     */
    private fun isProvenDead(machine: SuspectedMachine, takeoverOpen: Boolean): Boolean {
        val unreachableSince = machine.unreachableSince ?: return false
        if (machine.zonePossiblyPartitioned) return false
        return takeoverOpen || machine.zoneLastSeenAt.let { it != null && it > unreachableSince }
    }

    /** Returns how long such a machine may be silent before it is terminated. */
    public fun terminationDelay(
        machine: SuspectedMachine,
        takeoverOpen: Boolean,
        settlesWithinLease: Boolean,
    ): Duration = when (ruleFor(machine, takeoverOpen, settlesWithinLease)) {
        SuspicionRule.UNLISTED -> timeouts.unlisted

        SuspicionRule.ONE_WAY_PARTITIONED -> timeouts.oneWayPartition

        SuspicionRule.UNREACHABLE ->
            (if (takeoverOpen) minimumTerminationDelay else timeouts.heartbeatOverdue) + margin(machine)

        SuspicionRule.ZONE_NEVER_SEEN, SuspicionRule.ZONE_PARTITIONED -> timeouts.zonePartition + margin(machine)

        SuspicionRule.ZONE_PARTITIONED_IN_TAKEOVER, SuspicionRule.UNRESPONSIVE ->
            timeouts.unresponsive + margin(machine)
    }

    private fun margin(machine: SuspectedMachine): Duration = when {
        machine.neverSeen && machine.unreachableSince != null -> Duration.ZERO
        machine.neverSeen -> timeouts.neverSeenMargin
        machine.probeUnanswered -> Duration.ZERO
        else -> timeouts.unprobedMargin
    }
}
