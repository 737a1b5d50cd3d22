package org.elderhitch.fleet

import org.elderhitch.leadership.LeadershipState
import org.elderhitch.time.MonotonicInstant
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.milliseconds

/**
 * Adopts orphaned machines, which exist but are named by no intent, because they were provisioned late or the cloud's
 * response was lost. An orphan is recorded in a new intent before it is used.
 */
internal class OrphanAdoption(private val intents: ProvisioningIntentStore) {
    private val log = LoggerFactory.getLogger("elderhitch.fleet")

    /** Orphans that send heartbeats and are not adopted yet. */
    private val orphans = LinkedHashMap<MachineId, Machine>()

    /** When there were last no orphans to adopt. */
    private var lastEmptyAt = MonotonicInstant.NEVER

    fun resetForNewTerm() = orphans.clear()

    /** Handles a heartbeat of an orphan. */
    fun detected(machine: Machine) {
        orphans[machine.id] = machine
    }

    /** Adopts the detected orphans, [BATCHING_DELAY] after the first one, so that many share an intent. */
    fun tick(leadership: LeadershipState.Leader, now: MonotonicInstant, isKnown: (MachineId) -> Boolean) {
        if (orphans.isEmpty()) {
            lastEmptyAt = now
            return
        }
        if (now - lastEmptyAt < BATCHING_DELAY) return
        val machines = orphans.values.filter { !isKnown(it.id) && isAdoptable(it) }
        orphans.clear()
        adopt(leadership, machines, areUp = true)
    }

    /** Adopts machines that no intent names and that are listed for longer than terminated machines stay listed. */
    fun adoptListed(leadership: LeadershipState.Leader, machines: List<Machine>) =
        adopt(leadership, machines.filter(::isAdoptable), areUp = false)

    /** Whether no intent names the machine, and no open request can have provisioned it. */
    private fun isAdoptable(machine: Machine): Boolean = intents.all.none { intent ->
        val known = intent.machines
        if (known == null) intent.wasRequested && intent.market == machine.market else machine.id in known
    }

    /**
     * Records up to [CloudClient.MAX_PROVISIONED] machines in one intent: with one intent per machine, a fleet of 220
     * orphans took 440 writes and 19 s. If [areUp], the machines send heartbeats and are recorded as up at once.
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
        val BATCHING_DELAY = 500.milliseconds
    }
}
