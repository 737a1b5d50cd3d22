package org.elderhitch.recovery

import org.elderhitch.fleet.Catalog
import org.elderhitch.fleet.Machine
import org.elderhitch.fleet.MachineId
import org.elderhitch.heartbeat.LeaseTimeouts
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.Resources
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.LeadershipTimeouts
import org.elderhitch.leadership.Term
import org.elderhitch.settings.Zone
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import org.slf4j.LoggerFactory

/**
 * Progress of a failover: tracks which machines may still run tasks that an earlier term started.
 *
 * A new leader expects a heartbeat from each machine that may run tasks. A machine is accounted for once it has
 * reported to this term or is gone. Until then it may run tasks that no heartbeat has listed, and these count against
 * quota. The takeover settles when all machines are accounted for, or when all leases that earlier terms granted or
 * renewed have expired.
 */
internal class Takeover(
    private val leadershipTimeouts: LeadershipTimeouts,
    private val leases: LeaseTimeouts,
    private val clock: SteadyClock,
) {
    private val log = LoggerFactory.getLogger("elderhitch.workers")
    private var term = Term.NONE

    /** Machines that are not accounted for; null until the machine inventory is loaded. */
    private var pending: HashSet<MachineId>? = null

    /** When all leases that earlier terms renewed have expired. */
    private var earlierLeasesEnd = MonotonicInstant.FOREVER

    /**
     * When this term last answered a heartbeat from a machine that was not reconciled yet: one that did not know the
     * term, or that reported while the table was incomplete. Such an answer renews the lease of tasks that an earlier
     * term started, so [earlierLeasesEnd] does not apply to these machines.
     */
    private val renewedAt = HashMap<MachineId, MonotonicInstant>()

    /** Whether it is known which tasks of earlier terms are still running. */
    var settled = false
        private set

    /** Whether the previous leader's process has ended, so that its workers are already looking for the new leader. */
    var previousLeaderExited = false

    /** Machines that are not accounted for; also empty while the inventory is not loaded. */
    val unaccounted: Set<MachineId> get() = pending.orEmpty()

    /** Begins the takeover of a new term. It settles immediately if there was no previous leader. */
    fun begin(leadership: LeadershipState.Leader) {
        term = leadership.term
        pending = null
        renewedAt.clear()
        settled = leadership.previousLeader == null
        previousLeaderExited = leadership.previousLeader == null
        earlierLeasesEnd = leases.expiredAfterClaim(leadership.claimedAt, leadershipTimeouts)
    }

    /** Records the loaded inventory: [machines] may run tasks and have not reported to this term. */
    fun expect(machines: Set<MachineId>) {
        pending = HashSet(machines)
    }

    /** Records that [machine] has reported to this term or is gone. */
    fun markAccounted(machine: MachineId) {
        pending?.remove(machine)
        renewedAt.remove(machine)
    }

    /** Records that a heartbeat received at [at] from a machine that is not reconciled is being answered. */
    fun recordHeartbeatAnswered(machine: MachineId, at: MonotonicInstant) {
        if (!settled) renewedAt[machine] = at
    }

    /**
     * Whether heartbeats from machines that don't know this term must be left unanswered. Otherwise a machine that
     * sends heartbeats but never receives an answer would prevent the takeover from settling. Such machines learn of
     * the term from probes.
     */
    fun refusesUnawareWorkers(now: MonotonicInstant): Boolean = !settled && now > earlierLeasesEnd

    /**
     * Records that all previous leaders have stopped answering heartbeats, so that the leases they renewed expire at
     * most one lease duration from now.
     */
    fun recordPreviousLeadersStopped() {
        val now = clock.now()
        val leasesEnd = leases.expiredAfter(now)
        if (settled || leasesEnd >= earlierLeasesEnd) return
        earlierLeasesEnd = leasesEnd
        log.info("earlier terms stopped term={} leases_over_in_ms={}", term, (leasesEnd - now).inWholeMilliseconds)
    }

    /** Settles the takeover if possible. Returns whether this call settled it. */
    fun trySettle(): Boolean {
        if (settled) return false
        val now = clock.now()
        val leasesOver = now > earlierLeasesEnd && renewedAt.values.all { now > leases.expiredAfter(it) }
        if (!leasesOver && pending?.isEmpty() != true) return false
        log.info("takeover settled term={} by={}", term, if (leasesOver) "leases over" else "reports")
        settled = true
        return true
    }

    /**
     * Whether an unreported task of [job] may run on a machine that is not accounted for.
     *
     * No term places a task on a machine that the job's constraints exclude or whose type is too small. So a service
     * doesn't wait for a spot machine, and a large task doesn't wait for a small machine.
     */
    fun mayRunUnreported(job: JobSpec, known: Map<MachineId, Machine>, catalog: Catalog): Boolean {
        if (settled) return false
        val machines = pending ?: return true
        return machines.any { id ->
            val machine = known[id]
            machine == null || mayRun(job, machine, catalog)
        }
    }

    private fun mayRun(job: JobSpec, machine: Machine, catalog: Catalog): Boolean =
        job.permitsMachine(machine.type, machine.zone, machine.spot) &&
            catalog.resources(machine.type)?.let(job.resources::fitsIn) != false

    /**
     * Returns the number of machines in [zone] that are not accounted for, or null if the inventory is not loaded. A
     * machine whose zone is unknown counts in every zone.
     */
    fun unaccountedIn(zone: Zone, known: Map<MachineId, Machine>): Int? {
        if (settled) return 0
        return pending?.count { id -> known[id].let { it == null || it.zone == zone } }
    }

    /** Whether the takeover will settle within one lease duration in any case. */
    fun settlesWithinLease(now: MonotonicInstant): Boolean = leases.expireWithinLease(earlierLeasesEnd, now)

    /** Returns the resources that unreported tasks may use. They are reserved in the quota of every team. */
    fun reservedResources(known: Map<MachineId, Machine>, catalog: Catalog): Resources {
        if (settled) return Resources.NONE
        var sum = Resources.NONE
        for (id in pending ?: return EVERYTHING) sum += known[id]?.let { catalog.resources(it.type) } ?: EVERYTHING
        return sum
    }

    private companion object {
        /** Exceeds the amount of any resource in any fleet. */
        const val UNLIMITED = 1e12
        val EVERYTHING = Resources(UNLIMITED, UNLIMITED, UNLIMITED)
    }
}
