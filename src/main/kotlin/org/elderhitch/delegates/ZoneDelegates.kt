package org.elderhitch.delegates

import org.elderhitch.heartbeat.Command
import org.elderhitch.heartbeat.Heartbeat
import org.elderhitch.heartbeat.HeartbeatResponse
import org.elderhitch.heartbeat.TaskPhase
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.LeadershipTimeouts
import org.elderhitch.leadership.Term
import org.elderhitch.recovery.Takeover
import org.elderhitch.scheduler.SchedulerPorts
import org.elderhitch.settings.NodeName
import org.elderhitch.settings.Zone
import org.elderhitch.tasks.MachineRegistry
import org.elderhitch.tasks.TaskTable
import org.elderhitch.time.MonotonicInstant
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Lease delegates as the foreman has them: as a leader it names those of its zones, as a follower it may be one. */
internal class ZoneDelegates(
    private val own: NodeName,
    private val zoneOf: Map<NodeName, Zone>,
    times: LeadershipTimeouts,
    private val table: TaskTable,
    private val takeover: Takeover,
    private val machineRegistry: MachineRegistry,
    private val ports: SchedulerPorts,
) {
    private val log = LoggerFactory.getLogger("elderhitch.workers")
    private val promises = DelegationRules(times)
    private val zone = zoneOf[own] ?: Zone("")
    private val delegate = LeaseDelegate(zone)
    private var answering = false

    /** Nodes whose zone the settings don't tell; each is logged once. */
    private val homeless = HashSet<NodeName>()

    /** When each node last asked to be named: one that asks is not cut off, and answers nobody. */
    private val askedAt = HashMap<NodeName, MonotonicInstant>()
    private val renewedBy = HashMap<Zone, MonotonicInstant>()

    fun newTerm() {
        promises.newTerm()
        askedAt.clear()
        renewedBy.clear()
    }

    /**
     * By when a lease delegate that this leader doesn't hear may last have answered workers of the zone;
     * [MonotonicInstant.NEVER]: none has been away.
     */
    fun latestPossibleRenewal(zone: Zone): MonotonicInstant = renewedBy[zone] ?: MonotonicInstant.NEVER

    /** Called once a tick while this node leads. */
    fun recordPossibleRenewals(now: MonotonicInstant) {
        for ((node, zone) in zoneOf) {
            if (node == own || now - (askedAt[node] ?: MonotonicInstant.NEVER) < AWAY) continue
            val may = minOf(now, promises.lastAnswer(zone))
            if (may > latestPossibleRenewal(zone)) renewedBy[zone] = may
        }
    }

    /** No lease delegate of this term answers a report that leaves a worker of the zone after that. */
    fun delegationEnd(zone: Zone): MonotonicInstant = promises.lastAnswer(zone)

    /** A node asks, which the leader has thereby just heard from. Null: it is not named now. */
    fun grantDelegation(
        leadership: LeadershipState.Leader,
        node: NodeName,
        tableComplete: Boolean,
        now: MonotonicInstant,
    ): DelegationOffer? {
        val zone = zoneOf[node]
        if (zone == null) {
            if (homeless.add(node)) log.info("lease delegate refused node={} reason=\"of no zone\"", node)
            return null
        }
        askedAt[node] = now
        return if (tableComplete) promises.name(leadership, zone, standing(zone), now) else null
    }

    private fun standing(zone: Zone): ZoneStatus {
        val ended = table.jobs.values.filter { job -> job.isTerminal && job.allPlacements().any { it.zone == zone } }
        val its = table.workers.values.filter { it.zone == zone }
        val unheard = takeover.unaccountedIn(zone, machineRegistry.known)?.let { hiding ->
            hiding + its.count { !it.reconciled }
        }
        return ZoneStatus(unheard, its.count { it.unknownTaskJobs.isNotEmpty() }, ended.minOfOrNull { it.knownOpenAt })
    }

    fun acceptGrant(grant: DelegationGrant) = delegate.named(grant)

    fun observeTerm(term: Term) = delegate.observeTerm(term)

    /** Finds out early whether this node is cut off: a worker that is refused once comes back after half a lease. */
    fun checkReachability(now: MonotonicInstant) {
        delegate.grant?.takeIf { now < it.until }?.let { ports.isCutOffFrom(it.leader) }
    }

    /** What this node, which doesn't lead, answers to a report; null: it has no say in it. */
    fun respond(report: Heartbeat, now: MonotonicInstant): HeartbeatResponse? {
        val term = delegate.answers(report.zone, report.term, ports::isCutOffFrom, now)
        if (report.zone == zone && answering != (term != null)) {
            answering = term != null
            if (answering) {
                log.info(
                    "lease delegate answers zone={} term={} left_ms={}",
                    zone,
                    term,
                    delegate.grant?.let {
                        (
                            it.until -
                                now
                            ).inWholeMilliseconds
                    },
                )
            } else {
                log.info("lease delegate rests zone={}", zone)
            }
        }
        if (term == null) return null
        // Of a job that isn't open here nothing is known for sure; of one that was seen to end, everything.
        val ended = report.tasks.filter {
            it.phase != TaskPhase.EXITED &&
                table.isTerminal(it.task.job, complete = false) == true
        }
        return HeartbeatResponse.Accepted(
            term,
            ended.map { task ->
                Command.Stop(task.task, task.attempt, Duration.ZERO)
            },
        )
    }

    private companion object {
        /** Nodes ask about once a second. */
        val AWAY = 3.seconds
    }
}
