package org.elderhitch.delegates

import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.LeadershipTimeouts
import org.elderhitch.leadership.Term
import org.elderhitch.settings.Zone
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What a leader knows of a zone when one of its nodes asks to become lease delegate.
 *
 * @property unaccountedMachines how many machines of the zone may run tasks and have not been heard of in this term;
 * null: it isn't known yet which machines there are.
 * @property workersWithUnknownTasks how many workers of the zone run tasks of jobs that the leader doesn't know as
 * open.
 * @property oldestTerminalState of the terminal jobs that still have tasks in the zone, the earliest instant after
 * which
 * a terminal state may have been recorded; null: there is no such job.
 */
public class ZoneStatus(
    public val unaccountedMachines: Int?,
    public val workersWithUnknownTasks: Int,
    public val oldestTerminalState: MonotonicInstant?,
)

/** A leader's offer to a lease delegate: it may answer with [term] for [duration] from when it asked. */
public data class DelegationOffer(val term: Term, val duration: Duration)

/**
 * Decides whether and for how long a leader lets a lease delegate answer heartbeats, and keeps the latest instant that
 * it has granted for each zone. That is recorded before the lease delegate learns of it, and only ever grows within a
 * term. `docs/design/recovery.md` proves the rules.
 */
public class DelegationRules(private val timeouts: LeadershipTimeouts) {
    private val grantedUntil = HashMap<Zone, MonotonicInstant>()

    /**
     * Forgets the delegations of earlier terms. The longest time of a takeover covers them: none outlasts the answer
     * window of the leader that granted it.
     */
    public fun newTerm(): Unit = grantedUntil.clear()

    /** No lease delegate of this term answers a heartbeat that leaves a worker of the zone after this instant. */
    public fun delegationEnd(zone: Zone): MonotonicInstant = grantedUntil[zone] ?: MonotonicInstant.NEVER

    /**
     * Makes a node of the zone lease delegate from [now] on. Null: it may not be one now, and what was granted before
     * stays valid.
     */
    public fun grantDelegation(
        leadership: LeadershipState.Leader,
        zone: Zone,
        status: ZoneStatus,
        now: MonotonicInstant,
    ): DelegationOffer? {
        val end = latestEnd(leadership, status)
        if (!mayGrant(leadership, status, now) || end <= now) return null
        grantedUntil.merge(zone, end, ::maxOf)
        return DelegationOffer(leadership.term, end - now)
    }

    /**
     * A lease delegate's answers keep the tasks of terminal jobs alive that this leader hasn't stopped yet. So it must
     * stop answering as early as a leader would that knows nothing since before the oldest of these terminal states.
     */
    private fun latestEnd(leadership: LeadershipState.Leader, status: ZoneStatus): MonotonicInstant {
        val terminalSince = status.oldestTerminalState ?: MonotonicInstant.FOREVER
        return minOf(leadership.answerWindowEnd, terminalSince + timeouts.answerWindow) - MARGIN
    }

    public companion object {
        /** A lease delegate stops answering by so much before its leader would. */
        internal val MARGIN: Duration = 1.seconds

        /**
         * Whether the leader can rule out that a task is kept alive that should be stopped and that it doesn't know of,
         * on a machine that has not reported it.
         */
        internal fun mayGrant(leadership: LeadershipState.Leader, status: ZoneStatus, now: MonotonicInstant): Boolean {
            val allTasksKnown = status.unaccountedMachines == 0 && status.workersWithUnknownTasks == 0
            return allTasksKnown && leadership.maySendCommands(now)
        }
    }
}
