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
 * Progress of a failover: which machines may still run something that an earlier term started.
 *
 * A new leader expects a heartbeat from each machine that may run tasks. Until a machine is accounted for, that is, has
 * reported to this term or is gone, it may run tasks that no heartbeat names, and these use quota. The takeover is
 * settled when all machines are accounted for, or when the leases that earlier terms granted or renewed have ended.
 */
internal class Takeover(
    private val leadershipTimeouts: LeadershipTimeouts,
    private val leases: LeaseTimeouts,
    private val clock: SteadyClock,
) {
    private val log = LoggerFactory.getLogger("elderhitch.workers")
    private var term = Term.NONE

    /** Machines not accounted for; null: the inventory of machines is not loaded yet. */
    private var pending: HashSet<MachineId>? = null

    /** When all leases that earlier terms renewed have ended. */
    private var earlierLeasesEnd = MonotonicInstant.FOREVER

    /**
     * When this term last answered a heartbeat of a machine that did not know the term yet. Such an answer renews the
     * lease of what an earlier term started, so [earlierLeasesEnd] does not hold for these machines. Without this,
     * tasks were started anew whose machine had come back just before.
     */
    private val renewedAt = HashMap<MachineId, MonotonicInstant>()

    /** Whether nothing of earlier terms is unclear any more. */
    var settled = false
        private set

    /** Whether the previous leader's process has ended. Workers that reported to it look for the new leader then. */
    var previousLeaderEnded = false

    /** Machines that are not accounted for; empty too while the inventory is not loaded. */
    val unaccounted: Set<MachineId> get() = pending.orEmpty()

    /** Begins the takeover of a new term. It is settled at once if there was no previous leader. */
    fun begin(leadership: LeadershipState.Leader) {
        term = leadership.term
        pending = null
        renewedAt.clear()
        settled = leadership.previousLeader == null
        previousLeaderEnded = leadership.previousLeader == null
        earlierLeasesEnd = leases.expiredAfterClaim(leadership.claimedAt, leadershipTimeouts)
    }

    /** The inventory is loaded: [machines] may run tasks and have not reported to this term. */
    fun expect(machines: Set<MachineId>) {
        pending = HashSet(machines)
    }

    /** The machine has reported to this term, or is gone. */
    fun markAccounted(machine: MachineId) {
        pending?.remove(machine)
        renewedAt.remove(machine)
    }

    /** A heartbeat that arrived at [at] from a machine that did not know this term is being answered. */
    fun heartbeatAnswered(machine: MachineId, at: MonotonicInstant) {
        if (!settled) renewedAt[machine] = at
    }

    /**
     * Whether heartbeats of machines that don't know this term are left unanswered. Otherwise a machine that sends
     * heartbeats but never receives an answer would keep the takeover from settling. Such machines learn of the term
     * from probes.
     */
    fun refusesUnawareWorkers(now: MonotonicInstant): Boolean = !settled && now > earlierLeasesEnd

    /** All previous leaders have stopped answering heartbeats: the leases that they renewed end one lease from now. */
    fun previousLeadersStopped() {
        if (!settled) earlierLeasesEnd = minOf(earlierLeasesEnd, leases.expiredAfter(clock.now()))
    }

    /** Settles the takeover if that is possible now. True if this call settled it. */
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
     * doesn't wait for a spot machine, nor a large task for a small machine.
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
     * The number of machines of [zone] that are not accounted for; null: the inventory is not loaded. A machine about
     * which nothing is known counts in every zone.
     */
    fun unaccountedIn(zone: Zone, known: Map<MachineId, Machine>): Int? {
        if (settled) return 0
        return pending?.count { id -> known[id].let { it == null || it.zone == zone } }
    }

    /** Whether the takeover will settle within one lease, whatever happens. */
    fun endsSoon(now: MonotonicInstant): Boolean = leases.expireSoon(earlierLeasesEnd, now)

    /** The resources that unreported tasks may use, to be reserved in the quota of every team. */
    fun reservedResources(known: Map<MachineId, Machine>, catalog: Catalog): Resources {
        if (settled) return Resources.NONE
        var sum = Resources.NONE
        for (id in pending ?: return EVERYTHING) sum += known[id]?.let { catalog.resources(it.type) } ?: EVERYTHING
        return sum
    }

    private companion object {
        /** More of each resource than any fleet has. */
        const val UNLIMITED = 1e12
        val EVERYTHING = Resources(UNLIMITED, UNLIMITED, UNLIMITED)
    }
}
