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

/**
 * The lease delegates as the scheduler uses them: a leader grants delegations to the nodes of its zones, a follower may
 * be lease delegate of its own zone.
 *
 * @param zoneOf the zone of each node, as the settings name it.
 */
internal class ZoneDelegates(
    private val self: NodeName,
    private val zoneOf: Map<NodeName, Zone>,
    timeouts: LeadershipTimeouts,
    private val table: TaskTable,
    private val currentTakeover: () -> Takeover,
    private val currentMachines: () -> MachineRegistry,
    private val ports: SchedulerPorts,
) {
    private val takeover: Takeover get() = currentTakeover()
    private val machineRegistry: MachineRegistry get() = currentMachines()
    private val log = LoggerFactory.getLogger("elderhitch.workers")
    private val rules = DelegationRules(timeouts)
    private val ownZone = zoneOf[self] ?: Zone("")
    private val delegate = LeaseDelegate(ownZone)

    /** Whether the last heartbeat of this node's own zone was answered as lease delegate; for the log alone. */
    private var answering = false

    /** Nodes that asked and whose zone the settings don't name; each is logged once. */
    private val nodesWithoutZone = HashSet<NodeName>()

    /** When each node last asked for a delegation: a node that asks is not cut off, and answers no worker. */
    private val lastAskedAt = HashMap<NodeName, MonotonicInstant>()
    private val possibleRenewals = HashMap<Zone, MonotonicInstant>()

    fun newTerm() {
        rules.newTerm()
        lastAskedAt.clear()
        possibleRenewals.clear()
    }

    /**
     * The latest instant at which a lease delegate that this leader can't reach may have answered workers of the zone;
     * [MonotonicInstant.NEVER]: none has been out of reach.
     */
    fun latestPossibleRenewal(zone: Zone): MonotonicInstant = possibleRenewals[zone] ?: MonotonicInstant.NEVER

    /** Updates [latestPossibleRenewal]; to be called once a tick while this node leads. */
    fun recordPossibleRenewals(now: MonotonicInstant) {
        for ((node, zone) in zoneOf) {
            if (node == self || now - (lastAskedAt[node] ?: MonotonicInstant.NEVER) < OUT_OF_REACH_AFTER) continue
            val possibleRenewal = minOf(now, rules.delegationEnd(zone))
            if (possibleRenewal > latestPossibleRenewal(zone)) possibleRenewals[zone] = possibleRenewal
        }
    }

    /** No lease delegate of this term answers a heartbeat that leaves a worker of the zone after this instant. */
    fun delegationEnd(zone: Zone): MonotonicInstant = rules.delegationEnd(zone)

    /**
     * Answers a node that asks this leader for a delegation; null: none is granted now.
     *
     * @param tableComplete whether the leader's table holds all that was recorded before its claim.
     */
    fun grantDelegation(
        leadership: LeadershipState.Leader,
        node: NodeName,
        tableComplete: Boolean,
        now: MonotonicInstant,
    ): DelegationOffer? {
        val zone = zoneOf[node]
        if (zone == null) {
            if (nodesWithoutZone.add(node)) log.info("lease delegate refused node={} reason=\"of no zone\"", node)
            return null
        }
        lastAskedAt[node] = now
        return if (tableComplete) rules.grantDelegation(leadership, zone, statusOf(zone), now) else null
    }

    private fun statusOf(zone: Zone): ZoneStatus {
        val terminalJobs = table.jobs.values.filter { job ->
            job.isTerminal && job.allPlacements().any { it.zone == zone }
        }
        val workers = table.workers.values.filter { it.zone == zone }
        val unaccounted = takeover.unaccountedIn(zone, machineRegistry.known)?.let { machines ->
            machines + workers.count { !it.reconciled }
        }
        return ZoneStatus(
            unaccounted,
            workers.count { it.unknownTaskJobs.isNotEmpty() },
            terminalJobs.minOfOrNull { it.knownOpenAt },
        )
    }

    /** A leader has granted this node a delegation. */
    fun acceptGrant(grant: DelegationGrant) = delegate.accept(grant)

    fun observeTerm(term: Term) = delegate.observeTerm(term)

    /**
     * Makes the check whether this node is cut off start before the first heartbeat needs its result: a worker that is
     * refused once comes back only after half a lease.
     */
    fun checkReachability(now: MonotonicInstant) {
        delegate.grant?.takeIf { now < it.until }?.let { ports.isCutOffFrom(it.leader) }
    }

    /** What this node, a follower, answers to a heartbeat as lease delegate; null: it may not answer it. */
    fun respond(heartbeat: Heartbeat, now: MonotonicInstant): HeartbeatResponse? {
        val term = delegate.responseTerm(heartbeat.zone, heartbeat.term, ports::isCutOffFrom, now)
        if (heartbeat.zone == ownZone && answering != (term != null)) {
            answering = term != null
            logAnswering(term, now)
        }
        return term?.let { HeartbeatResponse.Accepted(it, stopsOfTerminalJobs(heartbeat)) }
    }

    private fun logAnswering(term: Term?, now: MonotonicInstant) {
        if (term == null) {
            log.info("lease delegate inactive zone={}", ownZone)
            return
        }
        val left = delegate.grant?.let { it.until - now }
        log.info("lease delegate active zone={} term={} left_ms={}", ownZone, term, left?.inWholeMilliseconds)
    }

    /** Of a job that isn't known here nothing is certain; a job that was seen in a terminal state stays in it. */
    private fun stopsOfTerminalJobs(heartbeat: Heartbeat): List<Command> {
        val tasks = heartbeat.tasks.filter { report ->
            report.phase != TaskPhase.EXITED && table.isTerminal(report.task.job, complete = false) == true
        }
        return tasks.map { Command.Stop(it.task, it.attempt, Duration.ZERO) }
    }

    private companion object {
        /** A node that hasn't asked for so long may be cut off; nodes ask about once a second. */
        val OUT_OF_REACH_AFTER = 3.seconds
    }
}
