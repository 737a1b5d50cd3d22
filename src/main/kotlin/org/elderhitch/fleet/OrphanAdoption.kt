package org.elderhitch.fleet

import org.elderhitch.leadership.LeadershipState
import org.elderhitch.time.MonotonicInstant
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.milliseconds

/**
 * Machines that nobody here knows: they came late, or an answer never told of them. They are used once an intent of
 * their own says that they are there.
 */
internal class OrphanAdoption(private val intents: ProvisioningIntentStore) {
    private val log = LoggerFactory.getLogger("elderhitch.fleet")

    /** Those that report, until they are adopted. */
    private val strays = LinkedHashMap<MachineId, Machine>()

    /** When there were none yet. */
    private var strayedAt = MonotonicInstant.NEVER

    fun newTerm() = strays.clear()

    fun reported(machine: Machine) {
        strays[machine.id] = machine
    }

    /** Half a second after the first of them: where there are many, a part of them is heard by then. */
    fun tick(leadership: LeadershipState.Leader, now: MonotonicInstant, isHeld: (MachineId) -> Boolean) {
        if (strays.isEmpty()) {
            strayedAt = now
            return
        }
        if (now - strayedAt < STRAYS_WAIT) return
        val machines = strays.values.filter { !isHeld(it.id) && mayAdopt(it) }
        strays.clear()
        adopt(leadership, machines, reporting = true)
    }

    /** The cloud has listed them for longer than machines stay listed that were returned. */
    fun listed(leadership: LeadershipState.Leader, machines: List<Machine>) =
        adopt(leadership, machines.filter(::mayAdopt), reporting = false)

    /** Whether no request that is still open, or being recorded, can have rented it. */
    private fun mayAdopt(machine: Machine): Boolean = intents.all.none {
        if (it.machines ==
            null
        ) {
            it.asked && it.market == marketOf(machine)
        } else {
            machine.id in it.machines.orEmpty()
        }
    }

    private fun marketOf(machine: Machine) = Market(machine.type, machine.zone, machine.spot)

    /**
     * Many at once share an intent: a fleet of 220 that nobody had rented took 440 writes and 19 s, at 24 writes a
     * second. It says that they are up if they report.
     */
    private fun adopt(leadership: LeadershipState.Leader, machines: List<Machine>, reporting: Boolean) {
        for ((market, its) in machines.groupBy(::marketOf)) {
            for (some in its.chunked(CloudClient.MOST_HIRED)) {
                val intent = ProvisioningIntent("adopted-${leadership.term}-${some.first().id}", market, some.size)
                if (intents[intent.name] != null) continue
                log.info("machines adopted market={} machines={}", market, some.map { it.id })
                intent.machines = some.map { it.id }
                if (reporting) intent.up.addAll(some.map { it.id })
                intents.add(leadership, intent)
            }
        }
    }

    private companion object {
        val STRAYS_WAIT = 500.milliseconds
    }
}
