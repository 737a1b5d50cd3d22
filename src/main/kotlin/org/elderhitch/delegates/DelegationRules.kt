package org.elderhitch.delegates

import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.LeadershipTimeouts
import org.elderhitch.leadership.Term
import org.elderhitch.settings.Zone
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What a leader knows about a zone when one of the zone's nodes asks to become its lease delegate.
 *
 * @property unaccountedMachines the number of machines of the zone that may run tasks and have not reported in this
 * term, or null if the inventory of machines is not loaded yet.
 * @property workersWithUnknownTasks the number of workers of the zone that run tasks of jobs which the leader does not
 * know to be open.
 * @property oldestTerminalState the earliest instant after which the terminal state of a job with tasks left in the
 * zone may have been recorded, or null if there is no such job.
 */
public class ZoneStatus(
    public val unaccountedMachines: Int?,
    public val workersWithUnknownTasks: Int,
    public val oldestTerminalState: MonotonicInstant?,
)

/** A leader's offer to a lease delegate: it may answer in [term] for [duration] after it sent its request. */
public data class DelegationOffer(val term: Term, val duration: Duration)

/**
 * Decides whether and for how long a leader lets a lease delegate answer heartbeats, and records the latest end of any
 * delegation granted for each zone. The end is recorded before the lease delegate learns of the grant, and never
 * decreases within a term. The rules are proven in `docs/design/recovery.md`.
 */
public class DelegationRules(private val timeouts: LeadershipTimeouts) {
    private val delegationEnds = HashMap<Zone, MonotonicInstant>()

    /**
     * Discards the delegations of earlier terms. The maximum duration of a takeover covers them, since no delegation
     * outlasts the answer window of the leader that granted it.
     */
    public fun resetForNewTerm(): Unit = delegationEnds.clear()

    /** No lease delegate of this term answers a heartbeat that a worker of [zone] sends after this instant. */
    public fun delegationEnd(zone: Zone): MonotonicInstant = delegationEnds[zone] ?: MonotonicInstant.NEVER

    /**
     * Grants a node of [zone] a delegation that starts at [now]. Returns null if none may be granted now; grants made
     * before remain valid.
     */
    public fun grantDelegation(
        leadership: LeadershipState.Leader,
        zone: Zone,
        status: ZoneStatus,
        now: MonotonicInstant,
    ): DelegationOffer? {
        val end = latestDelegationEnd(leadership, status)
        if (!mayGrant(leadership, status, now) || end <= now) return null
        delegationEnds.merge(zone, end, ::maxOf)
        return DelegationOffer(leadership.term, end - now)
    }

    /**
     * A lease delegate's answers keep alive tasks of terminal jobs that this leader has not stopped yet. So it must
     * stop answering as early as a leader whose last freshness check preceded the oldest of these terminal states.
     */
    private fun latestDelegationEnd(leadership: LeadershipState.Leader, status: ZoneStatus): MonotonicInstant {
        val terminalSince = status.oldestTerminalState ?: MonotonicInstant.FOREVER
        return minOf(leadership.answerWindowEnd, terminalSince + timeouts.answerWindow) - DELEGATION_MARGIN
    }

    public companion object {
        /** How much earlier a lease delegate stops answering than its leader would. */
        internal val DELEGATION_MARGIN: Duration = 1.seconds

        /**
         * Whether the leader can rule out that a delegation keeps alive a task that must be stopped and that the leader
         * does not know of, because its machine has not reported it.
         */
        internal fun mayGrant(leadership: LeadershipState.Leader, status: ZoneStatus, now: MonotonicInstant): Boolean {
            val allTasksKnown = status.unaccountedMachines == 0 && status.workersWithUnknownTasks == 0
            return allTasksKnown && leadership.maySendCommands(now)
        }
    }
}
