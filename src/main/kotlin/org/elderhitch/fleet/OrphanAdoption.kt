package org.elderhitch.fleet

import org.elderhitch.leadership.LeadershipState
import org.elderhitch.time.MonotonicInstant
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.milliseconds

/**
 * Adopts orphaned machines: those that exist and that no intent names, because they came late or because the cloud's
 * answer was lost. Each is recorded in an intent of its own before it is used.
 */
internal class OrphanAdoption(private val intents: ProvisioningIntentStore) {
    private val log = LoggerFactory.getLogger("elderhitch.fleet")

    /** Orphans that send heartbeats, until they are adopted. */
    private val orphans = LinkedHashMap<MachineId, Machine>()

    /** When there last were none. */
    private var emptyAt = MonotonicInstant.NEVER

    fun newTerm() = orphans.clear()

    /** An orphaned machine sent a heartbeat. */
    fun detected(machine: Machine) {
        orphans[machine.id] = machine
    }

    /** Adopts what was detected, some time after the first, so that many orphans share an intent. */
    fun tick(leadership: LeadershipState.Leader, now: MonotonicInstant, isKnown: (MachineId) -> Boolean) {
        if (orphans.isEmpty()) {
            emptyAt = now
            return
        }
        if (now - emptyAt < COLLECTION_TIME) return
        val machines = orphans.values.filter { !isKnown(it.id) && isAdoptable(it) }
        orphans.clear()
        adopt(leadership, machines, areUp = true)
    }

    /** Adopts machines that the cloud has listed as nobody's for longer than terminated machines stay listed. */
    fun adoptListed(leadership: LeadershipState.Leader, machines: List<Machine>) =
        adopt(leadership, machines.filter(::isAdoptable), areUp = false)

    /** Whether no request that is open, or whose machines are being recorded, can have provisioned the machine. */
    private fun isAdoptable(machine: Machine): Boolean = intents.all.none { intent ->
        val known = intent.machines
        if (known == null) intent.wasRequested && intent.market == machine.market else machine.id in known
    }

    /**
     * Records up to [CloudClient.MAX_PROVISIONED] machines in one intent: with an intent for each machine, a fleet of
     * 220 orphans took 440 writes and 19 s. [areUp]: they send heartbeats, and are recorded as up at once.
     */
    private fun adopt(leadership: LeadershipState.Leader, machines: List<Machine>, areUp: Boolean) {
        for ((market, ofMarket) in machines.groupBy { it.market }) {
            for (chunk in ofMarket.chunked(CloudClient.MAX_PROVISIONED)) {
                val ids = chunk.map { it.id }
                val intent = ProvisioningIntent("adopted-${leadership.term}-${ids.first()}", market, ids.size)
                if (intents[intent.name] != null) continue
                log.info("machines adopted market={} machines={}", market, ids)
                intent.machines = ids
                if (areUp) intent.recordedUp.addAll(ids)
                intents.add(leadership, intent)
            }
        }
    }

    private companion object {
        val COLLECTION_TIME = 500.milliseconds
    }
}
