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
 * The scheduler's interface to lease delegates. As the leader, this node grants delegations to the nodes of each zone;
 * as a follower, it may be a lease delegate of its own zone.
 *
 * @param zoneOf the zone of each node, from the settings.
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

    /** Whether the last heartbeat from this node's own zone was answered as lease delegate. Used only for logging. */
    private var isActive = false

    /** Nodes that asked for a delegation and have no zone in the settings; each is logged once. */
    private val nodesWithoutZone = HashSet<NodeName>()

    /** When each node last asked for a delegation. A node that asks is not cut off, and so answers no worker. */
    private val lastRequestAt = HashMap<NodeName, MonotonicInstant>()
    private val latestPossibleRenewals = HashMap<Zone, MonotonicInstant>()

    fun resetForNewTerm() {
        rules.resetForNewTerm()
        lastRequestAt.clear()
        latestPossibleRenewals.clear()
    }

    /**
     * The latest instant at which a lease delegate unreachable for this leader may have answered workers of the zone,
     * or [MonotonicInstant.NEVER] if none has been unreachable.
     */
    fun latestPossibleRenewal(zone: Zone): MonotonicInstant = latestPossibleRenewals[zone] ?: MonotonicInstant.NEVER

    /** Updates [latestPossibleRenewal]. Must be called once per tick while this node leads. */
    fun recordPossibleRenewals(now: MonotonicInstant) {
        for ((node, zone) in zoneOf) {
            if (node == self || now - (lastRequestAt[node] ?: MonotonicInstant.NEVER) < UNREACHABLE_AFTER) continue
            val possibleRenewal = minOf(now, rules.delegationEnd(zone))
            if (possibleRenewal > latestPossibleRenewal(zone)) latestPossibleRenewals[zone] = possibleRenewal
        }
    }

    /** No lease delegate of this term answers a heartbeat that a worker of [zone] sends after this instant. */
    fun delegationEnd(zone: Zone): MonotonicInstant = rules.delegationEnd(zone)

    /**
     * Handles a node's request to this leader for a delegation. Returns null if none is granted now.
     *
     * @param tableComplete whether the leader's table holds everything that was recorded before its claim.
     */
    fun grantDelegation(
        leadership: LeadershipState.Leader,
        node: NodeName,
        tableComplete: Boolean,
        now: MonotonicInstant,
    ): DelegationOffer? {
        val zone = zoneOf[node]
        if (zone == null) {
            if (nodesWithoutZone.add(node)) log.info("lease delegate refused node={} reason=\"zone unknown\"", node)
            return null
        }
        lastRequestAt[node] = now
        return if (tableComplete) rules.grantDelegation(leadership, zone, statusOf(zone), now) else null
    }

    private fun statusOf(zone: Zone): ZoneStatus {
        val terminalJobs = table.jobs.values.filter { job ->
            job.isTerminal && job.allPlacements().any { it.zone == zone }
        }
        val workers = table.workers.values.filter { it.zone == zone }
        val unaccountedMachines = takeover.unaccountedIn(zone, machineRegistry.known)?.let { machines ->
            machines + workers.count { !it.reconciled }
        }
        return ZoneStatus(
            unaccountedMachines,
            workers.count { it.unknownTaskJobs.isNotEmpty() },
            terminalJobs.minOfOrNull { it.knownOpenAt },
        )
    }

    /** Accepts a delegation that a leader has granted to this node. */
    fun acceptGrant(grant: DelegationGrant) {
        val isAccepted = delegate.accept(grant)
        if (!log.isDebugEnabled) return
        log.debug("delegation received term={} leader={} accepted={}", grant.term, grant.leader, isAccepted)
    }

    /** Revokes a delegation of an earlier term than [term], which this node has learned of. */
    fun observeTerm(term: Term) {
        val revoked = delegate.grant
        delegate.observeTerm(term)
        if (revoked != null && delegate.grant == null) {
            log.info("delegation revoked zone={} term={} known_term={}", ownZone, revoked.term, term)
        }
    }

    /**
     * Starts the check for a partition before the first heartbeat needs its result, because a worker whose heartbeat is
     * refused returns only after half a lease.
     */
    fun startPartitionCheck(now: MonotonicInstant) {
        delegate.grant?.takeIf { now < it.until }?.let { ports.isIsolatedFrom(it.leader) }
    }

    /** Answers a heartbeat as lease delegate. Returns null if this node, a follower, may not answer it. */
    fun answerHeartbeat(heartbeat: Heartbeat, now: MonotonicInstant): HeartbeatResponse? {
        val token = delegate.responseToken(heartbeat.zone, heartbeat.token, ports::isIsolatedFrom, now)
        if (heartbeat.zone == ownZone && isActive != (token != null)) {
            isActive = token != null
            logActivityChange(now)
        }
        return token?.let { HeartbeatResponse.Accepted(it, stopCommandsForTerminalJobs(heartbeat)) }
    }

    private fun logActivityChange(now: MonotonicInstant) {
        val grant = delegate.grant
        if (!isActive || grant == null) {
            log.info("lease delegate inactive zone={}", ownZone)
            return
        }
        val remaining = grant.until - now
        log.info("lease delegate active zone={} term={} left_ms={}", ownZone, grant.term, remaining.inWholeMilliseconds)
    }

    /**
     * Stops the tasks of jobs that this node has seen in a terminal state, which is final. A job that is unknown here
     * may still be open.
     */
    private fun stopCommandsForTerminalJobs(heartbeat: Heartbeat): List<Command> {
        val tasks = heartbeat.tasks.filter { report ->
            report.phase != TaskPhase.EXITED && table.isTerminal(report.task.job, complete = false) == true
        }
        return tasks.map { Command.Stop(it.task, it.attempt, Duration.ZERO) }
    }

    private companion object {
        /** A node that has not asked for this long may be cut off; nodes ask about once a second. */
        val UNREACHABLE_AFTER = 3.seconds
    }
}
